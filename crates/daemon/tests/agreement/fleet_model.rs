//! Hosts, log and messages of one run, and the steps of a random schedule.

use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_coordination::LogRecord;
use crocushoist_coordination::ShardClaim;
use crocushoist_protocol::encode_record;
use crocushoist_state::ClockTime;
use crocushoist_state::ConfigChange;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_state::OfferId;
use crocushoist_state::RoutingPolicy;
use crocushoist_state::SettingName;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;
use crocushoistd::host_state::HostState;

use crate::BURST;
use crate::HOSTS;
use crate::MAX_MESSAGES;
use crate::RATE;
use crate::SHARDS;
use crate::WORKSPACE;
use crate::model_delivery::deliver;
use crate::model_edits::edit;
use crate::model_edits::limit_change;
use crate::model_message::Message;

/// Model of a fleet with its log, its messages and its clock.
pub(crate) struct FleetModel {
    pub(crate) random: ChaCha8Rng,
    pub(crate) now: ClockTime,
    pub(crate) log: Vec<Vec<u8>>,
    pub(crate) is_log_down: bool,
    pub(crate) hosts: Vec<HostState>,
    pub(crate) started_hosts: u64,
    pub(crate) messages: Vec<Message>,
    pub(crate) isolated: [bool; HOSTS],
    pub(crate) accepted_at: Vec<ClockTime>,
    pub(crate) spent_at: Vec<u64>,
    pub(crate) seen: Counters,
}

/// Counts of events, which show that the schedules cover them.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) accepted: usize,
    pub(crate) spent: usize,
    pub(crate) moved: u64,
    pub(crate) fresh_in_outage: usize,
}

impl FleetModel {
    pub(crate) fn new(seed: u64) -> Self {
        let mut model = FleetModel {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: ClockTime::from_millis(1_000_000),
            log: Vec::new(),
            is_log_down: false,
            hosts: Vec::new(),
            started_hosts: 0,
            messages: Vec::new(),
            isolated: [false; HOSTS],
            accepted_at: Vec::new(),
            spent_at: Vec::new(),
            seen: Counters::default(),
        };
        model.append(&edit(
            1,
            ConfigChange::PutWorkspace {
                name: WORKSPACE.into(),
            },
        ));
        model.append(&edit(2, limit_change(SettingName::Rate, RATE)));
        model.append(&edit(3, limit_change(SettingName::Burst, BURST)));
        for index in 0..HOSTS {
            let host = model.new_host(index);
            model.hosts.push(host);
        }
        for shard in 0..SHARDS {
            let host = shard as usize % HOSTS;
            model.read_full_log(host);
            model.claim(host, ShardId::from_u32(shard));
        }
        for host in 0..HOSTS {
            model.read_full_log(host);
        }
        model
    }

    fn new_host(&mut self, index: usize) -> HostState {
        self.started_hosts += 1;
        let port_offset = if self.random.random_bool(0.5) { 100 } else { 0 };
        let port = 7_000 + index as u16 + port_offset * (self.started_hosts as u16 % 50);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let own = ShardHolder {
            incarnation: IncarnationId(self.started_hosts * 1_000 + index as u64),
            address: HostAddress {
                callers: address,
                peers: address,
                data_centre: "dc1".into(),
            },
            start_offset: if self.is_log_down {
                0
            } else {
                self.log.len() as u64
            },
            ended: false,
        };
        HostState::new(own, SHARDS, RoutingPolicy::Shared)
    }

    /// Appends `record` to the log, or drops it while the log is down.
    pub(crate) fn append(&mut self, record: &LogRecord) {
        if !self.is_log_down {
            self.log.push(encode_record(record));
        }
    }

    fn read_full_log(&mut self, host: usize) {
        let records = self.log.clone();
        self.hosts[host].apply_records(0, records, self.now);
        self.hosts[host].freshness.record_evidence(self.now);
    }

