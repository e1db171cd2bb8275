//! Settings that operators can change while the fleet runs.
//!
//! Each setting is declared here with its unit, range and initial value. A
//! default replaces the initial value for the whole fleet, an exception
//! replaces the default for one workspace or service.

use std::fmt;
use std::str::FromStr;

use crate::ConfigError;

/// Name of a fleet setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SettingName {
    /// Requests per second of a workspace.
    Rate,
    /// Requests that a workspace may send in one burst.
    Burst,
    /// Milliseconds that a request may take, including time spent waiting.
    DeadlineMs,
    /// Maximum number of attempts for an idempotent request, including the first.
    Attempts,
    /// Percentage of a service's instances that ejections must leave in use.
    FloorPercent,
    /// Milliseconds for which a caller may cache the host addresses it received.
    AddressTtlMs,
}

impl SettingName {
    /// All settings, in the order of their numbers on the wire.
    pub const ALL: [SettingName; 6] = [
        SettingName::Rate,
        SettingName::Burst,
        SettingName::DeadlineMs,
        SettingName::Attempts,
        SettingName::FloorPercent,
        SettingName::AddressTtlMs,
    ];

    /// Name that operators use.
    pub fn name(self) -> &'static str {
        match self {
            SettingName::Rate => "rate",
            SettingName::Burst => "burst",
            SettingName::DeadlineMs => "deadline-ms",
            SettingName::Attempts => "attempts",
            SettingName::FloorPercent => "floor-percent",
            SettingName::AddressTtlMs => "address-ttl-ms",
        }
    }

    /// Smallest and largest allowed value, both inclusive.
    pub fn range(self) -> (u32, u32) {
        match self {
            SettingName::Rate => (1, 1_000_000),
            SettingName::Burst => (1, 1_000_000),
            SettingName::DeadlineMs => (10, 600_000),
            SettingName::Attempts => (1, 5),
            SettingName::FloorPercent => (1, 100),
            SettingName::AddressTtlMs => (100, 600_000),
        }
    }

    /// Value in force until an operator sets a default.
    pub fn initial(self) -> u32 {
        match self {
            SettingName::Rate => 50,
            SettingName::Burst => 100,
            SettingName::DeadlineMs => 5_000,
            SettingName::Attempts => 2,
            SettingName::FloorPercent => 60,
            SettingName::AddressTtlMs => 5_000,
        }
    }

    /// Checks that `value` is in range.
    ///
    /// Fails with [`ConfigError::OutOfRange`] otherwise.
    pub fn check(self, value: u32) -> Result<(), ConfigError> {
        let (min, max) = self.range();
        if (min..=max).contains(&value) {
            return Ok(());
        }
        Err(ConfigError::OutOfRange {
            setting: self,
            value,
            min,
            max,
        })
    }
}

impl fmt::Display for SettingName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for SettingName {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, ConfigError> {
        SettingName::ALL
            .into_iter()
            .find(|setting| setting.name() == text)
            .ok_or_else(|| ConfigError::UnknownSetting { name: text.into() })
    }
}
