//! Reader of INI settings files.
//!
//! A program declares its settings once. Values that are missing, invalid or
//! not declared are errors, and all errors of a file are reported together.

mod setting_reader;
mod settings_error;

pub use setting_reader::DeclaredSetting;
pub use setting_reader::SettingReader;
pub use setting_reader::load_ini;
pub use setting_reader::parse_in_range;
pub use setting_reader::parse_log_level;
pub use setting_reader::parse_name;
pub use settings_error::SettingsError;
