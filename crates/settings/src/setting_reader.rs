//! Reads the declared settings of an INI file and collects all errors.

use std::str::FromStr;

use compact_str::CompactString;
use ini::Ini;

use crate::SettingsError;

/// Maximum length of a name in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Section, name, initial value used if the setting is left out, description of the allowed values.
pub type DeclaredSetting = (
    &'static str,
    &'static str,
    Option<&'static str>,
    &'static str,
);

/// Reads the declared settings of an INI file and collects all errors.
pub struct SettingReader<'a> {
    ini: &'a Ini,
    declared: &'static [DeclaredSetting],
    /// Errors found so far.
    pub errors: Vec<SettingsError>,
}

/// Loads the settings file at `path`.
///
/// Fails with [`SettingsError::Unreadable`] if it cannot be read or is not an INI file.
pub fn load_ini(path: &str) -> Result<Ini, SettingsError> {
    let unreadable = |cause: String| SettingsError::Unreadable {
        path: path.into(),
        cause: cause.into(),
    };
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
    Ini::load_from_str(&text).map_err(|error| unreadable(error.to_string()))
}

impl<'a> SettingReader<'a> {
    /// Creates a reader of `ini` and records an error for each setting that is not in `declared`.
    pub fn new(ini: &'a Ini, declared: &'static [DeclaredSetting]) -> Self {
        let mut reader = SettingReader {
            ini,
            declared,
            errors: Vec::new(),
        };
        reader.report_unknown_settings();
        reader
    }

    /// Reads a value with the [`FromStr`] implementation of its type.
    ///
    /// Records an error and returns `None` if the value is missing or invalid.
    pub fn parse<T: FromStr>(&mut self, section: &'static str, name: &'static str) -> Option<T> {
        self.parse_with(section, name, |text| text.parse().ok())
    }

    /// Reads a value that may be left out.
    ///
    /// Records an error and returns `None` if the value is invalid.
    pub fn parse_optional<T: FromStr>(
        &mut self,
        section: &'static str,
        name: &'static str,
    ) -> Option<T> {
        self.ini.get_from(Some(section), name)?;
        self.parse(section, name)
    }

    /// Reads a value with `parse`, which returns `None` for an invalid value.
    ///
    /// Records an error and returns `None` if the value is missing or invalid.
    pub fn parse_with<T>(
        &mut self,
        section: &'static str,
        name: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let (initial, allowed) = self.declaration(section, name);
        let Some(value) = self.ini.get_from(Some(section), name).or(initial) else {
            self.errors.push(SettingsError::Missing {
                section,
                name,
                allowed,
            });
            return None;
        };
        let parsed = parse(value);
        if parsed.is_none() {
            self.errors.push(SettingsError::Invalid {
                section,
                name,
                value: value.into(),
                allowed,
            });
        }
        parsed
    }

    /// Initial value and description of the allowed values of a setting.
    fn declaration(&self, section: &str, name: &str) -> (Option<&'static str>, &'static str) {
        self.declared
            .iter()
            .find(|entry| entry.0 == section && entry.1 == name)
            .map_or((None, ""), |entry| (entry.2, entry.3))
    }

    fn report_unknown_settings(&mut self) {
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (name, _) in properties.iter() {
                let mut entries = self.declared.iter();
                if !entries.any(|entry| entry.0 == section && entry.1 == name) {
                    self.errors.push(SettingsError::Unknown {
                        section: section.into(),
                        name: name.into(),
                        near: self.closest_setting(section, name),
                    });
                }
            }
        }
    }

    /// Declared setting with the most similar name, preferably in the same section.
    fn closest_setting(&self, section: &str, name: &str) -> CompactString {
        let similarity = |entry: &DeclaredSetting| {
            strsim::jaro_winkler(entry.1, name) + if entry.0 == section { 0.1 } else { 0.0 }
        };
        let closest = self
            .declared
            .iter()
            .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
            .map(|entry| format!("[{}] {}", entry.0, entry.1));
        closest.unwrap_or_default().into()
    }
}

/// Parses a whole number from `min` to `max`, both inclusive.
pub fn parse_in_range(text: &str, min: u64, max: u64) -> Option<u64> {
    text.parse()
        .ok()
        .filter(|value| (min..=max).contains(value))
}

/// Parses a name of 1 to 64 letters, digits, "-", "_" or ".".
pub fn parse_name(text: &str) -> Option<CompactString> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_valid =
        !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.bytes().all(is_allowed);
    is_valid.then(|| text.into())
}

/// Parses the name of a log level.
pub fn parse_log_level(text: &str) -> Option<slog::Level> {
    match text {
        "error" => Some(slog::Level::Error),
        "warning" => Some(slog::Level::Warning),
        "info" => Some(slog::Level::Info),
        "debug" => Some(slog::Level::Debug),
        _ => None,
    }
}
