//! Exchanges datagrams with other hosts.
//!
//! Each host reports to the host that it considers the hub of its data centre,
//! and answers whoever reports to it. A hub that does not answer, or whose
//! answer shows that it is stopping or that its instance list is behind this
//! host's own, is skipped and the next host is chosen.
//!
//! Hosts are probed for a sign of life, see [`crate::host_search`].

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use compio::time::sleep;
use slog::info;
use slog::warn;

use crocushoist_policy::CounterSelection;
use crocushoist_policy::FeedCursor;
use crocushoist_state::ClockTime;

use crate::edge_context::SharedContext;
use crate::host_search::HostSearch;
use crate::host_search::hosts_without_reachable_hub;
use crate::host_search::remote_hosts_to_probe;
use crate::host_search::suspect_to_probe;
use crate::hub_exchange::apply_answer;
use crate::hub_exchange::apply_assignments;
use crate::hub_exchange::apply_report;
use crate::hub_exchange::apply_retry_grants;
use crate::hub_exchange::apply_summary;
use crate::hub_exchange::log_limit_changes;
use crate::hub_exchange::new_answer;
use crate::hub_exchange::new_report;
use crate::hub_exchange::new_summary;
use crate::hub_exchange::update_advertised_hosts;
use crate::hub_rejection::HubRejection;
use crate::notes_exchange::answer_notes;
use crate::notes_exchange::apply_answer_notes;
use crate::notes_exchange::apply_report_notes;
use crate::notes_exchange::apply_summary_notes;
use crate::notes_exchange::report_notes;
use crate::notes_exchange::summary_notes;
use crate::peer_message::PeerMessage;
use crate::peer_message::ProbeAnswer;
use crate::peer_notes::PeerNotes;

/// Milliseconds between reports.
const REPORT_INTERVAL_MS: u64 = 60;

/// Number of report intervals from one summary to the next.
const ROUNDS_PER_SUMMARY: u32 = 2;

/// Milliseconds without an answer after which another hub is chosen; two reports can be lost.
const HUB_TIMEOUT_MS: u64 = 700;

/// Milliseconds without an answer after which a host begins to probe the others.
const SEARCH_DELAY_MS: u64 = 250;

/// Number of summaries from one that lists the hosts of the data centre to the next.
const SUMMARIES_PER_HOST_LIST: u32 = 2;

/// Milliseconds without a message after which a hub discards a host's or another hub's counters.
const PEER_EXPIRY_MS: u64 = 20_000;

/// Number of sent reports whose answers are still accepted.
const MAX_PENDING_REPORTS: usize = 32;

/// Bound of the sequence number with which a host starts; far from where the number wraps around.
const MAX_FIRST_NUMBER: u32 = 1 << 30;

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// Reports that were sent to the current hub.
#[derive(Debug, Default)]
struct SentReports {
    /// Sequence number of the last report.
    number: u32,
    /// Hub that they were sent to.
    hub: Option<SocketAddr>,
    /// When the first report after the last answer was sent.
    unanswered_since: Option<ClockTime>,
    /// Sequence numbers of the last reports and when they were sent.
    sent: VecDeque<(u32, ClockTime)>,
    /// Whether the hub has answered.
    has_answer: bool,
    /// Counters of the reports.
    selection: CounterSelection,
}

impl SentReports {
    /// Milliseconds since the first report that the hub has not answered, zero if it answered all.
    fn silence_ms(&self, now: ClockTime) -> u64 {
        self.unanswered_since.map_or(0, |since| now.since(since))
    }
}

/// Sends and receives the datagrams of this host.
pub(crate) struct PeerTasks {
    context: SharedContext,
    socket: UdpSocket,
    reports: RefCell<SentReports>,
    /// Incarnations of the hubs that sent a summary.
    hub_incarnations: RefCell<HashMap<SocketAddr, u64>>,
    /// Search for a live host while the hub is silent.
    search: RefCell<HostSearch>,
    /// Counters of the summaries, by recipient.
    summary_selections: RefCell<HashMap<SocketAddr, CounterSelection>>,
    /// Positions of the reporters in the feed of estimates.
    cursors: RefCell<HashMap<SocketAddr, ReporterCursor>>,
}

