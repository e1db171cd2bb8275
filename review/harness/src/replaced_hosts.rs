//! The hosts of a data centre are replaced by new ones at new addresses.
//!
//! Twelve hosts of the first data centre are stopped one after the other and do not come back; new
//! hosts took their place before. When everything has been calm for a while, the operator takes keys
//! away, one at a time, and later than the bound a caller sends a request with the key to each new
//! host.

use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;

use crocushoist_platform_standin::is_ready;

use crate::fleet::Fleet;
use crate::fleet::HostPlace;
use crate::fleet::KEY;
use crate::fleet::send_booking;
use crate::record::Record;

/// Hosts of the first data centre that are replaced, those that replace them, and the hosts of the
/// second data centre.
const REPLACED_HOSTS: u8 = 12;
const NEW_HOSTS: u8 = 3;
const OTHER_HOSTS: u8 = 2;

/// Last octets of the first host of each kind, less one.
const NEW_HOSTS_FROM: u8 = 20;
const OTHER_HOSTS_FROM: u8 = 40;

/// Milliseconds between two stops, and of the calm after the last one.
const STOP_GAP_MS: u64 = 500;
const CALM_MS: u64 = 15_000;

/// Milliseconds within which the hosts that were asked to stop must have ended; the platform kills
/// them after 6 s.
const STOP_TIMEOUT_MS: u64 = 6_500;

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
    let mut places = Vec::new();
    for index in 0..REPLACED_HOSTS {
        places.push(HostPlace {
            octet: index + 1,
            data_centre: 0,
        });
    }
    for index in 0..OTHER_HOSTS {
        places.push(HostPlace {
            octet: OTHER_HOSTS_FROM + index + 1,
            data_centre: 1,
        });
    }
    let mut fleet = Fleet::start_at(&places, 6, 0.0, 0.0).await?;
    record.note(format!("{} hosts are ready", places.len()));
    let mut new_hosts = Vec::new();
    for index in 0..NEW_HOSTS {
        let place = HostPlace {
            octet: NEW_HOSTS_FROM + index + 1,
            data_centre: 0,
        };
        new_hosts.push(fleet.add_host(place).await?);
    }
    record.note(format!(
        "{NEW_HOSTS} new hosts of the first data centre are ready"
    ));
    sleep(Duration::from_millis(2_000)).await;
    if has_trouble {
        for index in 0..usize::from(REPLACED_HOSTS) {
            fleet.hosts[index]
                .request_stop()
                .map_err(|error| error.to_string())?;
            sleep(Duration::from_millis(STOP_GAP_MS)).await;
        }
        sleep(Duration::from_millis(STOP_TIMEOUT_MS)).await;
        for index in 0..usize::from(REPLACED_HOSTS) {
            if !fleet.hosts[index].has_ended() {
                return Err("a host has not ended at its stop".into());
            }
        }
        record.note(format!(
            "{REPLACED_HOSTS} old hosts of the first data centre have left for good"
        ));
    }
    sleep(Duration::from_millis(CALM_MS)).await;
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
        for host in &new_hosts {
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
