//! Instances short of room that turn requests of many hosts away with a time for
//! which they want nothing.
//!
//! The model compares who heeds that time: nobody, the host that was told, or
//! all hosts as soon as they are told.

mod service_fixture;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceKey;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::RetrySafety;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::DATA_CENTRE;
use crate::service_fixture::SERVICE;
use crate::service_fixture::SLOTS;
use crate::service_fixture::new_table;

const INSTANCES: usize = 8;
const WORK_MS: u64 = 200;
const EXCHANGE_MS: u64 = 60;
const SEEDS: u64 = 10;
const PLAY_MS: u64 = 20_000;
/// Waiting requests for each slot from which an instance turns requests away.
const MAX_WAITING_PER_SLOT: u64 = 2;
/// Instances that are short of room, and the factor by which they are slower.
const SHORT_OF_ROOM: usize = 3;
const SLOWDOWN: u64 = 3;
/// Milliseconds in which an instance must get a request while many of its service are not served.
const FLOOR_WINDOW_MS: u64 = 2_000;
/// Requests a second, as a part of what the instances can do.
const DEMAND: f64 = 0.85;

#[derive(Clone, Copy, Debug, PartialEq)]
enum HeededBy {
    Nobody,
    ToldHost,
    AllHosts,
}

/// Figures of one play.
#[derive(Debug, Default)]
struct HoldFigures {
    /// Fraction of the requests that an instance took, at the first or the second attempt.
    served: f64,
    /// Requests for each served one that were turned away.
    turned_away: f64,
    /// Most requests that one instance short of room got in a tenth of a second.
    max_burst: usize,
    /// Longest time in milliseconds in which an instance short of room got no request.
    max_gap_ms: u64,
}

struct InFlight {
    host: usize,
    key: InstanceKey,
    sent_at: ClockTime,
    done_at: ClockTime,
}

fn play(heeded_by: HeededBy, hosts: usize, hold_ms: u64, seed: u64) -> HoldFigures {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = ClockTime::from_millis(BOOT_MS);
    let mut tables = vec![new_table(INSTANCES as u64, start); hosts];
    let mut in_flight: Vec<InFlight> = Vec::new();
    // Holds that the other hosts learn at the next exchange.
    let mut untold: Vec<(InstanceKey, ClockTime)> = Vec::new();
    let mut arrivals: Vec<Vec<u64>> = vec![vec![0]; SHORT_OF_ROOM];
    let capacity = (INSTANCES - SHORT_OF_ROOM) as f64 + SHORT_OF_ROOM as f64 / SLOWDOWN as f64;
    let per_ms = DEMAND * capacity * f64::from(SLOTS) / WORK_MS as f64;
    let (mut requests, mut served, mut turned_away) = (0u32, 0u32, 0u32);
    for millis in 1..PLAY_MS {
        let now = start.plus(millis);
        in_flight.retain(|request| {
            let is_done = request.done_at <= now;
            if is_done {
                let table = &mut tables[request.host];
                table.release(request.key);
                let latency_ms = now.since(request.sent_at);
                table.record_outcome(request.key, AttemptOutcome::Good, latency_ms, now);
            }
            !is_done
        });
        if millis % EXCHANGE_MS == 0 {
            exchange_loads(&mut tables, &in_flight);
            for (key, until) in untold.drain(..) {
                for table in &mut tables {
                    table.record_hold(key, until.since(now), now);
                }
            }
        }
        if rng.random::<f64>() >= per_ms {
            continue;
        }
        requests += 1;
        let host = rng.random_range(0..hosts);
        let mut tried = Vec::new();
        for _ in 0..2 {
            let draws = (rng.random(), rng.random());
            let table = &mut tables[host];
            let Some(key) = table.choose(
                SERVICE,
                DATA_CENTRE,
                RetrySafety::AtMostOnce,
                &tried,
                draws,
                false,
                |_| true,
                now,
            ) else {
                break;
            };
            tried.push(key);
            let index = key.as_u32() as usize;
            let is_short = index < SHORT_OF_ROOM;
            if is_short {
                arrivals[index].push(millis);
            }
            let load = in_flight.iter().filter(|request| request.key == key);
            let load = load.count() as u64;
            let slots = u64::from(SLOTS);
            if load >= slots * (1 + MAX_WAITING_PER_SLOT) {
                turned_away += 1;
                table.release(key);
                table.record_shed(key, now);
                match heeded_by {
                    HeededBy::Nobody => {}
                    HeededBy::ToldHost => {
                        table.record_hold(key, hold_ms, now);
                    }
                    HeededBy::AllHosts => {
                        table.record_hold(key, hold_ms, now);
                        untold.push((key, now.plus(hold_ms)));
                    }
                }
                continue;
            }
            let work_ms = if is_short {
                WORK_MS * SLOWDOWN
            } else {
                WORK_MS
            };
            let batches = 1 + load / slots;
            in_flight.push(InFlight {
                host,
                key,
                sent_at: now,
                done_at: now.plus(batches * work_ms),
            });
            served += 1;
            break;
        }
    }
    let bursts = arrivals.iter().flat_map(|times| {
        times.iter().map(|first| {
            times
                .iter()
                .filter(|at| (*first..first + 100).contains(*at))
                .count()
        })
    });
    let gaps = arrivals
        .iter()
        .flat_map(|times| times.windows(2).map(|pair| pair[1] - pair[0]));
    HoldFigures {
        served: f64::from(served) / f64::from(requests),
        turned_away: f64::from(turned_away) / f64::from(served),
        max_burst: bursts.max().unwrap_or_default(),
        max_gap_ms: gaps.max().unwrap_or_default(),
    }
}

