//! Settings of one host on the platform, read from an INI file.

use std::net::SocketAddr;

use compact_str::CompactString;
use ini::Ini;

use crocushoist_settings::DeclaredSetting;
use crocushoist_settings::SettingReader;
use crocushoist_settings::SettingsError;
use crocushoist_settings::load_ini;
use crocushoist_settings::parse_level;
use crocushoist_settings::parse_name;
use crocushoist_settings::parse_range;

const ALLOWED_ADDRESS: &str = "an IP number and a port, as 10.0.0.1:7000";
const ALLOWED_NAME: &str = "1 to 64 letters, digits, \"-\", \"_\" or \".\"";
const ALLOWED_MILLIS: &str = "milliseconds, a whole number from 100 to 86400000";
const ALLOWED_SECONDS: &str = "seconds, a number from 0.1 to 3600";
const ALLOWED_RATIO: &str = "a number from 0 to 10";
const ALLOWED_COUNT: &str = "a number from 0 to 1000000";
const ALLOWED_LEVELS: &str = "error, warning, info or debug";

/// Every setting: section, name, initial value, what is allowed.
pub const DECLARED_SETTINGS: [DeclaredSetting; 15] = [
    ("host", "name", None, ALLOWED_NAME),
    ("host", "data-centre", None, ALLOWED_NAME),
    ("host", "callers", None, ALLOWED_ADDRESS),
    ("host", "ready", None, ALLOWED_ADDRESS),
    ("host", "directory", None, ALLOWED_ADDRESS),
    ("host", "peers", None, ALLOWED_ADDRESS),
    ("host", "metrics", None, ALLOWED_ADDRESS),
    ("store", "address", None, ALLOWED_ADDRESS),
    ("bounds", "revoke-ms", Some("5000"), ALLOWED_MILLIS),
    ("bounds", "retry-ratio", Some("0.2"), ALLOWED_RATIO),
    ("bounds", "retry-slack", Some("60"), ALLOWED_COUNT),
    ("bounds", "limit-slack", Some("20"), ALLOWED_COUNT),
    ("bounds", "address-ttl-s", Some("5"), ALLOWED_SECONDS),
    ("bounds", "grace-s", Some("6"), ALLOWED_SECONDS),
    ("log", "level", Some("info"), ALLOWED_LEVELS),
];

/// Settings of one host on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name in logs.
    pub name: CompactString,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform checks readiness.
    pub ready: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    /// Where hosts send datagrams to each other.
    pub peers: SocketAddr,
    /// Where counters are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Milliseconds after which a withdrawn key admits nothing.
    pub revoke_ms: u64,
    /// Repeated sends for each request that the fleet may make.
    pub retry_ratio: f64,
    /// Repeated sends beyond the ratio that the fleet may make in a window.
    pub retry_slack: f64,
    /// Requests beyond a workspace's limit that count as inside it, in a window.
    pub limit_slack: f64,
    /// Milliseconds that callers may keep addresses at max.
    pub address_ttl_ms: u64,
    /// Milliseconds between the request to stop and the end of the process.
    pub grace_ms: u64,
    /// Level of the log lines.
    pub log_level: slog::Level,
}

impl EdgeSettings {
    /// Reads the settings file at `path`; returns every fault of it.
    pub fn load(path: &str) -> Result<Self, Vec<SettingsError>> {
        let ini = load_ini(path).map_err(|fault| vec![fault])?;
        EdgeSettings::from_ini(&ini)
    }

    /// Checks every value of `ini`; returns every fault.
    pub fn from_ini(ini: &Ini) -> Result<Self, Vec<SettingsError>> {
        let mut reader = SettingReader::new(ini, &DECLARED_SETTINGS);
        let settings = EdgeSettings::read_all(&mut reader);
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(reader.faults),
        }
    }

    fn read_all(reader: &mut SettingReader<'_>) -> Option<EdgeSettings> {
        let name = reader.parse_with("host", "name", parse_name);
        let data_centre = reader.parse_with("host", "data-centre", parse_name);
        let callers = reader.parse("host", "callers");
        let ready = reader.parse("host", "ready");
        let directory = reader.parse("host", "directory");
        let peers = reader.parse("host", "peers");
        let metrics = reader.parse("host", "metrics");
        let store = reader.parse("store", "address");
        let revoke_ms = reader.parse_with("bounds", "revoke-ms", |text| {
            parse_range(text, 100, 86_400_000)
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
        let address_ttl = reader.parse_with("bounds", "address-ttl-s", parse_seconds);
        let grace = reader.parse_with("bounds", "grace-s", parse_seconds);
        let log_level = reader.parse_with("log", "level", parse_level);
        Some(EdgeSettings {
            name: name?,
            data_centre: data_centre?,
            callers: callers?,
            ready: ready?,
            directory: directory?,
            peers: peers?,
            metrics: metrics?,
            store: store?,
            revoke_ms: revoke_ms?,
            retry_ratio: retry_ratio?,
            retry_slack: retry_slack?,
            limit_slack: limit_slack?,
            address_ttl_ms: address_ttl?,
            grace_ms: grace?,
            log_level: log_level?,
        })
    }
}

fn parse_number(text: &str, min: f64, max: f64) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|value| (min..=max).contains(value))
}

/// Milliseconds of a number of seconds.
fn parse_seconds(text: &str) -> Option<u64> {
    parse_number(text, 0.1, 3_600.0).map(|seconds| (seconds * 1_000.0) as u64)
}
