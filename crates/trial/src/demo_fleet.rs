//! Demo: a small fleet on which to try the operator's commands.

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
use crate::trial_setup::limit_table;
use crate::trial_setup::start_fleet;
use crate::trial_setup::workspace_key;

const WORKSPACE: &str = "depot";
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Runs three hosts in three data centres and sends one request through them.
///
/// The fleet then runs for `seconds`, or until interrupted. Fails if the fleet
/// cannot be started or the request cannot be sent.
pub async fn run_demo(seconds: Option<u64>) -> Result<(), TrialError> {
    let limits = limit_table(&[(WORKSPACE, 100, 50)]);
    let fleet = start_fleet(FleetPlan::new(3, 6, 3, 6), &limits).await?;
    let key = workspace_key(WORKSPACE, 0);
    let host = &fleet.plan.hosts[0];
    println!("three hosts are serving:");
    for host in &fleet.plan.hosts {
        println!(
            "  callers {}  admin {}",
            host.caller_address, host.admin_address
        );
    }
    let mut client = HttpClient::new(None, host.caller_address, CALL_TIMEOUT_MS);
    let sent_headers = [(headers::WORKSPACE_KEY, key.as_str())];
    let response = client
        .call("GET", KEYED_PATH, &sent_headers, Bytes::new())
        .await?;
    let body = String::from_utf8_lossy(&response.body);
    println!("a request through them: {} {body}", response.status);
    println!("try:");
    println!(
        "  curl -H '{}: {key}' http://{}{KEYED_PATH}",
        headers::WORKSPACE_KEY,
        host.caller_address
    );
    println!("  export CROCUSHOIST_HOSTS={}", host.admin_address);
    println!("  ./target/release/crocushoist status");
    let interrupt = Box::pin(compio::signal::ctrl_c());
    match seconds {
        Some(seconds) => {
            let timer = Box::pin(sleep(Duration::from_secs(seconds)));
            if let Either::Right(_) = select(interrupt, timer).await {
                return Ok(());
            }
        }
        None => {
            println!("the fleet runs until it is interrupted");
            interrupt.await?;
        }
    }
    Ok(())
}
