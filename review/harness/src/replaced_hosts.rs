//! The hosts of a data centre are replaced by new ones at new addresses.
//!
//! Twelve hosts of the first data centre are stopped one after the other and do not come back; new
//! hosts took their place before. Then everything is calm for a while.

use std::time::Duration;

use compio::time::sleep;

use crate::fleet::Fleet;
use crate::fleet::HostPlace;
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

/// Deployment whose first data centre has new hosts, and their indices.
pub struct ReplacedFleet {
    pub fleet: Fleet,
    pub new_hosts: Vec<usize>,
}

/// Starts the deployment with `instance_count` instances; the old hosts stay unless `has_trouble`.
pub async fn start(
    record: &Record,
    instance_count: u8,
    has_trouble: bool,
) -> Result<ReplacedFleet, String> {
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
    let mut fleet = Fleet::start_at(&places, instance_count, 0.0, 0.0).await?;
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
    Ok(ReplacedFleet { fleet, new_hosts })
}
