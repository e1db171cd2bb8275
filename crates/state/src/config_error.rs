//! Errors of configuration changes.

use compact_str::CompactString;
use displaydoc::Display;

use crate::ExceptionScope;
use crate::SettingName;

/// Why a change to the configuration was rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigError {
    /// {object} is at revision {current}, the edit was based on revision {base}
    StaleBase {
        /// Object that the change applies to.
        object: CompactString,
        /// Revision of the object when the change was applied.
        current: u64,
        /// Revision that the change was based on.
        base: u64,
    },
    /// workspace "{name}" does not exist
    UnknownWorkspace {
        /// Name given.
        name: CompactString,
    },
    /// service "{name}" does not exist
    UnknownService {
        /// Name given.
        name: CompactString,
    },
    /// setting "{name}" does not exist
    UnknownSetting {
        /// Name given.
        name: CompactString,
    },
    /// setting {setting} = {value} is outside {min} to {max}
    OutOfRange {
        /// Setting given.
        setting: SettingName,
        /// Value given.
        value: u32,
        /// Smallest allowed value, inclusive.
        min: u32,
        /// Largest allowed value, inclusive.
        max: u32,
    },
    /// the exception of {scope} for {setting} has no reason
    MissingReason {
        /// Workspace or service that the exception applies to.
        scope: ExceptionScope,
        /// Setting that the exception overrides.
        setting: SettingName,
    },
    /// {object} does not exist
    NothingToRemove {
        /// Object to remove.
        object: CompactString,
    },
    /// {object} is still used by {user}
    StillUsed {
        /// Object to remove.
        object: CompactString,
        /// Object that still refers to it.
        user: CompactString,
    },
    /// name "{name}" is empty, too long or has characters other than letters, digits, "-", "_" and "."
    MalformedName {
        /// Name given.
        name: CompactString,
    },
    /// route "{prefix}" does not start with "/" or ends with "/"
    MalformedRoute {
        /// Prefix given.
        prefix: CompactString,
    },
    /// key digest "{digest}" is not 64 hexadecimal digits
    MalformedDigest {
        /// Text given.
        digest: CompactString,
    },
}

impl std::error::Error for ConfigError {}