/// Position of one start of a host in the feed of estimates.
struct ReporterCursor {
    incarnation: u64,
    cursor: FeedCursor,
}

impl PeerTasks {
    /// Sender and receiver that share `socket`.
    pub(crate) fn new(context: SharedContext, socket: UdpSocket) -> Rc<Self> {
        Rc::new(PeerTasks {
            context,
            socket,
            reports: RefCell::new(SentReports {
                // An answer to a report of an earlier start must not match one of this start.
                number: rand::random_range(0..MAX_FIRST_NUMBER),
                ..Default::default()
            }),
            search: RefCell::default(),
            hub_incarnations: RefCell::default(),
            summary_selections: RefCell::default(),
            cursors: RefCell::default(),
        })
    }

    /// Sends reports and summaries until the process ends.
    pub(crate) async fn run_sender(self: Rc<Self>) {
        let mut round = 0;
        loop {
            let now = ClockTime::now();
            let hub = self.select_hub(now);
            for host in self.hosts_to_probe(hub, round, now) {
                self.probe(host).await;
            }
            match hub {
                Some(hub) if hub != self.context.own_host.peer_address => {
                    self.send_report(hub, now).await;
                    if self.context.aggregator.borrow().reporter_count(now) > 0 {
                        self.publish_totals(round, now).await;
                    }
                }
                Some(_) if self.context.can_be_hub() => self.act_as_hub(round, now).await,
                _ => {}
            }
            round += 1;
            sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        }
    }

    /// Receives and handles datagrams until the process ends.
    pub(crate) async fn run_receiver(self: Rc<Self>) {
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            buffer.clear();
            let BufResult(received, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            let (length, peer) = match received {
                Ok(received) => received,
                Err(error) => {
                    warn!(self.context.logger, "cannot receive a datagram"; "cause" => %error);
                    sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
                    continue;
                }
            };
            match PeerNotes::decode_with(&buffer[..length]) {
                Ok((message, notes)) => {
                    let notes = notes.unwrap_or_else(|error| {
                        self.log_undecodable(peer, &error);
                        PeerNotes::default()
                    });
                    self.handle_message(peer, message, &notes).await;
                }
                Err(error) => self.log_undecodable(peer, &error),
            }
        }
    }

    /// Logs a datagram that cannot be decoded, or whose notes cannot.
    fn log_undecodable(&self, peer: SocketAddr, error: &dyn Display) {
        if let Some(count) = self.context.unread_datagrams.count(ClockTime::now()) {
            warn!(self.context.logger, "cannot decode a datagram";
                "peer" => peer.to_string(), "cause" => %error, "datagrams" => count);
        }
    }

