//! More demand than sound instances can serve in time, spread by many hosts
//! that know each other's requests only as of their last exchange.

mod service_fixture;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_policy::InstanceTable;
use crocushoist_policy::RepeatKind;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::CENTRE;
use crate::service_fixture::SERVICE;
use crate::service_fixture::SLOTS;
use crate::service_fixture::new_table;

const HOSTS: usize = 40;
const INSTANCES: usize = 6;
const WORK_MS: u64 = 200;
const EXCHANGE_MS: u64 = 60;

/// Largest number of requests in flight at one instance while hosts exchange loads.
fn largest_load(seed: u64, per_s: u64, seconds: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = ClockTime::from_millis(BOOT_MS);
    let mut tables = vec![new_table(INSTANCES as u64, now); HOSTS];
    // Requests in flight: host, instance, end.
    let mut flying: Vec<(usize, usize, ClockTime)> = Vec::new();
    let end = now.plus(seconds * 1_000);
    let mut exchanged_at = now;
    let mut largest = 0;
    while now < end {
        now = now.plus(1_000 / per_s);
        flying.retain(|(host, instance, done)| {
            let is_flying = *done > now;
            if !is_flying {
                let (key, _) = tables[*host].iter().nth(*instance).unwrap();
                tables[*host].release(key);
            }
            is_flying
        });
        if now.since(exchanged_at) >= EXCHANGE_MS {
            exchanged_at = now;
            exchange(&mut tables, &flying);
        }
        let host = rng.random_range(0..HOSTS);
        let draws = (rng.random(), rng.random());
        let kind = RepeatKind::AtMostOnce;
        let table = &mut tables[host];
        let Some(key) = table.choose(SERVICE, CENTRE, kind, &[], draws, false, |_| true, now)
        else {
            continue;
        };
        let instance = key.as_u32() as usize;
        let ahead = flying.iter().filter(|(_, at, _)| *at == instance).count() as u64;
        let rounds = 1 + ahead / u64::from(SLOTS);
        flying.push((host, instance, now.plus(rounds * WORK_MS)));
        largest = largest.max(ahead as usize + 1);
    }
    largest
}

fn exchange(tables: &mut [InstanceTable], flying: &[(usize, usize, ClockTime)]) {
    for (host, table) in tables.iter_mut().enumerate() {
        let hashes: Vec<u32> = table.iter().map(|(_, state)| state.hash).collect();
        for (instance, hash) in hashes.into_iter().enumerate() {
            let here = flying.iter().filter(|(_, at, _)| *at == instance);
            let total = here.clone().count() as u32;
            let own = here.filter(|(from, ..)| *from == host).count() as u32;
            table.take_load(hash, total, own);
        }
    }
}

#[test]
fn hosts_do_not_herd_to_the_emptiest_instance() {
    for seed in 0..10 {
        // Seven tenths of what the slots can serve.
        let per_s = (INSTANCES as u64 * u64::from(SLOTS) * 1_000 / WORK_MS) * 7 / 10;
        let largest = largest_load(seed, per_s, 10);
        // An instance sheds what comes beyond its slots and four waiting for each.
        assert!(
            largest <= SLOTS as usize * 5,
            "seed {seed}: {largest} at one instance"
        );
    }
}

#[test]
fn queue_of_the_least_loaded_instance_is_known() {
    let now = ClockTime::from_millis(BOOT_MS);
    let mut table = new_table(INSTANCES as u64, now);
    assert_eq!(table.least_queue(SERVICE, now), Some(0.0));
    let hashes: Vec<u32> = table.iter().map(|(_, state)| state.hash).collect();
    for hash in hashes {
        table.take_load(hash, 2 * SLOTS + 2, 0);
    }
    assert_eq!(table.least_queue(SERVICE, now), Some(2.0));
    assert_eq!(table.least_queue("unknown", now), None);
}
