//! Settings of one host, read from an INI file.
//!
//! Every setting is declared in [`DECLARED`]; every value is checked at the
//! start and all faults are reported together.

use std::net::SocketAddr;

use compact_str::CompactString;
use ini::Ini;

use crocushoist_settings::DeclaredSetting;
use crocushoist_settings::SettingReader;
use crocushoist_settings::SettingsError;
use crocushoist_settings::load_ini;
use crocushoist_settings::parse_in_range;
use crocushoist_settings::parse_log_level;
use crocushoist_settings::parse_name;
use crocushoist_state::RoutingPolicy;

const ADDRESS: &str = "an IP number and a port, as 10.0.0.1:7000";
const NAME: &str = "1 to 64 letters, digits, \"-\", \"_\" or \".\"";
const SHARDS: &str = "a whole number from 1 to 1024, the same on every host";
const RECORDS: &str = "a whole number from 1 to 1000000";
const MILLIS: &str = "milliseconds, a whole number from 100 to 86400000";
const POLICIES: &str = "shared, own or round-robin";
const LEVELS: &str = "error, warning, info or debug";

/// Every setting: section, name, initial value, what is allowed.
pub const DECLARED: [DeclaredSetting; 13] = [
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
        let ini = load_ini(path).map_err(|fault| vec![fault])?;
        HostSettings::from_ini(&ini)
    }

    /// Checks every value of `ini`; returns every fault.
    pub fn from_ini(ini: &Ini) -> Result<Self, Vec<SettingsError>> {
        let mut reader = SettingReader::new(ini, &DECLARED);
        let settings = HostSettings::read_all(&mut reader);
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(reader.errors),
        }
    }

    fn read_all(reader: &mut SettingReader<'_>) -> Option<HostSettings> {
        let callers = reader.parse("host", "callers");
        let peers = reader.parse("host", "peers");
        let admin = reader.parse("host", "admin");
        let listen_callers = reader.parse_optional("host", "listen-callers");
        let listen_peers = reader.parse_optional("host", "listen-peers");
        let data_centre = reader.parse_with("host", "data-centre", parse_name);
        let log = reader.parse("platform", "log");
        let host_list = reader.parse("platform", "host-list");
        let shard_count =
            reader.parse_with("fleet", "shards", |text| parse_in_range(text, 1, 1_024));
        let records = reader.parse_with("snapshot", "every-records", |text| {
            parse_in_range(text, 1, 1_000_000)
        });
        let millis = reader.parse_with("snapshot", "every-ms", |text| {
            parse_in_range(text, 100, 86_400_000)
        });
        let routing_policy = reader.parse("routing", "policy");
        let log_level = reader.parse_with("log", "level", parse_log_level);
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
}
