//! Why a change of the configuration is refused.

use compact_str::CompactString;
use displaydoc::Display;

use crate::ExceptionScope;
use crate::SettingName;

/// Reason that a change is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigError {
    /// {object} is at revision {current}, the edit was based on revision {base}
    StaleBase {
        /// Object that the edit changes.
        object: CompactString,
        /// Revision of the object when the edit was folded.
        current: u64,
        /// Revision that the edit was based on.
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
    /// setting {setting} = {value} is outside {least} to {most}
    OutOfRange {
        /// Setting given.
        setting: SettingName,
        /// Value given.
        value: u32,
        /// Smallest allowed value.
        least: u32,
        /// Largest allowed value.
        most: u32,
    },
    /// the exception of {scope} for {setting} carries no reason
    MissingReason {
        /// What the exception applies to.
        scope: ExceptionScope,
        /// Setting that the exception changes.
        setting: SettingName,
    },
    /// {object} does not exist
    NothingToRemove {
        /// Object that the edit removes.
        object: CompactString,
    },
    /// {object} is still used by {user}
    StillUsed {
        /// Object that the edit removes.
        object: CompactString,
        /// Object that refers to it.
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
