//! An operator takes keys away after most hosts of a data centre were removed.
//!
//! Later than the bound, a caller sends a request with the key to each host that stayed.

use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;

use crocushoist_platform_standin::is_ready;

use crate::fleet::KEY;
use crate::fleet::send_booking;
use crate::record::Record;
use crate::removed_hosts;
use crate::removed_hosts::ReducedFleet;

const INSTANCES: u8 = 6;

/// Keys that are taken away, and milliseconds for which they are valid before, in turn.
const ROUNDS: usize = 8;
const VALID_MS: [u64; ROUNDS] = [3_000, 4_300, 3_700, 2_600, 4_700, 3_300, 5_100, 4_000];

/// Bound of the rule: milliseconds after the confirmation of a version.
const CONFIG_APPLY_MS: u64 = 2_000;

/// Milliseconds after the bound at which the first host gets its request, and from one host to the
/// next.
const FIRST_REQUEST_MS: u64 = 50;
const REQUEST_GAP_MS: u64 = 20;

/// Version of the configuration at the start of the deployment.
const FIRST_VERSION: u64 = 3;

/// Plays the case; returns whether the rule held.
pub async fn play(record: &mut Record, has_trouble: bool) -> Result<bool, String> {
    let ReducedFleet { fleet, remaining } =
        removed_hosts::start(record, INSTANCES, has_trouble).await?;
    let mut version = FIRST_VERSION;
    let mut number = 0u64;
    let mut late_runs = 0;
    let mut probes = 0;
    for (round, valid_ms) in VALID_MS.into_iter().enumerate() {
        let key = format!("key-to-take-away-{round:04}");
        version += 1;
        fleet.write_config(version, &[KEY, &key]);
        record.note(format!("version {version} with {key} is confirmed"));
        sleep(Duration::from_millis(valid_ms)).await;
        version += 1;
        fleet.write_config(version, &[KEY]);
        let confirmed_at = Instant::now();
        record.note(format!("version {version} without {key} is confirmed"));
        sleep(Duration::from_millis(CONFIG_APPLY_MS + FIRST_REQUEST_MS)).await;
        for host in &remaining {
            let addresses = fleet.hosts[*host].addresses;
            let ready = is_ready(addresses.ready(), 300).await;
            number += 1;
            let id = format!("{number:016x}");
            let sent_at = Instant::now();
            let response = send_booking(addresses.callers(), &key, &id).await;
            let status = response.map_or(0, |response| response.status.as_u16());
            let has_run = fleet.runs().iter().any(|(_, run)| *run == id);
            let after_ms = sent_at.duration_since(confirmed_at).as_millis();
            record.note(format!(
                "{id} with {key} is sent to {} (ready: {ready}) {after_ms} ms after the \
                 confirmation, is answered {status}, has run: {has_run}",
                addresses.callers()
            ));
            probes += 1;
            if has_run && ready {
                late_runs += 1;
            }
            sleep(Duration::from_millis(REQUEST_GAP_MS)).await;
        }
    }
    record.note(format!(
        "{late_runs} of {probes} requests ran with a key that was taken away over \
         {CONFIG_APPLY_MS} ms before, at hosts that were ready"
    ));
    Ok(late_runs == 0)
}