    /// Hub of this data centre, `None` while this host has read no registrations or finds no host
    /// that can be hub.
    ///
    /// If the current hub is silent or was rejected, this host stops using it and chooses another
    /// one.
    fn select_hub(&self, now: ClockTime) -> Option<SocketAddr> {
        if !self.context.knows_hosts.get() {
            return None;
        }
        let own_address = self.context.own_host.peer_address;
        let data_centre = &self.context.own_host.data_centre;
        let mut roster = self.context.roster.borrow_mut();
        let mut reports = self.reports.borrow_mut();
        let is_silent = reports.silence_ms(now) > HUB_TIMEOUT_MS
            && self.search.borrow().is_settled(&self.context, &roster, now);
        let rejection = self.context.hub_rejection.take();
        if (is_silent || rejection.is_some())
            && let Some(hub) = reports.hub.take()
        {
            match rejection {
                Some(HubRejection::Stopping) => roster.mark_stopping(hub, now),
                Some(HubRejection::Behind) => roster.mark_unfit(hub, now),
                None => {
                    let search = self.search.borrow();
                    search.suspect_silent(&self.context, &mut roster, hub, now);
                }
            }
            reports.unanswered_since = None;
            // From here on this host does not use the hub that it had chosen.
            let cause = rejection.map_or("silent", HubRejection::name);
            self.context.metrics.count_passed_over_hub(cause);
            info!(self.context.logger, "hub passed over"; "hub" => hub.to_string(),
                "cause" => cause);
        }
        // Without a configuration after a while, this host does not reach the store. Another one may.
        let lacks_config = !self.context.can_be_hub() && !self.context.awaits_hub(now);
        if self.context.is_stopping() || lacks_config {
            roster.mark_unfit(own_address, now);
        }
        let hub = roster
            .hub_of(data_centre, now)
            .map(|host| host.peer_address);
        if reports.hub != hub {
            info!(self.context.logger, "hub chosen";
                "hub" => hub.map(|hub| hub.to_string()), "hosts" => roster.len(),
                "suspected" => roster.suspect_count());
            self.search.borrow_mut().restart(now);
            *reports = SentReports {
                hub,
                number: reports.number,
                ..SentReports::default()
            };
        }
        if hub.is_none() {
            self.context.roster_read_requested.set(true);
        } else if self.context.hub_known_since.get().is_none() {
            self.context.hub_known_since.set(Some(now));
        }
        self.context.hub.set(hub);
        self.context.is_hub.set(hub == Some(own_address));
        hub
    }

    /// Hosts to ask for a sign of life in this round.
    fn hosts_to_probe(
        &self,
        hub: Option<SocketAddr>,
        round: u32,
        now: ClockTime,
    ) -> Vec<SocketAddr> {
        if !self.context.knows_hosts.get() {
            return Vec::new();
        }
        let silence_ms = self.reports.borrow().silence_ms(now);
        let Some(hub) = hub.filter(|_| silence_ms <= SEARCH_DELAY_MS) else {
            return self.search.borrow_mut().next_batch(&self.context, now);
        };
        let mut hosts = self.context.hosts_to_probe.take();
        hosts.extend(suspect_to_probe(&self.context, hub, round, now));
        hosts
    }

    async fn probe(&self, host: SocketAddr) {
        self.send_to(host, &PeerMessage::Probe, &PeerNotes::default())
            .await;
    }

    /// Sends the next report and records when it was sent.
    async fn send_report(&self, hub: SocketAddr, now: ClockTime) {
        let report = {
            let mut reports = self.reports.borrow_mut();
            reports.number += 1;
            let number = reports.number;
            reports.sent.push_back((number, now));
            if reports.sent.len() > MAX_PENDING_REPORTS {
                reports.sent.pop_front();
            }
            reports.unanswered_since.get_or_insert(now);
            let has_answer = reports.has_answer;
            new_report(
                &self.context,
                number,
                has_answer,
                &mut reports.selection,
                now,
            )
        };
        let notes = report_notes(&self.context, now);
        self.send_to(hub, &PeerMessage::Report(report), &notes)
            .await;
    }

    /// Acts as hub, with this host as one of its reporters.
    async fn act_as_hub(&self, round: u32, now: ClockTime) {
        let own_address = self.context.own_host.peer_address;
        let number = {
            let mut reports = self.reports.borrow_mut();
            reports.number += 1;
            reports.number
        };
        let report = new_report(
            &self.context,
            number,
            true,
            &mut CounterSelection::default(),
            now,
        );
        apply_report(&self.context, own_address, &report, now);
        let notes = report_notes(&self.context, now);
        apply_report_notes(&self.context, own_address, report.incarnation, &notes, now);
        // This host has applied its own counters as a hub.
        self.context.is_counted.set(true);
        self.context.record_answered_report(now);
        self.publish_totals(round, now).await;
        update_advertised_hosts(&self.context, now);
        let mut cursor = FeedCursor::default();
        let answer = new_answer(&self.context, own_address, &report, &mut cursor, now);
        if let Some(shares) = &answer.shares {
            log_limit_changes(&self.context, shares);
        }
        apply_retry_grants(&self.context, &answer, now);
        apply_assignments(&self.context, &answer, now);
        let notes = answer_notes(&self.context, &notes, now);
        apply_answer_notes(&self.context, own_address, answer.number, &notes, now, now);
    }

