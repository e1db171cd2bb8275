//! Starts, changes and observes a fleet and its stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use rustix::process::Signal;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crocushoist_protocol::EditFailure;
use crocushoist_protocol::EditRequest;
use crocushoist_protocol::EditResponse;
use crocushoist_protocol::HostListing;
use crocushoist_protocol::ListedHost;
use crocushoist_protocol::ListedState;
use crocushoist_protocol::StatusReport;
use crocushoist_protocol::WireChange;
use crocushoist_standin::CutRule;
use crocushoist_standin::ExecutedRequest;
use crocushoist_standin::HostListBehaviour;
use crocushoist_standin::InstanceFaults;
use crocushoist_standin::LogBehaviour;
use crocushoist_standin::LogStats;
use crocushoist_standin::RelayMapping;
use crocushoist_standin::RelayPlan;
use crocushoist_state::ClockTime;
use crocushoist_transport::HttpClient;

use crate::child_processes::ChildProcesses;
use crate::fleet_plan::FleetPlan;
use crate::trial_error::TrialError;

const DAEMON: &str = "crocushoistd";
const STANDIN: &str = "crocushoist-standin";
/// Timeout of a call to a host or a stand-in.
const CALL_TIMEOUT_MS: u64 = 10_000;
/// Longest time to wait for a state of the fleet.
const MAX_WAIT_MS: u64 = 20_000;
const CHECK_INTERVAL_MS: u64 = 50;
/// Delay after which the host list shows a change.
const HOST_LIST_DELAY_MS: u64 = 1_000;
const RELAY: &str = "relay";

/// A running fleet with its stand-ins; dropping it kills all of their processes.
#[derive(Debug)]
pub struct TrialFleet {
    /// Addresses and options of the fleet.
    pub plan: FleetPlan,
    processes: ChildProcesses,
    leaving_hosts: Vec<usize>,
    ended_hosts: Vec<usize>,
}

