//! Tests that unknown names in an edit are rejected, with a suggestion where one is similar.

use yare::parameterized;

use crocushoist::check_names;
use crocushoist_protocol::ConfigReport;
use crocushoist_protocol::WireChange;
use crocushoist_protocol::WireScope;

fn config() -> ConfigReport {
    let workspace = WireChange::PutWorkspace {
        name: "depot-riga".into(),
    };
    let service = WireChange::PutService {
        name: "stock".into(),
        shed_is_not_run: true,
    };
    ConfigReport {
        next_offset: 2,
        objects: vec![(1, workspace), (2, service)],
    }
}

#[parameterized(
    workspace = {
        WireChange::RemoveWorkspace { name: "depot-rigga".into() },
        "workspace \"depot-rigga\" does not exist; near: \"depot-riga\""
    },
    setting = {
        WireChange::SetDefault { setting: "rates".into(), value: 1 },
        "setting \"rates\" does not exist; near: \"rate\""
    },
    service = {
        WireChange::PutRoute { prefix: "/s".into(), service: "stok".into(), open: false },
        "service \"stok\" does not exist; near: \"stock\""
    },
    no_similar_name = {
        WireChange::RemoveException { scope: WireScope::Service("zzz".into()), setting: "rate".into() },
        "service \"zzz\" does not exist"
    },
)]
fn unknown_name_is_rejected(change: WireChange, expected: &str) {
    let error = check_names(&config(), &change).unwrap_err();
    assert_eq!(error.to_string(), expected);
    assert_eq!(error.exit_code(), 2);
}

#[test]
fn known_names_are_accepted() {
    let change = WireChange::GrantKey {
        digest: "00".into(),
        workspace: "depot-riga".into(),
    };
    assert!(check_names(&config(), &change).is_ok());
}
