//! Faults of the needs mode: instances in need that name how many requests they take.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::call_history::LimitRecord;
use crate::drill_faults::draw_instances;
use crate::soak_fleet::SoakFleet;
use crate::soak_run::sleep_until;

/// Requests a second that instances name.
const LIMITS: [&str; 8] = ["0", "0.4", "1", "2.7", "3.8", "8", "30", "1e9"];

/// Has instances drawn from `seed` name limits until `end_ms`.
pub(crate) async fn limit_instances(fleet: &SoakFleet, seed: u32, end_ms: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
    let mut instances = draw_instances(&mut rng, fleet.size.instances);
    // Another fault may have one of them name a limit already.
    instances.retain(|index| fleet.instances[*index].limit_value.get().is_none());
    let start_ms = fleet.now_ms();
    for index in &instances {
        let value = LIMITS[rng.random_range(0..LIMITS.len())];
        fleet.instances[*index].name_limit(Some(value));
    }
    sleep_until(fleet, end_ms).await;
    let span_ms = start_ms..fleet.now_ms();
    for index in instances {
        let instance = &fleet.instances[index];
        let value = instance.limit_value.get();
        let told: HashMap<usize, u64> = {
            let told = instance.limit_told.borrow();
            let of_host = |(ip, at)| (fleet.host_at(SocketAddr::new(ip, 0)), fleet.ms_at(at));
            told.iter().map(|(ip, at)| of_host((*ip, *at))).collect()
        };
        instance.name_limit(None);
        let record = LimitRecord {
            instance: index,
            per_s: value.and_then(|text| text.parse().ok()).unwrap_or(0.0),
            span_ms: span_ms.clone(),
            told_ms: told,
        };
        fleet.history.borrow_mut().limits.push(record);
    }
}