    /// Updates the sums over the reporting hosts, and sends them to other hubs at every second
    /// interval.
    async fn publish_totals(&self, round: u32, now: ClockTime) {
        {
            let context = &self.context;
            let registered = context.roster.borrow().len();
            let mut aggregator = context.aggregator.borrow_mut();
            aggregator.update_coverage(registered, now);
            aggregator.update_limiters(|key| context.limit_of_key(key, now), now);
            aggregator.remove_silent(PEER_EXPIRY_MS, now);
        }
        if round.is_multiple_of(ROUNDS_PER_SUMMARY) {
            self.send_summaries(round / ROUNDS_PER_SUMMARY, now).await;
        }
    }

    /// Sends summary `number` with the outcomes since the last one.
    async fn send_summaries(&self, number: u32, now: ClockTime) {
        let (outcomes, services) = {
            let mut aggregator = self.context.aggregator.borrow_mut();
            (aggregator.take_outcomes(), aggregator.take_service_counts())
        };
        for host in remote_hosts_to_probe(&self.context, number, now) {
            self.probe(host).await;
        }
        for hub in self.all_summary_recipients(number, now) {
            let with_hosts = number.is_multiple_of(SUMMARIES_PER_HOST_LIST);
            let summary = {
                let mut selections = self.summary_selections.borrow_mut();
                let selection = selections.entry(hub).or_default();
                new_summary(
                    &self.context,
                    &outcomes,
                    &services,
                    selection,
                    with_hosts,
                    now,
                )
            };
            let notes = summary_notes(&self.context, now);
            self.send_to(hub, &PeerMessage::Summary(summary), &notes)
                .await;
        }
    }

    /// Recipients of a summary: hubs that sent or were named in a recent message, the hub of this
    /// host, and for each data centre without a reachable hub one of its first hosts in turn.
    fn all_summary_recipients(&self, round: u32, now: ClockTime) -> Vec<SocketAddr> {
        const MAX_CANDIDATES: usize = 4;
        let own_host = &self.context.own_host;
        let mut hubs = self.context.aggregator.borrow().summary_recipients(now);
        hubs.extend(self.reports.borrow().hub);
        for hosts in hosts_without_reachable_hub(&self.context, now) {
            let index = round as usize % MAX_CANDIDATES.min(hosts.len()).max(1);
            hubs.extend(hosts.get(index));
        }
        if self.context.is_hub.get() {
            hubs.extend(self.next_non_reporting_host(round, now));
        }
        hubs.sort_unstable();
        hubs.dedup();
        hubs.retain(|hub| *hub != own_host.peer_address);
        hubs
    }

    /// One in turn of the hosts of this data centre that do not report here. Such a host may know
    /// no other host, because it read the registrations before the others registered, and act as
    /// hub itself.
    fn next_non_reporting_host(&self, round: u32, now: ClockTime) -> Option<SocketAddr> {
        let roster = self.context.roster.borrow();
        let aggregator = self.context.aggregator.borrow();
        let candidates: Vec<SocketAddr> = roster
            .hosts_in(&self.context.own_host.data_centre)
            .map(|host| host.peer_address)
            .filter(|address| !aggregator.is_host_reporting(*address, now))
            .collect();
        let index = round as usize % candidates.len().max(1);
        candidates.get(index).copied()
    }