    fn claim(&mut self, host: usize, shard: ShardId) {
        let state = &self.hosts[host];
        let Some(entry) = state.replayed.table().get(shard) else {
            return;
        };
        let claim = ShardClaim {
            shard,
            generation: entry.generation,
            from: entry.holder.as_ref().map(|holder| holder.incarnation),
            to: Some(state.own.clone()),
            offer: None,
        };
        if claim.from != Some(state.own.incarnation) {
            self.append(&LogRecord::Claim(claim));
        }
    }

    /// Hands over a shard in the steps of the daemon: stop, offer, append.
    ///
    /// The offer may be lost, and the record may be appended late.
    fn hand_over(&mut self, from: usize, to: usize, shard: ShardId) {
        if from == to {
            return;
        }
        let now = self.now;
        if let Some(claim) = self.hosts[from].pending_handovers.get(&shard).cloned() {
            self.messages.push(Message::Append {
                host: from,
                record: LogRecord::Claim(claim),
            });
            return;
        }
        let id = OfferId(self.random.random());
        let Some(offer) = self.hosts[from].shard_buckets.stop_shard(shard, id, now) else {
            return;
        };
        let generation = offer.generation - 1;
        if self.random.random_bool(0.7) {
            self.hosts[to].shard_buckets.store_offer(offer, now);
        }
        if self.random.random_bool(0.3) {
            self.hosts[from].shard_buckets.resume_shard(shard, now);
            return;
        }
        let claim = ShardClaim {
            shard,
            generation,
            from: Some(self.hosts[from].own.incarnation),
            to: Some(self.hosts[to].own.clone()),
            offer: Some(id),
        };
        self.hosts[from]
            .pending_handovers
            .insert(shard, claim.clone());
        self.messages.push(Message::Append {
            host: from,
            record: LogRecord::Claim(claim),
        });
    }

    /// Takes one random step of the schedule.
    pub(crate) fn step(&mut self) {
        let host = self.random.random_range(0..HOSTS);
        let other = self.random.random_range(0..HOSTS);
        let shard = ShardId::from_u32(self.random.random_range(0..SHARDS));
        match self.random.random_range(0..1000) {
            0..400 => deliver(self),
            400..405 => self.drop_message(),
            405..460 => self.request_records(host),
            460..560 if host != other => self.send_pull(host, other),
            560..690 => (0..6).for_each(|_| self.spend_token(host)),
            690..698 if host != other => self.apply_snapshot(host, other),
            698..706 => self.edit(),
            706..720 => self.reclaim_isolated(host),
            720..722 => self.claim(host, shard),
            722..726 => self.hand_over(host, other, shard),
            726..727 => self.restart(host),
            727..728 => self.is_log_down = !self.is_log_down,
            728..732 => self.isolate(),
            732..999 => self.advance_time(0..40),
            _ => self.advance_time(0..2_500),
        }
    }

    /// Isolates random hosts: their messages are withheld from now on.
    fn isolate(&mut self) {
        for host in 0..HOSTS {
            self.isolated[host] = self.random.random_bool(0.25);
        }
    }

    /// Claims a shard of an isolated holder, as the hosts that watch it do.
    fn reclaim_isolated(&mut self, host: usize) {
        let isolated: Vec<_> = (0..HOSTS).filter(|index| self.isolated[*index]).collect();
        let shards: Vec<ShardId> = isolated
            .iter()
            .flat_map(|index| {
                self.hosts[host]
                    .replayed
                    .table()
                    .held_by(self.hosts[*index].own.incarnation)
            })
            .collect();
        if !self.isolated[host] && !shards.is_empty() {
            let pick = self.random.random_range(0..shards.len());
            self.claim(host, shards[pick]);
            if self.random.random_bool(0.7) {
                self.sync_with_reachable(host);
            }
        }
    }

    /// Brings all hosts that are not isolated up to date and lets `host` poll each of them at once.
    fn sync_with_reachable(&mut self, host: usize) {
        if self.is_log_down {
            return;
        }
        let others: Vec<usize> = (0..HOSTS).filter(|other| !self.isolated[*other]).collect();
        for other in &others {
            self.read_full_log(*other);
        }
        for other in others.into_iter().filter(|other| *other != host) {
            let request = self.hosts[host].pull_request();
            let requested_offset = request.next_offset;
            let response = self.hosts[other].handle_pull(request, self.now);
            self.hosts[host].apply_pull_response(requested_offset, self.now, response, self.now);
        }
    }