impl TrialFleet {
    /// Starts the stand-ins and every host, and waits until the fleet is ready.
    ///
    /// Fails if a process cannot be started or the fleet is not ready in time.
    pub async fn start(plan: FleetPlan) -> Result<Self, TrialError> {
        let mut fleet = TrialFleet {
            plan,
            processes: ChildProcesses::new()?,
            leaving_hosts: Vec::new(),
            ended_hosts: Vec::new(),
        };
        fleet.start_standins()?;
        fleet
            .wait_for("every stand-in to respond", async |fleet| {
                fleet.standins_respond().await
            })
            .await?;
        fleet.publish_host_list().await?;
        for index in 0..fleet.plan.hosts.len() {
            fleet.start_host(index)?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Whether every stand-in responds; removes all cut rules.
    async fn standins_respond(&self) -> bool {
        self.log_stats().await.is_ok()
            && get::<HostListing>(self.plan.host_list_address, "/hosts")
                .await
                .is_ok()
            && self.executed_requests().await.is_ok()
            && self.set_cut_rules(Vec::new()).await.is_ok()
    }

    /// Waits until every live host has recent evidence and the active shards are spread
    /// evenly over them.
    pub async fn wait_ready(&self) -> Result<(), TrialError> {
        self.wait_for("every shard to be in use", async |fleet| {
            fleet.is_ready().await
        })
        .await
    }

    async fn is_ready(&self) -> bool {
        let statuses = self.statuses().await;
        let active: usize = statuses.iter().map(|status| status.shards_active).sum();
        let max_held = statuses
            .iter()
            .map(|status| status.shards_held)
            .max()
            .unwrap_or(0);
        let live_count = self.live_hosts().len();
        let even_part = (self.plan.shard_count as usize).div_ceil(live_count.max(1));
        statuses.len() == live_count
            && statuses.iter().all(|status| status.fresh)
            && active == self.plan.shard_count as usize
            && max_held <= even_part + 1
    }

    /// Waits until `condition` holds for the fleet; the error names the awaited event `what`.
    pub async fn wait_for(
        &self,
        what: &'static str,
        condition: impl AsyncFn(&TrialFleet) -> bool,
    ) -> Result<(), TrialError> {
        let started_at = ClockTime::now();
        while ClockTime::now().since(started_at) < MAX_WAIT_MS {
            if condition(self).await {
                return Ok(());
            }
            sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
        Err(TrialError::TimedOut {
            what,
            waited_ms: MAX_WAIT_MS,
        })
    }

    /// Indexes of the hosts that were neither killed nor asked to stop.
    pub fn live_hosts(&self) -> Vec<usize> {
        (0..self.plan.hosts.len())
            .filter(|index| !self.ended_hosts.contains(index))
            .collect()
    }

    /// Starts the host with index `index`, also after it was killed.
    pub fn start_host(&mut self, index: usize) -> Result<(), TrialError> {
        let path = self.processes.directory().join(format!("host{index}.ini"));
        std::fs::write(&path, self.plan.settings_file(index))?;
        let arguments = [path.to_string_lossy().into_owned()];
        self.ended_hosts.retain(|ended| *ended != index);
        self.processes.start(&host_name(index), DAEMON, &arguments)
    }

    /// Kills the host with index `index` by SIGKILL.
    pub fn kill_host(&mut self, index: usize) {
        self.processes.signal(&host_name(index), Signal::KILL);
        self.ended_hosts.push(index);
    }

    /// Lists the host with index `index` as leaving and asks it to stop by SIGTERM.
    pub async fn stop_host(&mut self, index: usize) -> Result<(), TrialError> {
        self.leaving_hosts.push(index);
        self.publish_host_list().await?;
        self.processes.signal(&host_name(index), Signal::TERM);
        self.ended_hosts.push(index);
        Ok(())
    }

    /// Whether the host with index `index` has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        self.processes.has_ended(&host_name(index))
    }

    /// Suspends the host with index `index` by SIGSTOP.
    pub fn freeze_host(&self, index: usize) {
        self.processes.signal(&host_name(index), Signal::STOP);
    }

    /// Resumes a suspended host by SIGCONT.
    pub fn resume_host(&self, index: usize) {
        self.processes.signal(&host_name(index), Signal::CONT);
    }

    /// Sets the platform's host list to the hosts and instances of the plan.
    pub async fn publish_host_list(&self) -> Result<(), TrialError> {
        let entry_hosts = self
            .plan
            .hosts
            .iter()
            .enumerate()
            .map(|(index, host)| ListedHost {
                role: HostListing::ENTRY_ROLE.into(),
                address: host.peer_address,
                data_centre: FleetPlan::data_centre_name(host.data_centre).into(),
                state: if self.leaving_hosts.contains(&index) {
                    ListedState::Leaving
                } else {
                    ListedState::Live
                },
            });
        let instances = self.plan.instances.iter().map(|instance| ListedHost {
            role: instance.service.into(),
            address: instance.listed_address,
            data_centre: FleetPlan::data_centre_name(instance.data_centre).into(),
            state: if instance.is_leaving {
                ListedState::Leaving
            } else {
                ListedState::Live
            },
        });
        let behaviour = HostListBehaviour {
            listing: HostListing {
                hosts: entry_hosts.chain(instances).collect(),
            },
            lag_ms: HOST_LIST_DELAY_MS,
            is_unavailable: false,
        };
        post(self.plan.host_list_address, "/control", &behaviour).await
    }

    /// Sets the behaviour of the log.
    pub async fn set_log_behaviour(&self, behaviour: LogBehaviour) -> Result<(), TrialError> {
        post(self.plan.log_address, "/control", &behaviour).await
    }

    /// Counters of the log since its start.
    pub async fn log_stats(&self) -> Result<LogStats, TrialError> {
        get(self.plan.log_address, "/stats").await
    }

    /// Replaces the cut rules of the relay.
    pub async fn set_cut_rules(&self, rules: Vec<CutRule>) -> Result<(), TrialError> {
        post(self.plan.relay_control_address, "/cuts", &rules).await
    }

    /// Replaces the faults of the instance that listens at `address`.
    pub async fn set_instance_faults(
        &self,
        address: SocketAddr,
        faults: InstanceFaults,
    ) -> Result<(), TrialError> {
        post(
            self.plan.instance_control_address,
            &format!("/fault/{address}"),
            &faults,
        )
        .await
    }

    /// Requests that the instances have executed since their start.
    pub async fn executed_requests(&self) -> Result<Vec<ExecutedRequest>, TrialError> {
        get(self.plan.instance_control_address, "/ledger").await
    }

    /// Status of the host with index `index`.
    pub async fn status(&self, index: usize) -> Result<StatusReport, TrialError> {
        get(self.plan.hosts[index].admin_address, "/status").await
    }

    /// Status of every live host that responds.
    pub async fn statuses(&self) -> Vec<StatusReport> {
        let calls = self
            .live_hosts()
            .into_iter()
            .map(|index| self.status(index));
        let results = futures_util::future::join_all(calls).await;
        results.into_iter().flatten().collect()
    }

    /// Sends an edit to the host with index `index`.
    ///
    /// Fails with the host's reason if the edit is rejected.
    pub async fn edit(&self, index: usize, call: &EditRequest) -> Result<EditResponse, TrialError> {
        let body = serde_json::to_vec(call).unwrap_or_default();
        let mut client =
            HttpClient::new(None, self.plan.hosts[index].admin_address, CALL_TIMEOUT_MS);
        let response = client
            .call("POST", "/edits", &[], Bytes::from(body))
            .await?;
        if response.status.is_success() {
            return decode(&response.body);
        }
        let failure: EditFailure = decode(&response.body)?;
        Err(TrialError::Edit(failure.error.into()))
    }

    /// Declares to the first live host, as an operator does, that `incarnation` has ended.
    pub async fn declare_ended(&self, incarnation: &str) -> Result<(), TrialError> {
        let index = self.live_hosts().first().copied().unwrap_or(0);
        let mut client =
            HttpClient::new(None, self.plan.hosts[index].admin_address, CALL_TIMEOUT_MS);
        let reason = Bytes::from("the trial killed it");
        client
            .call_ok("POST", &format!("/ended/{incarnation}"), reason)
            .await?;
        Ok(())
    }

    /// Sends `change` to the first live host, without a check of the object's revision.
    pub async fn change(&self, change: WireChange) -> Result<EditResponse, TrialError> {
        let index = self.live_hosts().first().copied().unwrap_or(0);
        self.edit(index, &new_edit_call(change)).await
    }

    fn start_standins(&mut self) -> Result<(), TrialError> {
        let plan = &self.plan;
        let mut instances = vec![
            "instances".to_owned(),
            "--control".to_owned(),
            plan.instance_control_address.to_string(),
            "--service-ms".to_owned(),
            plan.service_ms.to_string(),
        ];
        instances.extend(
            plan.instances
                .iter()
                .map(|instance| instance.address.to_string()),
        );
        let log = ["log".to_owned(), plan.log_address.to_string()];
        let hosts = ["hosts".to_owned(), plan.host_list_address.to_string()];
        self.start_relay()?;
        self.processes.start("log", STANDIN, &log)?;
        self.processes.start("hosts", STANDIN, &hosts)?;
        self.processes.start("instances", STANDIN, &instances)
    }

    /// Starts the relay, with mappings for one host more per data centre than the plan has.
    fn start_relay(&mut self) -> Result<(), TrialError> {
        let mut extended_plan = self.plan.clone();
        for data_centre in 0..extended_plan.data_centres {
            extended_plan.add_host(data_centre);
        }
        let mut mappings: Vec<RelayMapping> = extended_plan
            .hosts
            .iter()
            .map(|host| RelayMapping {
                listen: host.peer_address,
                target: host.peer_listen_address,
            })
            .collect();
        let instances = self.plan.instances.iter();
        mappings.extend(
            instances
                .filter(|instance| instance.listed_address != instance.address)
                .map(|instance| RelayMapping {
                    listen: instance.listed_address,
                    target: instance.address,
                }),
        );
        mappings.push(RelayMapping {
            listen: self.plan.log_relay_address,
            target: self.plan.log_address,
        });
        let plan = serde_json::to_string(&RelayPlan { mappings }).unwrap_or_default();
        let control = self.plan.relay_control_address.to_string();
        let arguments = [RELAY.to_owned(), "--control".to_owned(), control, plan];
        self.processes.start(RELAY, STANDIN, &arguments)
    }
}

/// Edit call with a random ID and no base revision.
pub fn new_edit_call(change: WireChange) -> EditRequest {
    EditRequest {
        id: format!("{:032x}", rand::random::<u128>()).into(),
        base: None,
        author: "trial".into(),
        change,
    }
}

fn host_name(index: usize) -> String {
    format!("host{index}")
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, TrialError> {
    let mut client = HttpClient::new(None, address, CALL_TIMEOUT_MS);
    let body = client.call_ok("GET", path, Bytes::new()).await?;
    decode(&body)
}

async fn post(address: SocketAddr, path: &str, value: &impl Serialize) -> Result<(), TrialError> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut client = HttpClient::new(None, address, CALL_TIMEOUT_MS);
    client.call_ok("POST", path, Bytes::from(body)).await?;
    Ok(())
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, TrialError> {
    serde_json::from_slice(body).map_err(|error| TrialError::Io(std::io::Error::other(error)))
}
