//! Scripts of configuration changes and their expected results.
//!
//! Each line is `BASE CHANGE => EXPECTED`. Line N stands for the log record at
//! offset N - 1, so an object changed in line N has revision N.

use yare::parameterized;

use crocushoist_state::ConfigChange;
use crocushoist_state::ExceptionScope;
use crocushoist_state::FleetConfig;
use crocushoist_state::KeyDigest;
use crocushoist_state::RouteAccess;

fn parse_change(words: &[&str]) -> ConfigChange {
    let text = |index: usize| words.get(index).copied().unwrap_or("").into();
    match words[0] {
        "default" => ConfigChange::SetDefault {
            setting: words[1].parse().unwrap(),
            value: words[2].parse().unwrap(),
        },
        "exception" => ConfigChange::PutException {
            scope: ExceptionScope::Workspace(text(1)),
            setting: words[2].parse().unwrap(),
            value: words[3].parse().unwrap(),
            reason: words[4..].join(" ").into(),
        },
        "drop-exception" => ConfigChange::RemoveException {
            scope: ExceptionScope::Workspace(text(1)),
            setting: words[2].parse().unwrap(),
        },
        "workspace" => ConfigChange::PutWorkspace { name: text(1) },
        "drop-workspace" => ConfigChange::RemoveWorkspace { name: text(1) },
        "grant" => ConfigChange::GrantKey {
            digest: KeyDigest::of(words[1]),
            workspace: text(2),
        },
        "withdraw" => ConfigChange::WithdrawKey {
            digest: KeyDigest::of(words[1]),
        },
        "service" => ConfigChange::PutService {
            name: text(1),
            shed_is_not_run: false,
        },
        "drop-service" => ConfigChange::RemoveService { name: text(1) },
        "route" => ConfigChange::PutRoute {
            prefix: text(1),
            service: text(2),
            access: RouteAccess::Keyed,
        },
        other => panic!("unknown change {other}"),
    }
}

fn run_script(script: &str) -> FleetConfig {
    let mut config = FleetConfig::default();
    for (index, line) in script
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .enumerate()
    {
        let (change, expected) = line.split_once("=>").unwrap();
        let words: Vec<&str> = change.split_whitespace().collect();
        let base = words[0].parse().unwrap();
        let result = config.apply(&parse_change(&words[1..]), base, "test", index as u64 + 1);
        let found = result.map_or_else(|error| error.to_string(), |()| "ok".to_owned());
        assert_eq!(found, expected.trim(), "line {}: {line}", index + 1);
    }
    config
}

#[parameterized(
    edit_with_outdated_base_is_rejected = { "
        0 workspace depot => ok
        0 workspace depot => workspace \"depot\" is at revision 1, the edit was based on revision 0
        1 workspace depot => ok
    " },
    exception_needs_reason_valid_value_and_workspace = { "
        0 exception depot rate 5 because => workspace \"depot\" does not exist
        0 workspace depot => ok
        0 exception depot rate 5 => the exception of workspace \"depot\" for rate has no reason
        0 exception depot rate 0 because => setting rate = 0 is outside 1 to 1000000
        0 exception depot rate 5 because => ok
        5 drop-exception depot rate => ok
        0 drop-exception depot rate => exception rate of workspace \"depot\" does not exist
    " },
    service_of_a_route_cannot_be_removed = { "
        0 route /stock stock => service \"stock\" does not exist
        0 service stock => ok
        0 route stock stock => route \"stock\" does not start with \"/\" or ends with \"/\"
        0 route /stock stock => ok
        2 drop-service stock => service \"stock\" is still used by route \"/stock\"
    " },
    invalid_names_are_rejected = { "
        0 workspace a/b => name \"a/b\" is empty, too long or has characters other than letters, digits, \"-\", \"_\" and \".\"
        0 service é => name \"é\" is empty, too long or has characters other than letters, digits, \"-\", \"_\" and \".\"
    " },
)]
fn script_gives_expected_results(script: &str) {
    run_script(script);
}

#[test]
fn removing_a_workspace_removes_its_keys_and_exceptions() {
    let config = run_script(
        "
        0 workspace depot => ok
        0 grant key depot => ok
        0 exception depot rate 5 because => ok
        1 drop-workspace depot => ok
        0 workspace depot => ok
        ",
    );
    assert_eq!(config.workspace_of_key(&KeyDigest::of("key")), None);
    let depot = config.find_workspace("depot").unwrap();
    assert_eq!(config.limit_of(depot).rate, 50);
}
