//! Settings of one host, read from an INI file.
//!
//! Every setting is declared in [`DECLARED`]; every value is checked at the
//! start and all faults are reported together.

use std::net::SocketAddr;
use std::str::FromStr;

use compact_str::CompactString;
use ini::Ini;

use crocushoist_state::RoutingPolicy;

use crate::settings_error::SettingsError;

const ADDRESS: &str = "an IP number and a port, as 10.0.0.1:7000";
const NAME: &str = "1 to 64 letters, digits, \"-\", \"_\" or \".\"";
const SHARDS: &str = "a whole number from 1 to 1024, the same on every host";
const RECORDS: &str = "a whole number from 1 to 1000000";
const MILLIS: &str = "milliseconds, a whole number from 100 to 86400000";
const POLICIES: &str = "shared, own or round-robin";
const LEVELS: &str = "error, warning, info or debug";

/// Every setting: section, name, initial value, what is allowed.
pub const DECLARED: [(&str, &str, Option<&str>, &str); 13] = [
    ("host", "callers", None, ADDRESS),
    ("host", "peers", None, ADDRESS),
    ("host", "admin", None, ADDRESS),
    ("host", "listen-callers", Some(""), ADDRESS),
    ("host", "listen-peers", Some(""), ADDRESS),
    ("host", "data-centre", None, NAME),
    ("platform", "log", None, ADDRESS),
    ("platform", "host-list", None, ADDRESS),
    ("fleet", "shards", Some("44"), SHARDS),
    ("snapshot", "every-records", Some("1000"), RECORDS),
    ("snapshot", "every-ms", Some("600000"), MILLIS),
    ("routing", "policy", Some("shared"), POLICIES),
    ("log", "level", Some("info"), LEVELS),
];

/// Settings of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Where operators and scrapers connect.
    pub admin: SocketAddr,
    /// Where to listen for callers, if not at `callers`.
    pub listen_callers: SocketAddr,
    /// Where to listen for other hosts, if not at `peers`.
    pub listen_peers: SocketAddr,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// The platform's log.
    pub log: SocketAddr,
    /// The platform's host list.
    pub host_list: SocketAddr,
    /// Number of shards.
    pub shard_count: u32,
    /// Records after which a snapshot is written.
    pub snapshot_records: u64,
    /// Milliseconds after which a snapshot is written.
    pub snapshot_millis: u64,
    /// How instances are chosen and taken out of use.
    pub routing_policy: RoutingPolicy,
    /// Level of the log lines.
    pub log_level: slog::Level,
}

impl HostSettings {
    /// Reads the settings file at `path`; returns every fault of it.
    pub fn load(path: &str) -> Result<Self, Vec<SettingsError>> {
        let unreadable = |cause: String| {
            vec![SettingsError::Unreadable {
                path: path.into(),
                cause: cause.into(),
            }]
        };
        let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
        let ini = Ini::load_from_str(&text).map_err(|error| unreadable(error.to_string()))?;
        HostSettings::from_ini(&ini)
    }

    /// Checks every value of `ini`; returns every fault.
    pub fn from_ini(ini: &Ini) -> Result<Self, Vec<SettingsError>> {
        let mut reader = SettingReader {
            ini,
            faults: unknown_names(ini),
        };
        let settings = reader.read_all();
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(reader.faults),
        }
    }
}

/// Reads settings and collects their faults.
struct SettingReader<'a> {
    ini: &'a Ini,
    faults: Vec<SettingsError>,
}

impl SettingReader<'_> {
    fn read_all(&mut self) -> Option<HostSettings> {
        let callers = self.parse("host", "callers");
        let peers = self.parse("host", "peers");
        let admin = self.parse("host", "admin");
        let listen_callers = self.parse_optional("host", "listen-callers");
        let listen_peers = self.parse_optional("host", "listen-peers");
        let data_centre = self.parse_with("host", "data-centre", parse_name);
        let log = self.parse("platform", "log");
        let host_list = self.parse("platform", "host-list");
        let shard_count = self.parse_with("fleet", "shards", |text| parse_range(text, 1, 1_024));
        let records = self.parse_with("snapshot", "every-records", |text| {
            parse_range(text, 1, 1_000_000)
        });
        let millis = self.parse_with("snapshot", "every-ms", |text| {
            parse_range(text, 100, 86_400_000)
        });
        let routing_policy = self.parse("routing", "policy");
        let log_level = self.parse_with("log", "level", parse_level);
        Some(HostSettings {
            callers: callers?,
            peers: peers?,
            admin: admin?,
            listen_callers: listen_callers.or(callers)?,
            listen_peers: listen_peers.or(peers)?,
            data_centre: data_centre?,
            log: log?,
            host_list: host_list?,
            shard_count: shard_count? as u32,
            snapshot_records: records?,
            snapshot_millis: millis?,
            routing_policy: routing_policy?,
            log_level: log_level?,
        })
    }

    fn parse<T: FromStr>(&mut self, section: &'static str, name: &'static str) -> Option<T> {
        self.parse_with(section, name, |text| text.parse().ok())
    }

    fn parse_optional<T: FromStr>(
        &mut self,
        section: &'static str,
        name: &'static str,
    ) -> Option<T> {
        self.ini.get_from(Some(section), name)?;
        self.parse(section, name)
    }

    fn parse_with<T>(
        &mut self,
        section: &'static str,
        name: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let (initial, allowed) = declared(section, name);
        let Some(value) = self.ini.get_from(Some(section), name).or(initial) else {
            self.faults.push(SettingsError::Missing {
                section,
                name,
                allowed,
            });
            return None;
        };
        let parsed = parse(value);
        if parsed.is_none() {
            self.faults.push(SettingsError::Invalid {
                section,
                name,
                value: value.into(),
                allowed,
            });
        }
        parsed
    }
}

fn declared(section: &str, name: &str) -> (Option<&'static str>, &'static str) {
    DECLARED
        .iter()
        .find(|entry| entry.0 == section && entry.1 == name)
        .map_or((None, ""), |entry| (entry.2, entry.3))
}

fn unknown_names(ini: &Ini) -> Vec<SettingsError> {
    let mut faults = Vec::new();
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or("");
        for (name, _) in properties.iter() {
            let is_known = DECLARED
                .iter()
                .any(|entry| entry.0 == section && entry.1 == name);
            if !is_known {
                faults.push(SettingsError::Unknown {
                    section: section.into(),
                    name: name.into(),
                    near: near_names(section, name),
                });
            }
        }
    }
    faults
}

fn near_names(section: &str, name: &str) -> CompactString {
    let best = DECLARED
        .iter()
        .max_by(|a, b| {
            let score = |entry: &(&str, &str, Option<&str>, &str)| {
                strsim::jaro_winkler(entry.1, name) + if entry.0 == section { 0.1 } else { 0.0 }
            };
            score(a).total_cmp(&score(b))
        })
        .map(|entry| format!("[{}] {}", entry.0, entry.1));
    best.unwrap_or_default().into()
}

fn parse_range(text: &str, least: u64, most: u64) -> Option<u64> {
    text.parse()
        .ok()
        .filter(|value| (least..=most).contains(value))
}

fn parse_name(text: &str) -> Option<CompactString> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let fits = !text.is_empty() && text.len() <= 64 && text.bytes().all(allowed);
    fits.then(|| text.into())
}

fn parse_level(text: &str) -> Option<slog::Level> {
    match text {
        "error" => Some(slog::Level::Error),
        "warning" => Some(slog::Level::Warning),
        "info" => Some(slog::Level::Info),
        "debug" => Some(slog::Level::Debug),
        _ => None,
    }
}
