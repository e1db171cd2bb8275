//! Most hosts of a data centre are removed for good.
//!
//! Twelve of the fifteen hosts of the first data centre are stopped one after the other and do not
//! come back. Then everything is calm for a while.

use std::time::Duration;

use compio::time::sleep;

use crate::fleet::Fleet;
use crate::fleet::HostPlace;
use crate::record::Record;

/// Hosts of the first data centre that are removed, those that stay, and the hosts of the second data
/// centre.
const REMOVED_HOSTS: u8 = 12;
const REMAINING_HOSTS: u8 = 3;
const OTHER_HOSTS: u8 = 2;

/// Last octet of the first host of the second data centre, less one.
const OTHER_HOSTS_FROM: u8 = 40;

/// Milliseconds between two stops, and of the calm after the last one.
const STOP_GAP_MS: u64 = 1_000;
const CALM_MS: u64 = 15_000;

/// Milliseconds within which the hosts that were asked to stop must have ended; the platform kills
/// them after 6 s.
const STOP_TIMEOUT_MS: u64 = 6_500;

/// Deployment, and the indices of the hosts of the first data centre that stay.
pub struct ReducedFleet {
    pub fleet: Fleet,
    pub remaining: Vec<usize>,
}

/// Starts the deployment with `instance_count` instances; no host is removed unless `has_trouble`.
pub async fn start(
    record: &Record,
    instance_count: u8,
    has_trouble: bool,
) -> Result<ReducedFleet, String> {
    let mut places = Vec::new();
    for index in 0..REMOVED_HOSTS + REMAINING_HOSTS {
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
    let mut fleet = Fleet::start_at(&places, instance_count, 0.0, 0.0).await?;
    record.note(format!("{} hosts are ready", places.len()));
    sleep(Duration::from_millis(3_000)).await;
    let removed = usize::from(REMOVED_HOSTS);
    if has_trouble {
        for host in &mut fleet.hosts[..removed] {
            host.request_stop().map_err(|error| error.to_string())?;
            sleep(Duration::from_millis(STOP_GAP_MS)).await;
        }
        sleep(Duration::from_millis(STOP_TIMEOUT_MS)).await;
        for host in &mut fleet.hosts[..removed] {
            if !host.has_ended() {
                return Err("a host has not ended at its stop".into());
            }
        }
        record.note(format!(
            "{REMOVED_HOSTS} hosts of the first data centre have left for good"
        ));
    }
    sleep(Duration::from_millis(CALM_MS)).await;
    let remaining = (removed..removed + usize::from(REMAINING_HOSTS)).collect();
    Ok(ReducedFleet { fleet, remaining })
}
