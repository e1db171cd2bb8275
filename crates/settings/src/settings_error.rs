//! Errors of settings files.

use compact_str::CompactString;
use displaydoc::Display;

/// Error in a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingsError {
    /// settings file "{path}" cannot be read: {cause}
    Unreadable {
        /// Path of the file.
        path: CompactString,
        /// Cause of the failure.
        cause: CompactString,
    },
    /// [{section}] {name} is missing; allowed: {allowed}
    Missing {
        /// Section of the setting.
        section: &'static str,
        /// Name of the setting.
        name: &'static str,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// [{section}] {name} = "{value}" is not allowed; allowed: {allowed}
    Invalid {
        /// Section of the setting.
        section: &'static str,
        /// Name of the setting.
        name: &'static str,
        /// Value in the file.
        value: CompactString,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// [{section}] {name} is not a setting of this program; near: {near}
    Unknown {
        /// Section in the file.
        section: CompactString,
        /// Name in the file.
        name: CompactString,
        /// Declared setting with the most similar name.
        near: CompactString,
    },
}

impl std::error::Error for SettingsError {}