    /// Applies a message from `peer` with its notes, and answers a report.
    async fn handle_message(&self, peer: SocketAddr, message: PeerMessage, notes: &PeerNotes) {
        let now = ClockTime::now();
        self.context.roster.borrow_mut().record_message(peer, now);
        match message {
            // This host does not know the other hosts or the limits, so the shares that it
            // assigns could exceed the limits together with those of other hubs. Without an
            // answer the reporter chooses another hub.
            PeerMessage::Report(_) if !self.context.can_be_hub() => {}
            PeerMessage::Report(report) => {
                apply_report(&self.context, peer, &report, now);
                apply_report_notes(&self.context, peer, report.incarnation, notes, now);
                let answer = {
                    let mut cursors = self.cursors.borrow_mut();
                    let entry = cursors.entry(peer).or_insert_with(|| ReporterCursor {
                        incarnation: report.incarnation,
                        cursor: FeedCursor::default(),
                    });
                    // A restarted host, or one that comes from another hub, knows nothing yet.
                    if entry.incarnation != report.incarnation || report.is_first {
                        entry.incarnation = report.incarnation;
                        entry.cursor = FeedCursor::default();
                    }
                    new_answer(&self.context, peer, &report, &mut entry.cursor, now)
                };
                let notes = answer_notes(&self.context, notes, now);
                self.send_to(peer, &PeerMessage::Answer(answer), &notes)
                    .await;
            }
            PeerMessage::Answer(answer) => {
                if let Some(sent_at) = self.match_answer(peer, answer.number, now) {
                    apply_answer_notes(&self.context, peer, answer.number, notes, sent_at, now);
                    apply_answer(&self.context, peer, answer, sent_at, now);
                }
            }
            PeerMessage::Summary(summary) => {
                self.restart_selection(peer, summary.incarnation);
                apply_summary(&self.context, peer, summary, now);
                apply_summary_notes(&self.context, peer, notes, now);
            }
            PeerMessage::Probe if !self.context.can_be_hub() || self.context.is_stopping() => {}
            PeerMessage::Probe => {
                let hub = self.context.hub.get();
                let answer = PeerMessage::ProbeAnswer(ProbeAnswer { hub });
                self.send_to(peer, &answer, &PeerNotes::default()).await;
            }
            PeerMessage::ProbeAnswer(answer) => {
                self.search.borrow_mut().record_answer(peer);
                if self.is_remote(peer) {
                    let mut aggregator = self.context.aggregator.borrow_mut();
                    aggregator.add_named_hubs(answer.hub.as_slice(), now);
                }
            }
        }
    }

    /// Whether `peer` is registered in another data centre.
    fn is_remote(&self, peer: SocketAddr) -> bool {
        let roster = self.context.roster.borrow();
        let registered = roster.find(peer);
        registered.is_some_and(|(_, host)| host.data_centre != self.context.own_host.data_centre)
    }

    /// Starts again with all counters for a hub that restarted.
    fn restart_selection(&self, peer: SocketAddr, incarnation: u64) {
        let known = self.hub_incarnations.borrow_mut().insert(peer, incarnation);
        if known != Some(incarnation) {
            self.summary_selections.borrow_mut().remove(&peer);
        }
    }

    /// When the report with `number` was sent, `None` if it went to another hub or is too old.
    fn match_answer(&self, peer: SocketAddr, number: u32, now: ClockTime) -> Option<ClockTime> {
        let mut reports = self.reports.borrow_mut();
        if reports.hub != Some(peer) {
            return None;
        }
        let sent = reports
            .sent
            .iter()
            .find(|(sent_number, _)| *sent_number == number);
        let sent_at = sent.map(|(_, at)| *at)?;
        reports.unanswered_since = None;
        reports.has_answer = true;
        self.search.borrow_mut().restart(now);
        Some(sent_at)
    }

    /// Sends `message` with `notes` as one datagram; a failure is only logged.
    async fn send_to(&self, peer: SocketAddr, message: &PeerMessage, notes: &PeerNotes) {
        let bytes = match notes.encode_with(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!(self.context.logger, "cannot encode a datagram"; "cause" => %error);
                return;
            }
        };
        let BufResult(sent, _) = self.socket.send_to(bytes, peer).await;
        if let Err(error) = sent {
            slog::debug!(self.context.logger, "cannot send a datagram";
                "peer" => peer.to_string(), "cause" => %error);
        }
    }
}
