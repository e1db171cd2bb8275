//! A small fleet to try the commands on.

use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use futures_util::future::Either;
use futures_util::future::select;

use crocushoist_protocol::headers;
use crocushoist_transport::HttpClient;

use crate::fleet_plan::FleetPlan;
use crate::trial_error::TrialError;
use crate::trial_setup::KEYED_PATH;
use crate::trial_setup::key_of;
use crate::trial_setup::limits;
use crate::trial_setup::start_fleet;

const WORKSPACE: &str = "depot";
const CALL_MS: u64 = 5_000;

/// Runs three hosts in three data centres, sends one request and stays for `seconds`, or until interrupted.
pub async fn run_demo(seconds: Option<u64>) -> Result<(), TrialError> {
    let limits = limits(&[(WORKSPACE, 100, 50)]);
    let fleet = start_fleet(FleetPlan::new(3, 6, 3, 6), &limits).await?;
    let key = key_of(WORKSPACE, 0);
    let host = &fleet.plan.hosts[0];
    println!("three hosts are serving:");
    for host in &fleet.plan.hosts {
        println!(
            "  callers {}  admin {}",
            host.caller_address, host.admin_address
        );
    }
    let mut client = HttpClient::new(None, host.caller_address, CALL_MS);
    let sent = [(headers::KEY, key.as_str())];
    let answer = client.call("GET", KEYED_PATH, &sent, Bytes::new()).await?;
    let body = String::from_utf8_lossy(&answer.body);
    println!("a request through them: {} {body}", answer.status);
    println!("try:");
    println!(
        "  curl -H '{}: {key}' http://{}{KEYED_PATH}",
        headers::KEY,
        host.caller_address
    );
    println!("  export CROCUSHOIST_HOSTS={}", host.admin_address);
    println!("  ./target/release/crocushoist status");
    let interrupted = Box::pin(compio::signal::ctrl_c());
    match seconds {
        Some(seconds) => {
            let waited = Box::pin(sleep(Duration::from_secs(seconds)));
            if let Either::Right(_) = select(interrupted, waited).await {
                return Ok(());
            }
        }
        None => {
            println!("the fleet runs until it is interrupted");
            interrupted.await?;
        }
    }
    Ok(())
}