fn exchange_loads(tables: &mut [InstanceTable], in_flight: &[InFlight]) {
    let mut totals = [0u32; INSTANCES];
    for request in in_flight {
        totals[request.key.as_u32() as usize] += 1;
    }
    for table in tables {
        let states: Vec<(u32, u32)> = table
            .iter()
            .map(|(_, state)| (state.hash, state.in_flight))
            .collect();
        for (total, (hash, own)) in totals.iter().zip(states) {
            table.set_others_load(hash, total.saturating_sub(own));
        }
    }
}

/// Means over the seeds, but the largest burst and gap.
fn play_all(heeded_by: HeededBy, hosts: usize, hold_ms: u64) -> HoldFigures {
    let mut all = HoldFigures::default();
    for seed in 0..SEEDS {
        let figures = play(heeded_by, hosts, hold_ms, seed);
        all.served += figures.served / SEEDS as f64;
        all.turned_away += figures.turned_away / SEEDS as f64;
        all.max_burst = all.max_burst.max(figures.max_burst);
        all.max_gap_ms = all.max_gap_ms.max(figures.max_gap_ms);
    }
    println!("{hosts} hosts, {hold_ms} ms, {heeded_by:?}: {all:.3?}");
    all
}

/// Guards against hosts that all leave an instance, and come back to it, together.
#[parameterized(
    few_hosts_for_long = { 6, 2_000 },
    many_hosts_for_long = { 60, 2_000 },
    many_hosts_for_a_moment = { 60, 300 },
)]
fn host_that_was_told_heeds_a_hold_alone(hosts: usize, hold_ms: u64) {
    let told_host = play_all(HeededBy::ToldHost, hosts, hold_ms);
    let all_hosts = play_all(HeededBy::AllHosts, hosts, hold_ms);
    assert!(told_host.served > all_hosts.served);
    assert!(told_host.max_burst < all_hosts.max_burst);
    assert!(told_host.max_gap_ms < FLOOR_WINDOW_MS);
}

/// Guards against a hold that costs many requests although other instances have room.
#[test]
fn heeding_a_hold_costs_few_requests() {
    for (hosts, hold_ms, max_cost) in [(6, 2_000, 0.05), (60, 2_000, 0.01), (60, 300, 0.01)] {
        let nobody = play_all(HeededBy::Nobody, hosts, hold_ms);
        let told_host = play_all(HeededBy::ToldHost, hosts, hold_ms);
        assert!(told_host.served + max_cost > nobody.served);
    }
}
