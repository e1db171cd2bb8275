//! Demand above what healthy instances can serve in time, from many hosts that
//! know each other's requests only as of their last exchange.

mod service_fixture;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_policy::InstanceTable;
use crocushoist_policy::RetrySafety;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::DATA_CENTRE;
use crate::service_fixture::SERVICE;
use crate::service_fixture::SLOTS;
use crate::service_fixture::new_table;

const HOSTS: usize = 40;
const INSTANCES: usize = 6;
/// Milliseconds that an instance takes to process one request in each of its slots.
const WORK_MS: u64 = 200;
/// Milliseconds between exchanges of the loads.
const EXCHANGE_MS: u64 = 60;

/// Largest number of requests in flight at one instance while hosts exchange their loads.
fn max_load(seed: u64, per_s: u64, seconds: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = ClockTime::from_millis(BOOT_MS);
    let mut tables = vec![new_table(INSTANCES as u64, now); HOSTS];
    // Index of the host, index of the instance and end of each request in flight.
    let mut in_flight: Vec<(usize, usize, ClockTime)> = Vec::new();
    let end = now.plus(seconds * 1_000);
    let mut exchanged_at = now;
    let mut max_load_seen = 0;
    while now < end {
        now = now.plus(1_000 / per_s);
        in_flight.retain(|(host, instance, done)| {
            let is_in_flight = *done > now;
            if !is_in_flight {
                let (key, _) = tables[*host].iter().nth(*instance).unwrap();
                tables[*host].release(key);
            }
            is_in_flight
        });
        if now.since(exchanged_at) >= EXCHANGE_MS {
            exchanged_at = now;
            exchange_loads(&mut tables, &in_flight);
        }
        let host = rng.random_range(0..HOSTS);
        let draws = (rng.random(), rng.random());
        let retry_safety = RetrySafety::AtMostOnce;
        let table = &mut tables[host];
        let Some(key) = table.choose(
            SERVICE,
            DATA_CENTRE,
            retry_safety,
            &[],
            draws,
            false,
            |_| true,
            now,
        ) else {
            continue;
        };
        let instance = key.as_u32() as usize;
        let queued = in_flight
            .iter()
            .filter(|(_, at, _)| *at == instance)
            .count() as u64;
        let batches = 1 + queued / u64::from(SLOTS);
        in_flight.push((host, instance, now.plus(batches * WORK_MS)));
        max_load_seen = max_load_seen.max(queued as usize + 1);
    }
    max_load_seen
}

fn exchange_loads(tables: &mut [InstanceTable], in_flight: &[(usize, usize, ClockTime)]) {
    for (host, table) in tables.iter_mut().enumerate() {
        let hashes: Vec<u32> = table.iter().map(|(_, state)| state.hash).collect();
        for (instance, hash) in hashes.into_iter().enumerate() {
            let here = in_flight.iter().filter(|(_, at, _)| *at == instance);
            let total = here.clone().count() as u32;
            let own = here.filter(|(from, ..)| *from == host).count() as u32;
            table.set_others_load(hash, total - own);
        }
    }
}

#[test]
fn hosts_with_late_loads_do_not_overload_the_least_loaded_instance() {
    for seed in 0..10 {
        // 70 % of the capacity of all slots.
        let per_s = (INSTANCES as u64 * u64::from(SLOTS) * 1_000 / WORK_MS) * 7 / 10;
        let max_load = max_load(seed, per_s, 10);
        // An instance sheds requests beyond its slots and four waiting requests for each slot.
        assert!(
            max_load <= SLOTS as usize * 5,
            "seed {seed}: {max_load} requests in flight at one instance"
        );
    }
}

#[test]
fn min_queue_is_that_of_the_least_loaded_instance() {
    let now = ClockTime::from_millis(BOOT_MS);
    let mut table = new_table(INSTANCES as u64, now);
    assert_eq!(table.min_queue_per_slot(SERVICE, now), Some(0.0));
    let hashes: Vec<u32> = table.iter().map(|(_, state)| state.hash).collect();
    for hash in hashes {
        table.set_others_load(hash, 2 * SLOTS + 2);
    }
    assert_eq!(table.min_queue_per_slot(SERVICE, now), Some(2.0));
    assert_eq!(table.min_queue_per_slot("unknown", now), None);
}
