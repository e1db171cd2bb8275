//! Routes, admission ranks, retry budgets and the age of configuration
//! evidence.

use std::collections::HashMap;

use yare::parameterized;

use crocushoist_policy::AdmissionRank;
use crocushoist_policy::CallerLimits;
use crocushoist_policy::ConfigEvidence;
use crocushoist_policy::DeploymentConfig;
use crocushoist_policy::EraReading;
use crocushoist_policy::RetryBudget;
use crocushoist_policy::RetrySafety;
use crocushoist_policy::RouteIndex;
use crocushoist_policy::RouteSpec;
use crocushoist_policy::WeightedService;
use crocushoist_policy::WorkspaceSpec;
use crocushoist_state::ClockTime;

fn route(prefix: &str, priority: u32) -> RouteSpec {
    RouteSpec {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        retry_safety: RetrySafety::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 500,
        priority,
        split: vec![
            WeightedService {
                service: "new".into(),
                weight: 10,
            },
            WeightedService {
                service: "old".into(),
                weight: 90,
            },
        ],
        max_attempts: 2,
        is_public: false,
    }
}

fn config(routes: &[RouteSpec], workspaces: Vec<WorkspaceSpec>) -> DeploymentConfig {
    let mut index = RouteIndex::default();
    for route in routes {
        index.put(route.clone());
    }
    DeploymentConfig {
        version: 1,
        routes: index,
        workspaces,
        keys: HashMap::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
    }
}

fn workspace(priority: Option<u32>) -> WorkspaceSpec {
    WorkspaceSpec {
        name: "depot".into(),
        priority,
        rate_per_s: 0.0,
        burst: 0.0,
    }
}

#[parameterized(
    longest = { "/a/b/c", Some("/a/b/") },
    shorter = { "/a/x", Some("/a/") },
    whole_segment = { "/a/bc", Some("/a/") },
    prefix_itself = { "/a/b/", Some("/a/b/") },
    without_slash = { "/a", None },
    other = { "/z/", None },
)]
fn longest_matching_prefix_wins(path: &str, expected: Option<&str>) {
    let config = config(&[route("/a/", 1), route("/a/b/", 1)], Vec::new());
    let found = config.routes.find("a.example", path);
    assert_eq!(found.map(|route| route.prefix.as_str()), expected);
}

#[test]
fn services_get_requests_by_weight() {
    let route = route("/a/", 1);
    let new = (0..1_000).filter(|draw| route.service_for(*draw).unwrap() == "new");
    assert_eq!(new.count(), 100);
}

#[test]
fn less_urgent_requests_are_refused_first() {
    let (urgent, other) = (route("/a/", 1), route("/b/", 2));
    let config = config(&[urgent.clone(), other.clone()], vec![workspace(None)]);
    let rank = |route| AdmissionRank::for_request(&config, route, config.workspaces.first());
    assert!(rank(&urgent).admits(1.5));
    assert!(!rank(&other).admits(1.5));
    assert!(!rank(&urgent).admits(2.0));
    assert!(rank(&other).admits(0.0));
}

#[test]
fn workspace_priority_overrides_the_routes() {
    let (urgent, other) = (route("/a/", 1), route("/b/", 9));
    let workspaces = vec![workspace(Some(0)), workspace(Some(5))];
    let config = config(&[urgent.clone(), other.clone()], workspaces);
    let rank = |route, index: usize| {
        AdmissionRank::for_request(&config, route, config.workspaces.get(index))
    };
    assert!(rank(&other, 0).admits(1.5));
    assert!(!rank(&urgent, 1).admits(1.5));
}

#[test]
fn retries_of_all_hosts_stay_within_the_fleets_budget() {
    const HOSTS: usize = 44;
    let (ratio, slack) = (0.2, 62.0);
    let mut hosts = vec![RetryBudget::default(); HOSTS];
    let requests = 2_000;
    let mut retries = 0;
    for number in 0..requests {
        let host = &mut hosts[number % HOSTS];
        host.deposit(ratio, slack, HOSTS);
        while host.try_withdraw(None, 0.5) {
            retries += 1;
        }
    }
    let budget = ratio * requests as f64 + slack;
    assert!(
        f64::from(retries) <= budget,
        "{retries} retries exceed the budget of {budget}"
    );
    assert!(
        f64::from(retries) >= budget * 0.7,
        "{retries} retries use too little of the budget of {budget}"
    );
}

#[test]
fn evidence_of_a_peer_dates_from_the_time_of_the_request() {
    let at = |millis: u64| ClockTime::from_millis(100_000 + millis);
    let mut evidence = ConfigEvidence::default();
    let settled = EraReading {
        is_settled: true,
        ..EraReading::default()
    };
    assert_eq!(evidence.age(at(0)), None);
    evidence.record_store_read(settled, 0, at(0));
    evidence.record_peer_evidence(at(1_000), 300);
    assert_eq!(evidence.age(at(1_500)), Some(800));
    assert_eq!(evidence.store_age(at(1_500)), Some(1_500));
    evidence.clear_peer_evidence();
    assert_eq!(evidence.age(at(1_500)), Some(1_500));
    evidence.record_store_read(settled, 0, at(500));
    evidence.record_store_read(settled, 0, at(200));
    assert_eq!(
        evidence.age(at(1_500)),
        Some(1_000),
        "older evidence does not replace newer"
    );
}
