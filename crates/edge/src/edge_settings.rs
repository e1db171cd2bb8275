//! Settings of one host on the platform, read from an INI file.

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

const ALLOWED_ADDRESS: &str = "an IP number and a port, as 10.0.0.1:7000";
const ALLOWED_NAME: &str = "1 to 64 letters, digits, \"-\", \"_\" or \".\"";
const ALLOWED_MILLIS: &str = "milliseconds, a whole number from 100 to 86400000";
const ALLOWED_SECONDS: &str = "seconds, a number from 0.1 to 3600";
const ALLOWED_RATIO: &str = "a number from 0 to 10";
const ALLOWED_COUNT: &str = "a number from 0 to 1000000";
const ALLOWED_FLAG: &str = "true or false";
const ALLOWED_CORES: &str = "cores, a number from 0.01 to 1000";
const ALLOWED_MBPS: &str = "Mbit/s, a number from 0.1 to 1000000";
const ALLOWED_MEMORY: &str = "MB, a whole number from 24 to 1000000";
const ALLOWED_CONNECTIONS: &str = "a whole number from 8 to 100000";
const ALLOWED_LEVELS: &str = "error, warning, info or debug";

/// Bytes of a megabyte in the settings.
const BYTES_PER_MB: u64 = 1_024 * 1_024;

/// Every setting: section, name, default value, allowed values.
pub const DECLARED_SETTINGS: [DeclaredSetting; 22] = [
    ("host", "name", None, ALLOWED_NAME),
    ("host", "data-centre", None, ALLOWED_NAME),
    ("host", "callers", None, ALLOWED_ADDRESS),
    ("host", "ready", None, ALLOWED_ADDRESS),
    ("host", "directory", None, ALLOWED_ADDRESS),
    ("host", "peers", None, ALLOWED_ADDRESS),
    ("host", "metrics", None, ALLOWED_ADDRESS),
    ("host", "cores", Some("1"), ALLOWED_CORES),
    ("host", "link-mbps", Some("1000"), ALLOWED_MBPS),
    ("host", "first-start", Some("false"), ALLOWED_FLAG),
    ("store", "address", None, ALLOWED_ADDRESS),
    ("bounds", "revoke-ms", Some("5000"), ALLOWED_MILLIS),
    ("bounds", "retry-ratio", Some("0.2"), ALLOWED_RATIO),
    ("bounds", "retry-slack", Some("60"), ALLOWED_COUNT),
    ("bounds", "limit-slack", Some("20"), ALLOWED_COUNT),
    ("bounds", "address-ttl-s", Some("5"), ALLOWED_SECONDS),
    ("bounds", "grace-s", Some("6"), ALLOWED_SECONDS),
    ("bounds", "forget-hosts-s", Some("600"), ALLOWED_SECONDS),
    ("limits", "memory-mb", Some("260"), ALLOWED_MEMORY),
    (
        "limits",
        "caller-connections",
        Some("1300"),
        ALLOWED_CONNECTIONS,
    ),
    (
        "limits",
        "auxiliary-connections",
        Some("400"),
        ALLOWED_CONNECTIONS,
    ),
    ("log", "level", Some("info"), ALLOWED_LEVELS),
];

/// Settings of one host on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name in logs.
    pub name: CompactString,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// Address on which callers send requests.
    pub caller_address: SocketAddr,
    /// Address on which the platform checks readiness.
    pub readiness_address: SocketAddr,
    /// Address on which callers look up the addresses of hosts.
    pub directory_address: SocketAddr,
    /// Address for datagrams between hosts.
    pub peer_address: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_address: SocketAddr,
    /// Cores that the host may use.
    pub cores: f64,
    /// Bandwidth of the host's link in Mbit/s.
    pub link_mbps: f64,
    /// Whether the whole fleet starts for the first time, so that no host is registered yet.
    pub is_first_start: bool,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Milliseconds after which a revoked key must be refused on every host.
    pub revoke_ms: u64,
    /// Retries that the fleet may send for each request.
    pub retry_ratio: f64,
    /// Retries beyond the ratio that the fleet may send in a window.
    pub retry_slack: f64,
    /// Requests beyond a workspace's limit that are tolerated in a window.
    pub limit_slack: f64,
    /// Maximum milliseconds for which callers may cache addresses.
    pub address_ttl_ms: u64,
    /// Milliseconds from the stop signal to the end of the process.
    pub grace_ms: u64,
    /// Milliseconds of silence after which the registration of a host is removed.
    pub forget_hosts_ms: u64,
    /// Memory in bytes that the process may use.
    pub memory_bytes: u64,
    /// Maximum open connections of callers.
    pub caller_connections: usize,
    /// Maximum open connections on each auxiliary address.
    pub auxiliary_connections: usize,
    /// Minimum level of logged lines.
    pub log_level: slog::Level,
}