    fn advance_time(&mut self, millis: std::ops::Range<u64>) {
        let waited = self.random.random_range(millis);
        self.now = self.now.plus(waited + 1);
    }

    fn edit(&mut self) {
        let id = self.random.random();
        let value = self.random.random_range(1_000..2_000);
        let change = ConfigChange::SetDefault {
            setting: SettingName::DeadlineMs,
            value,
        };
        self.append(&edit(id, change));
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host] = self.new_host(host);
        self.messages
            .retain(|message| matches!(message, Message::Append { .. }) || !message.involves(host));
    }

    fn request_records(&mut self, host: usize) {
        if self.is_log_down {
            return;
        }
        let first = self.hosts[host].replayed.next_offset();
        let count = self.random.random_range(1..20);
        let records: Vec<Vec<u8>> = self
            .log
            .iter()
            .skip(first as usize)
            .take(count)
            .cloned()
            .collect();
        let sent_at = self.now;
        let tail = self.log.len() as u64;
        self.messages.push(Message::ReadReply {
            host,
            first,
            tail,
            sent_at,
            records,
        });
    }

    fn send_pull(&mut self, from: usize, to: usize) {
        let request = self.hosts[from].pull_request();
        let sent_at = self.now;
        self.messages.push(Message::PullCall {
            from,
            to,
            sent_at,
            request,
        });
    }

    /// Replaces the replayed state of `host` by that of `other`, as a host that fell behind does.
    fn apply_snapshot(&mut self, host: usize, other: usize) {
        let later = &self.hosts[other];
        let accepted = later.acceptance.accepted_offset();
        let replayed = later.replayed.clone();
        if replayed.next_offset() > self.hosts[host].replayed.next_offset() + 4 {
            self.hosts[host].replace_replayed_state(replayed, accepted, self.now);
        }
    }

    fn spend_token(&mut self, host: usize) {
        let now = self.now;
        let state = &mut self.hosts[host];
        if !state.is_fresh(now) {
            return;
        }
        let Ok(workspace) = state.replayed.config().find_workspace(WORKSPACE) else {
            return;
        };
        let plan = state.share_plan(workspace);
        let (shard, limit) = plan.shares()[self.random.random_range(0..plan.shares().len())];
        if let Ok(grant) = state.shard_buckets.grant(shard, workspace, limit, now) {
            state
                .shard_buckets
                .finish_grant(shard, workspace, grant, true, now);
            self.spent_at.push(now.as_millis());
            return;
        }
        let holder = state
            .replayed
            .table()
            .holder(shard)
            .map(|holder| holder.incarnation);
        let to = self
            .hosts
            .iter()
            .position(|other| Some(other.own.incarnation) == holder);
        if let Some(to) = to.filter(|to| *to != host) {
            self.messages.push(Message::DrawCall {
                from: host,
                to,
                sent_at: now,
                shard,
            });
        }
    }

    fn drop_message(&mut self) {
        if !self.messages.is_empty() {
            let index = self.random.random_range(0..self.messages.len());
            self.messages.swap_remove(index);
        }
    }

    /// Picks a message that is not withheld, or rarely one that is.
    pub(crate) fn pick_message(&mut self) -> Option<usize> {
        while self.messages.len() > MAX_MESSAGES {
            self.drop_message();
        }
        let deliverable: Vec<usize> = (0..self.messages.len())
            .filter(|index| {
                let message = &self.messages[*index];
                !(0..HOSTS).any(|host| self.isolated[host] && message.involves(host))
            })
            .collect();
        if self.messages.is_empty() || (deliverable.is_empty() && self.random.random_bool(0.9)) {
            return None;
        }
        if deliverable.is_empty() || self.random.random_bool(0.03) {
            return Some(self.random.random_range(0..self.messages.len()));
        }
        Some(deliverable[self.random.random_range(0..deliverable.len())])
    }
}
