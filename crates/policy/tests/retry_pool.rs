//! Load pattern: hundreds of hosts with a few requests a second each, of which
//! some fail and should be sent again.
//!
//! The retries of all hosts share one budget: in any ten seconds a fifth of the
//! requests and a fixed number more.

use std::net::SocketAddr;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_policy::HubAggregator;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::ReporterId;
use crocushoist_policy::RetryBudget;
use crocushoist_policy::aged_share;
use crocushoist_policy::name_hash;
use crocushoist_policy::retry_pool_limit;
use crocushoist_state::ClockTime;

const SERVICE: &str = "ledger";
const DATA_CENTRES: usize = 5;
const HOSTS: usize = 290;
const REQUESTS_PER_S: f64 = 608.0;
const RATIO: f64 = 0.2;
const SLACK: f64 = 430.0;
const STEP_MS: u64 = 20;
const REPORT_INTERVAL_MS: u64 = 60;
const SUMMARY_INTERVAL_MS: u64 = 120;
const BUDGET_WINDOW_MS: u64 = 10_000;
const RUN_MS: u64 = 30_000;
const MAX_ATTEMPTS: u32 = 3;

/// What a run showed, by steps of `STEP_MS`.
struct PoolRun {
    requests: Vec<u32>,
    retries: Vec<u32>,
    /// Failed attempts that were not sent again although another attempt was left.
    denied: u32,
}

fn reporter(number: usize) -> ReporterId {
    ReporterId {
        peer_address: SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7000)),
        incarnation: 1,
        is_counted: true,
        has_all_counts: true,
    }
}

/// Plays a fleet in which `failure_rate` of the attempts fail at a time; all hubs are silent
/// during `hubless`.
fn play(seed: u64, failure_rate: impl Fn(u64) -> f64, hubless: Range<u64>) -> PoolRun {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut budgets = vec![RetryBudget::default(); HOSTS];
    let mut shares: Vec<Option<(f64, ClockTime)>> = vec![None; HOSTS];
    let mut tables = vec![InstanceTable::default(); HOSTS];
    let mut hubs: Vec<(HubAggregator, InstanceTable)> = (0..DATA_CENTRES)
        .map(|_| (HubAggregator::default(), InstanceTable::default()))
        .collect();
    let mut run = PoolRun {
        requests: Vec::new(),
        retries: Vec::new(),
        denied: 0,
    };
    for at_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        let now = ClockTime::from_millis(100_000 + at_ms);
        let (mut requests, mut retries) = (0, 0);
        for host in 0..HOSTS {
            let share = shares[host].and_then(|(share, at)| aged_share(share, at, now));
            if rng.random::<f64>() >= REQUESTS_PER_S / HOSTS as f64 * STEP_MS as f64 / 1_000.0 {
                continue;
            }
            requests += 1;
            budgets[host].deposit(RATIO, SLACK, HOSTS);
            tables[host].count_request(SERVICE, true);
            for _ in 1..MAX_ATTEMPTS {
                if rng.random::<f64>() >= failure_rate(at_ms) {
                    break;
                }
                if !budgets[host].try_withdraw(share, rng.random()) {
                    run.denied += 1;
                    break;
                }
                retries += 1;
            }
        }
        run.requests.push(requests);
        run.retries.push(retries);
        if hubless.contains(&at_ms) {
            continue;
        }
        for host in 0..HOSTS {
            if at_ms % REPORT_INTERVAL_MS != host as u64 * STEP_MS % REPORT_INTERVAL_MS {
                continue;
            }
            let (hub, table) = &mut hubs[host % DATA_CENTRES];
            for counts in tables[host].take_service_counts() {
                table.add_service_counts(counts, now);
                hub.add_service_counts(counts);
            }
            hub.apply_report(reporter(host), None, &[budgets[host].counts(SERVICE)], now);
            let requests_per_s = table.requests_per_s(name_hash(SERVICE), now);
            let limit = |_| Some(retry_pool_limit(RATIO, SLACK, requests_per_s));
            hub.update_limiters(limit, now);
            if let Some(assigned) = hub.shares(limit, now) {
                let share = assigned.first().map_or(1.0, |(_, share)| *share);
                shares[host] = Some((share, now));
            }
        }
        if at_ms % SUMMARY_INTERVAL_MS == 0 {
            exchange_summaries(&mut hubs, now);
        }
    }
    run
}

fn exchange_summaries(hubs: &mut [(HubAggregator, InstanceTable)], now: ClockTime) {
    for from in 0..DATA_CENTRES {
        let services = hubs[from].0.take_service_counts();
        let totals = hubs[from].0.local_totals();
        let reporters = hubs[from].0.reporter_count(now);
        for to in (0..DATA_CENTRES).filter(|to| *to != from) {
            let (hub, table) = &mut hubs[to];
            let name = format!("dc{from}");
            hub.apply_summary(reporter(1_000 + from), &name, None, &totals, now);
            hub.set_hub_load(reporter(1_000 + from).peer_address, reporters, Vec::new());
            hub.update_coverage(HOSTS, now);
            for counts in &services {
                table.add_service_counts(*counts, now);
            }
        }
    }
}

fn assert_within_budget(run: &PoolRun, seed: u64) {
    let steps = (BUDGET_WINDOW_MS / STEP_MS) as usize;
    for end in steps..run.retries.len() {
        let retries: u32 = run.retries[end - steps..end].iter().sum();
        let requests: u32 = run.requests[end - steps..end].iter().sum();
        let allowed = RATIO * f64::from(requests) + SLACK;
        assert!(
            f64::from(retries) <= allowed,
            "seed {seed}: {retries} retries in ten seconds, {allowed} are allowed"
        );
    }
}

#[test]
fn failures_are_sent_again_while_the_fleet_has_retries_to_spare() {
    for seed in 0..5 {
        let run = play(seed, |_| 0.12, 0..0);
        assert_within_budget(&run, seed);
        let retries: u32 = run.retries.iter().sum();
        let denied_share = f64::from(run.denied) / f64::from(run.denied + retries);
        assert!(
            denied_share <= 0.03,
            "seed {seed}: {denied_share:.3} of the retries were denied"
        );
    }
}

#[test]
fn retries_stay_within_the_budget_when_most_attempts_fail() {
    let failure_rate = |at_ms| if at_ms < 12_000 { 0.05 } else { 0.7 };
    for seed in 0..5 {
        let run = play(seed, failure_rate, 0..0);
        assert_within_budget(&run, seed);
        let from = 20_000 / STEP_MS as usize;
        let used: u32 = run.retries[from..].iter().sum();
        let requests: u32 = run.requests[from..].iter().sum();
        let allowed = RATIO * f64::from(requests) + SLACK;
        assert!(
            f64::from(used) >= allowed * 0.6,
            "seed {seed}: {used} of {allowed} retries were used"
        );
    }
}

#[test]
fn retries_stay_within_the_budget_when_the_hubs_fall_silent() {
    for seed in 0..5 {
        let run = play(seed, |_| 0.5, 15_000..21_000);
        assert_within_budget(&run, seed);
    }
}