impl EdgeSettings {
    /// Reads the settings file at `path`; returns every error found in it.
    pub fn load(path: &str) -> Result<Self, Vec<SettingsError>> {
        let ini = load_ini(path).map_err(|error| vec![error])?;
        EdgeSettings::from_ini(&ini)
    }

    /// Processor and network together, by which hosts are ordered as hubs.
    pub(crate) fn capacity(&self) -> u32 {
        (self.cores * self.link_mbps).ceil() as u32
    }

    /// Checks every value of `ini`; returns every error.
    pub fn from_ini(ini: &Ini) -> Result<Self, Vec<SettingsError>> {
        let mut reader = SettingReader::new(ini, &DECLARED_SETTINGS);
        let settings = EdgeSettings::read_all(&mut reader);
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(reader.errors),
        }
    }

    fn read_all(reader: &mut SettingReader<'_>) -> Option<EdgeSettings> {
        let name = reader.parse_with("host", "name", parse_name);
        let data_centre = reader.parse_with("host", "data-centre", parse_name);
        let caller_address = reader.parse("host", "callers");
        let readiness_address = reader.parse("host", "ready");
        let directory_address = reader.parse("host", "directory");
        let peer_address = reader.parse("host", "peers");
        let metrics_address = reader.parse("host", "metrics");
        let cores = reader.parse_with("host", "cores", |text| parse_number(text, 0.01, 1_000.0));
        let link_mbps = reader.parse_with("host", "link-mbps", |text| {
            parse_number(text, 0.1, 1_000_000.0)
        });
        let is_first_start = reader.parse("host", "first-start");
        let store_address = reader.parse("store", "address");
        let revoke_ms = reader.parse_with("bounds", "revoke-ms", |text| {
            parse_in_range(text, 100, 86_400_000)
        });
        let retry_ratio = reader.parse_with("bounds", "retry-ratio", |text| {
            parse_number(text, 0.0, 10.0)
        });
        let retry_slack = reader.parse_with("bounds", "retry-slack", |text| {
            parse_number(text, 0.0, 1_000_000.0)
        });
        let limit_slack = reader.parse_with("bounds", "limit-slack", |text| {
            parse_number(text, 0.0, 1_000_000.0)
        });
        let address_ttl_ms = reader.parse_with("bounds", "address-ttl-s", parse_seconds_to_ms);
        let grace_ms = reader.parse_with("bounds", "grace-s", parse_seconds_to_ms);
        let forget_hosts_ms = reader.parse_with("bounds", "forget-hosts-s", parse_seconds_to_ms);
        let memory_mb = reader.parse_with("limits", "memory-mb", |text| {
            parse_in_range(text, 24, 1_000_000)
        });
        let caller_connections = reader.parse_with("limits", "caller-connections", |text| {
            parse_in_range(text, 8, 100_000)
        });
        let auxiliary_connections = reader.parse_with("limits", "auxiliary-connections", |text| {
            parse_in_range(text, 8, 100_000)
        });
        let log_level = reader.parse_with("log", "level", parse_log_level);
        Some(EdgeSettings {
            name: name?,
            data_centre: data_centre?,
            caller_address: caller_address?,
            readiness_address: readiness_address?,
            directory_address: directory_address?,
            peer_address: peer_address?,
            metrics_address: metrics_address?,
            cores: cores?,
            link_mbps: link_mbps?,
            is_first_start: is_first_start?,
            store_address: store_address?,
            revoke_ms: revoke_ms?,
            retry_ratio: retry_ratio?,
            retry_slack: retry_slack?,
            limit_slack: limit_slack?,
            address_ttl_ms: address_ttl_ms?,
            grace_ms: grace_ms?,
            forget_hosts_ms: forget_hosts_ms?,
            memory_bytes: memory_mb? * BYTES_PER_MB,
            caller_connections: caller_connections? as usize,
            auxiliary_connections: auxiliary_connections? as usize,
            log_level: log_level?,
        })
    }
}

fn parse_number(text: &str, min: f64, max: f64) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|value| (min..=max).contains(value))
}

/// Parses a number of seconds into milliseconds.
fn parse_seconds_to_ms(text: &str) -> Option<u64> {
    parse_number(text, 0.1, 3_600.0).map(|seconds| (seconds * 1_000.0) as u64)
}
