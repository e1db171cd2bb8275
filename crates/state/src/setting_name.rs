//! The settings that operators change while the fleet runs.
//!
//! Declared in one place with unit, range and initial value; a default sets
//! one for the whole fleet, an exception for one workspace or service.

use std::fmt;
use std::str::FromStr;

use crate::ConfigError;

/// Setting of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SettingName {
    /// Requests a second of a workspace.
    Rate,
    /// Requests that a workspace may send at once.
    Burst,
    /// Milliseconds a request may take, waiting included.
    DeadlineMs,
    /// Attempts an idempotent request may take.
    Attempts,
    /// Percent of a service's instances that ejections leave in use.
    FloorPercent,
    /// Milliseconds a caller may keep the addresses it was told.
    AddressTtlMs,
}

impl SettingName {
    /// Every setting, in the order of their numbers on the wire.
    pub const ALL: [SettingName; 6] = [
        SettingName::Rate,
        SettingName::Burst,
        SettingName::DeadlineMs,
        SettingName::Attempts,
        SettingName::FloorPercent,
        SettingName::AddressTtlMs,
    ];

    /// Name as operators write it.
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

    /// Smallest and largest allowed value.
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

    /// Value until an operator sets a default.
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

    /// Fails unless `value` is in range.
    pub fn check(self, value: u32) -> Result<(), ConfigError> {
        let (least, most) = self.range();
        if (least..=most).contains(&value) {
            return Ok(());
        }
        Err(ConfigError::OutOfRange {
            setting: self,
            value,
            least,
            most,
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
