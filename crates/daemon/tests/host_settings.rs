//! Every value of a settings file is checked, and all errors are reported at
//! once.

use ini::Ini;
use yare::parameterized;

use crocushoistd::host_settings::HostSettings;

const COMPLETE: &str = "
[host]
callers = 10.0.0.1:7000
peers = 10.0.0.1:7001
admin = 10.0.0.1:7002
data-centre = riga-1
[platform]
log = 10.0.9.1:8000
host-list = 10.0.9.2:8000
";

fn errors_of(text: &str) -> Vec<String> {
    let ini = Ini::load_from_str(text).unwrap();
    let errors = HostSettings::from_ini(&ini).err().unwrap_or_default();
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn missing_settings_get_default_values() {
    let settings = HostSettings::from_ini(&Ini::load_from_str(COMPLETE).unwrap()).unwrap();
    assert_eq!(settings.shard_count, 44);
    assert_eq!(settings.listen_peers, settings.peers);
}

#[parameterized(
    port = {
        "callers = 10.0.0.1:7000", "callers = 10.0.0.1",
        "[host] callers = \"10.0.0.1\" is not allowed; allowed: an IP number and a port, as 10.0.0.1:7000"
    },
    host_name = {
        "log = 10.0.9.1:8000", "log = log.riga:8000",
        "[platform] log = \"log.riga:8000\" is not allowed; allowed: an IP number and a port, as 10.0.0.1:7000"
    },
    missing = {
        "data-centre = riga-1", "",
        "[host] data-centre is missing; allowed: 1 to 64 letters, digits, \"-\", \"_\" or \".\""
    },
    misspelt = {
        "[platform]", "[fleet]\nshard = 44\n[platform]",
        "[fleet] shard is not a setting of this program; near: [fleet] shards"
    },
    too_many = {
        "[platform]", "[fleet]\nshards = 4000\n[platform]",
        "[fleet] shards = \"4000\" is not allowed; allowed: a whole number from 1 to 1024, the same on every host"
    },
)]
fn error_names_setting_value_and_cause(original: &str, changed: &str, expected: &str) {
    assert_eq!(errors_of(&COMPLETE.replace(original, changed)), [expected]);
}

#[test]
fn all_errors_are_reported_at_once() {
    let errors = errors_of("[host]\ncallers = x\n[log]\nlevel = loud\n");
    assert_eq!(errors.len(), 7, "{errors:#?}");
}
