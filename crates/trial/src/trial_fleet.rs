//! A running fleet with its stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use rustix::process::Signal;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crocushoist_protocol::EditAnswer;
use crocushoist_protocol::EditCall;
use crocushoist_protocol::EditFailure;
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
const CALL_MS: u64 = 10_000;
const READY_MS: u64 = 20_000;
const CHECK_INTERVAL_MS: u64 = 50;
const HOST_LIST_LAG_MS: u64 = 1_000;
const RELAY: &str = "relay";

/// A running fleet with its stand-ins.
#[derive(Debug)]
pub struct TrialFleet {
    /// Addresses.
    pub plan: FleetPlan,
    processes: ChildProcesses,
    leaving: Vec<usize>,
    gone: Vec<usize>,
}

impl TrialFleet {
    /// Starts the stand-ins and every host, and waits until all shards are in use.
    pub async fn start(plan: FleetPlan) -> Result<Self, TrialError> {
        let mut fleet = TrialFleet {
            plan,
            processes: ChildProcesses::new()?,
            leaving: Vec::new(),
            gone: Vec::new(),
        };
        fleet.start_standins()?;
        fleet
            .wait_for("the stand-ins", async |fleet| {
                fleet.standins_respond().await
            })
            .await?;
        fleet.publish_hosts().await?;
        for index in 0..fleet.plan.hosts.len() {
            fleet.start_host(index)?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Whether every stand-in answers.
    async fn standins_respond(&self) -> bool {
        self.log_stats().await.is_ok()
            && get::<HostListing>(self.plan.host_list_address, "/hosts")
                .await
                .is_ok()
            && self.ledger().await.is_ok()
            && self.cut(Vec::new()).await.is_ok()
    }

    /// Waits until every live host is fresh and every shard can be spent from.
    pub async fn wait_ready(&self) -> Result<(), TrialError> {
        self.wait_for("a fleet with every shard in use", async |fleet| {
            fleet.is_ready().await
        })
        .await
    }

    async fn is_ready(&self) -> bool {
        let statuses = self.statuses().await;
        let active: usize = statuses.iter().map(|status| status.shards_active).sum();
        let most = statuses
            .iter()
            .map(|status| status.shards_held)
            .max()
            .unwrap_or(0);
        let live = self.live_hosts().len();
        let quota = (self.plan.shard_count as usize).div_ceil(live.max(1));
        statuses.len() == live
            && statuses.iter().all(|status| status.fresh)
            && active == self.plan.shard_count as usize
            && most <= quota + 1
    }

    /// Waits until `holds` for the fleet.
    pub async fn wait_for(
        &self,
        what: &'static str,
        holds: impl AsyncFn(&TrialFleet) -> bool,
    ) -> Result<(), TrialError> {
        let began = ClockTime::now();
        while ClockTime::now().since(began) < READY_MS {
            if holds(self).await {
                return Ok(());
            }
            sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
        Err(TrialError::TimedOut {
            what,
            millis: READY_MS,
        })
    }

    /// Indexes of the hosts that were not killed or stopped.
    pub fn live_hosts(&self) -> Vec<usize> {
        (0..self.plan.hosts.len())
            .filter(|index| !self.gone.contains(index))
            .collect()
    }

    /// Starts the host with index `index`.
    pub fn start_host(&mut self, index: usize) -> Result<(), TrialError> {
        let path = self.processes.directory().join(format!("host{index}.ini"));
        std::fs::write(&path, self.plan.settings_file(index))?;
        let arguments = [path.to_string_lossy().into_owned()];
        self.gone.retain(|gone| *gone != index);
        self.processes.start(&host_name(index), DAEMON, &arguments)
    }

    /// Kills the host with index `index`.
    pub fn kill_host(&mut self, index: usize) {
        self.processes.signal(&host_name(index), Signal::KILL);
        self.gone.push(index);
    }

    /// Asks the host with index `index` to stop, and lists it as leaving.
    pub async fn stop_host(&mut self, index: usize) -> Result<(), TrialError> {
        self.leaving.push(index);
        self.publish_hosts().await?;
        self.processes.signal(&host_name(index), Signal::TERM);
        self.gone.push(index);
        Ok(())
    }

    /// Whether the host with index `index` has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        self.processes.has_ended(&host_name(index))
    }

    /// Freezes the host with index `index`.
    pub fn freeze_host(&self, index: usize) {
        self.processes.signal(&host_name(index), Signal::STOP);
    }

    /// Lets a frozen host go on.
    pub fn thaw_host(&self, index: usize) {
        self.processes.signal(&host_name(index), Signal::CONT);
    }

    /// Publishes the entry hosts and instances on the host list.
    pub async fn publish_hosts(&self) -> Result<(), TrialError> {
        let entry = self
            .plan
            .hosts
            .iter()
            .enumerate()
            .map(|(index, host)| ListedHost {
                role: HostListing::ENTRY_ROLE.into(),
                address: host.peer_address,
                data_centre: FleetPlan::data_centre_name(host.data_centre).into(),
                state: if self.leaving.contains(&index) {
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
        let script = HostListBehaviour {
            listing: HostListing {
                hosts: entry.chain(instances).collect(),
            },
            lag_ms: HOST_LIST_LAG_MS,
            is_unavailable: false,
        };
        post(self.plan.host_list_address, "/control", &script).await
    }

    /// Switches the log's behaviour.
    pub async fn set_log_behaviour(&self, script: LogBehaviour) -> Result<(), TrialError> {
        post(self.plan.log_address, "/control", &script).await
    }

    /// What the log counted.
    pub async fn log_stats(&self) -> Result<LogStats, TrialError> {
        get(self.plan.log_address, "/stats").await
    }

    /// Switches the cuts of the relay.
    pub async fn cut(&self, rules: Vec<CutRule>) -> Result<(), TrialError> {
        post(self.plan.relay_control_address, "/cuts", &rules).await
    }

    /// Switches the faults of the instance at `address`.
    pub async fn set_instance_faults(
        &self,
        address: SocketAddr,
        script: InstanceFaults,
    ) -> Result<(), TrialError> {
        post(
            self.plan.instance_control_address,
            &format!("/fault/{address}"),
            &script,
        )
        .await
    }

    /// What ran on the instances.
    pub async fn ledger(&self) -> Result<Vec<ExecutedRequest>, TrialError> {
        get(self.plan.instance_control_address, "/ledger").await
    }

    /// Status of the host with index `index`.
    pub async fn status(&self, index: usize) -> Result<StatusReport, TrialError> {
        get(self.plan.hosts[index].admin_address, "/status").await
    }

    /// Status of every live host that answers.
    pub async fn statuses(&self) -> Vec<StatusReport> {
        let asked = self
            .live_hosts()
            .into_iter()
            .map(|index| self.status(index));
        let answers = futures_util::future::join_all(asked).await;
        answers.into_iter().flatten().collect()
    }

    /// Sends an edit through the host with index `index`.
    pub async fn edit(&self, index: usize, call: &EditCall) -> Result<EditAnswer, TrialError> {
        let body = serde_json::to_vec(call).unwrap_or_default();
        let mut client = HttpClient::new(None, self.plan.hosts[index].admin_address, CALL_MS);
        let answer = client
            .call("POST", "/edits", &[], Bytes::from(body))
            .await?;
        if answer.status.is_success() {
            return decode(&answer.body);
        }
        let failure: EditFailure = decode(&answer.body)?;
        Err(TrialError::Edit(failure.error.into()))
    }

    /// Vouches through the first live host that `incarnation` has ended.
    pub async fn declare_ended(&self, incarnation: &str) -> Result<(), TrialError> {
        let index = self.live_hosts().first().copied().unwrap_or(0);
        let mut client = HttpClient::new(None, self.plan.hosts[index].admin_address, CALL_MS);
        let reason = Bytes::from("the trial killed it");
        client
            .call_ok("POST", &format!("/ended/{incarnation}"), reason)
            .await?;
        Ok(())
    }

    /// Makes a change through the first live host, whatever its object's revision.
    pub async fn change(&self, change: WireChange) -> Result<EditAnswer, TrialError> {
        let index = self.live_hosts().first().copied().unwrap_or(0);
        self.edit(index, &new_call(change)).await
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

    /// Starts the relay, with room for hosts that are added later.
    fn start_relay(&mut self) -> Result<(), TrialError> {
        let mut later = self.plan.clone();
        for data_centre in 0..later.data_centres {
            later.add_host(data_centre);
        }
        let mut mappings: Vec<RelayMapping> = later
            .hosts
            .iter()
            .map(|host| RelayMapping {
                listen: host.peer_address,
                target: host.peer_listen_address,
            })
            .collect();
        let relayed = self.plan.instances.iter();
        mappings.extend(
            relayed
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

/// Edit call with a new number.
pub fn new_call(change: WireChange) -> EditCall {
    EditCall {
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
    let mut client = HttpClient::new(None, address, CALL_MS);
    let body = client.call_ok("GET", path, Bytes::new()).await?;
    decode(&body)
}

async fn post(address: SocketAddr, path: &str, value: &impl Serialize) -> Result<(), TrialError> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut client = HttpClient::new(None, address, CALL_MS);
    client.call_ok("POST", path, Bytes::from(body)).await?;
    Ok(())
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, TrialError> {
    serde_json::from_slice(body).map_err(|error| TrialError::Io(std::io::Error::other(error)))
}
