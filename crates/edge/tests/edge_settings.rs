//! Every value in a host's settings file is checked, and all errors are reported at once.

use ini::Ini;
use yare::parameterized;

use crocushoist_edge::edge_settings::EdgeSettings;

const COMPLETE_FILE: &str = "
[host]
name = edge-riga-1
data-centre = riga
callers = 10.0.0.1:7000
ready = 10.0.0.1:7001
directory = 10.0.0.1:7002
peers = 10.0.0.1:7003
metrics = 10.0.0.1:9464
[store]
address = 10.0.9.1:8000
[bounds]
grace-s = 6
address-ttl-s = 0.5
";

fn errors_of(text: &str) -> Vec<String> {
    let ini = Ini::load_from_str(text).unwrap();
    let errors = EdgeSettings::from_ini(&ini).err().unwrap_or_default();
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn complete_file_loads_with_default_values() {
    let settings = EdgeSettings::from_ini(&Ini::load_from_str(COMPLETE_FILE).unwrap()).unwrap();
    assert_eq!(settings.revoke_ms, 5_000);
    assert_eq!((settings.grace_ms, settings.address_ttl_ms), (6_000, 500));
}

#[parameterized(
    port = {
        "callers = 10.0.0.1:7000", "callers = 10.0.0.1",
        "[host] callers = \"10.0.0.1\" is not allowed; allowed: an IP number and a port, as 10.0.0.1:7000"
    },
    seconds = {
        "grace-s = 6", "grace-s = soon",
        "[bounds] grace-s = \"soon\" is not allowed; allowed: seconds, a number from 0.1 to 3600"
    },
    missing = {
        "data-centre = riga", "",
        "[host] data-centre is missing; allowed: 1 to 64 letters, digits, \"-\", \"_\" or \".\""
    },
    misspelt = {
        "grace-s = 6", "graces = 6",
        "[bounds] graces is not a setting of this program; near: [bounds] grace-s"
    },
)]
fn error_names_setting_value_and_allowed_values(original: &str, changed: &str, expected: &str) {
    assert_eq!(
        errors_of(&COMPLETE_FILE.replace(original, changed)),
        [expected]
    );
}
