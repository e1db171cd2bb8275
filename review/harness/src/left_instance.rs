//! Instances leave after most hosts of a data centre were removed.
//!
//! An instance says in the store that it leaves and goes on serving. Later than the bound, a caller
//! sends a request to each host that stayed.

use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;

use crocushoist_platform_standin::is_ready;

use crate::fleet::KEY;
use crate::fleet::send_booking;
use crate::record::Record;
use crate::removed_hosts;
use crate::removed_hosts::ReducedFleet;

const INSTANCES: u8 = 2;

/// Leaves, and milliseconds of calm before each, in turn.
const ROUNDS: usize = 9;
const CALM_MS: [u64; ROUNDS] = [
    2_600, 3_900, 3_300, 2_200, 4_300, 2_900, 4_700, 3_600, 2_400,
];

/// Bound of the rule: milliseconds after the store confirmed that the instance leaves.
const DRAIN_MS: u64 = 2_000;

/// Milliseconds after the bound at which the first host gets its request, and from one host to the
/// next.
const FIRST_REQUEST_MS: u64 = 50;
const REQUEST_GAP_MS: u64 = 20;

/// Plays the case; returns whether the rule held.
pub async fn play(record: &mut Record, has_trouble: bool) -> Result<bool, String> {
    let ReducedFleet { fleet, remaining } =
        removed_hosts::start(record, INSTANCES, has_trouble).await?;
    let mut number = 0u64;
    let mut late = 0;
    let mut served = 0;
    for (round, calm_ms) in CALM_MS.into_iter().enumerate() {
        sleep(Duration::from_millis(calm_ms)).await;
        let index = round % usize::from(INSTANCES);
        let leaving = fleet.instances[index].id.clone();
        fleet.drain_instance(index);
        let confirmed_at = Instant::now();
        record.note(format!("{leaving} is draining, confirmed by the store"));
        sleep(Duration::from_millis(DRAIN_MS + FIRST_REQUEST_MS)).await;
        for host in &remaining {
            let addresses = fleet.hosts[*host].addresses;
            let ready = is_ready(addresses.ready(), 300).await;
            number += 1;
            let id = format!("{number:016x}");
            let after_ms = confirmed_at.elapsed().as_millis();
            let response = send_booking(addresses.callers(), KEY, &id).await;
            let status = response.map_or(0, |response| response.status.as_u16());
            let instance = fleet.instance_that_ran(&id).unwrap_or_default();
            record.note(format!(
                "{id} is sent to {} (ready: {ready}) {after_ms} ms after that, is answered {status}, \
                 ran at {instance}",
                addresses.callers()
            ));
            served += usize::from(status == 200);
            late += usize::from(ready && instance == leaving);
            sleep(Duration::from_millis(REQUEST_GAP_MS)).await;
        }
        fleet.restart_instance(index);
    }
    record.note(format!(
        "{late} of {number} requests were sent by ready hosts to an instance that had been draining \
         for over {DRAIN_MS} ms"
    ));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(late == 0)
}
