//! Exchanges datagrams with other hosts.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use compio::time::sleep;
use slog::info;
use slog::warn;

use crocushoist_state::ClockTime;

use crate::edge_context::SharedEdge;
use crate::hub_doubt::HubDoubt;
use crate::hub_exchange::log_limited;
use crate::hub_exchange::new_answer;
use crate::hub_exchange::new_report;
use crate::hub_exchange::new_summary;
use crate::hub_exchange::renew_fleet;
use crate::hub_exchange::take_answer;
use crate::hub_exchange::take_guidance;
use crate::hub_exchange::take_report;
use crate::hub_exchange::take_summary;
use crate::peer_message::PeerMessage;

/// Milliseconds between reports.
const REPORT_EVERY_MS: u64 = 60;

/// Rounds of which each one sends summaries to the other hubs.
const SUMMARY_EVERY: u32 = 2;

/// Milliseconds without an answer after which a hub is passed over; two reports may be lost.
const HUB_SILENT_MS: u64 = 700;

/// Summaries of which each one names the hosts of the data centre.
const HOSTS_EVERY: u32 = 2;

/// Milliseconds after which a hub forgets a host that it does not hear.
const FORGET_MS: u64 = 20_000;

/// Reports whose answers still count.
const REMEMBERED_REPORTS: usize = 32;

/// Bytes of the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// Reports that were sent and not answered.
#[derive(Debug, Default)]
struct SentReports {
    number: u32,
    hub: Option<SocketAddr>,
    unanswered_since: Option<ClockTime>,
    sent: VecDeque<(u32, ClockTime)>,
}

/// Exchanges datagrams over `socket` until the process ends.
pub(crate) struct PeerTasks {
    context: SharedEdge,
    socket: UdpSocket,
    reports: RefCell<SentReports>,
}

impl PeerTasks {
    /// Tasks over `socket`.
    pub(crate) fn new(context: SharedEdge, socket: UdpSocket) -> Rc<Self> {
        Rc::new(PeerTasks {
            context,
            socket,
            reports: RefCell::default(),
        })
    }

    /// Sends a report or a summary at every interval.
    pub(crate) async fn send(self: Rc<Self>) {
        let mut round = 0;
        loop {
            let now = ClockTime::now();
            match self.hub(now) {
                Some(hub) if hub != self.context.own.peers => {
                    self.send_report(hub, now).await;
                    if self.context.ledger.borrow().reporter_count(now) > 0 {
                        self.tell_hubs(round, now).await;
                    }
                }
                Some(_) => self.act_as_hub(round, now).await,
                None => {}
            }
            round += 1;
            sleep(Duration::from_millis(REPORT_EVERY_MS)).await;
        }
    }

    /// Takes the datagrams of other hosts.
    pub(crate) async fn receive(self: Rc<Self>) {
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            buffer.clear();
            let BufResult(received, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            let (length, peer) = match received {
                Ok(received) => received,
                Err(error) => {
                    warn!(self.context.logger, "datagram not received"; "cause" => %error);
                    sleep(Duration::from_millis(REPORT_EVERY_MS)).await;
                    continue;
                }
            };
            match postcard::from_bytes(&buffer[..length]) {
                Ok(message) => self.take(peer, message).await,
                Err(error) => {
                    warn!(self.context.logger, "datagram unreadable";
                        "peer" => peer.to_string(), "cause" => %error);
                }
            }
        }
    }

    /// Hub of this data centre, after a silent one is passed over.
    fn hub(&self, now: ClockTime) -> Option<SocketAddr> {
        if !self.context.can_be_hub() {
            return None;
        }
        let mut roster = self.context.roster.borrow_mut();
        let mut reports = self.reports.borrow_mut();
        let is_silent = reports
            .unanswered_since
            .is_some_and(|since| now.since(since) > HUB_SILENT_MS);
        let doubt = self.context.hub_doubt.take();
        if (is_silent || doubt.is_some())
            && let Some(hub) = reports.hub.take()
        {
            if doubt.is_some() {
                roster.note_unfit(hub, now);
            } else {
                roster.suspect(hub, now);
            }
            self.context.wants_roster.set(true);
            reports.unanswered_since = None;
            info!(self.context.logger, "hub passed over"; "hub" => hub.to_string(),
                "cause" => doubt.map_or("silent", HubDoubt::name));
        }
        if self.context.stopping.get() {
            roster.note_unfit(self.context.own.peers, now);
        }
        let hub = roster
            .hub_of(&self.context.own.data_centre, now)
            .map(|card| card.peers);
        if reports.hub != hub {
            info!(self.context.logger, "hub chosen";
                "hub" => hub.map(|hub| hub.to_string()), "hosts" => roster.len());
            *reports = SentReports {
                hub,
                number: reports.number,
                ..SentReports::default()
            };
        }
        self.context.is_hub.set(hub == Some(self.context.own.peers));
        hub
    }

    async fn send_report(&self, hub: SocketAddr, now: ClockTime) {
        let report = {
            let mut reports = self.reports.borrow_mut();
            reports.number += 1;
            let number = reports.number;
            reports.sent.push_back((number, now));
            if reports.sent.len() > REMEMBERED_REPORTS {
                reports.sent.pop_front();
            }
            reports.unanswered_since.get_or_insert(now);
            new_report(&self.context, number, now)
        };
        self.send_to(hub, &PeerMessage::Report(report)).await;
    }

    async fn act_as_hub(&self, round: u32, now: ClockTime) {
        let own = self.context.own.peers;
        let report = new_report(&self.context, 0, now);
        take_report(&self.context, own, &report, now);
        self.context.is_counted.set(true);
        self.tell_hubs(round, now).await;
        renew_fleet(&self.context, now);
        let answer = new_answer(&self.context, &report, now);
        if let Some(shares) = &answer.shares {
            log_limited(&self.context, shares);
        }
        take_guidance(&self.context, &answer, now);
    }

    /// Tells other hubs what the hosts that report here did.
    async fn tell_hubs(&self, round: u32, now: ClockTime) {
        {
            let context = &self.context;
            let registered = context.roster.borrow().len();
            let mut ledger = context.ledger.borrow_mut();
            ledger.note_coverage(registered, now);
            ledger.advance(|hash| context.pace_limit(hash), now);
            ledger.forget_silent(FORGET_MS, now);
        }
        if round.is_multiple_of(SUMMARY_EVERY) {
            self.send_summaries(round / SUMMARY_EVERY, now).await;
        }
    }

    async fn send_summaries(&self, number: u32, now: ClockTime) {
        let outcomes = self.context.ledger.borrow_mut().take_outcomes();
        for hub in self.other_hubs(number, now) {
            let with_hosts = number.is_multiple_of(HOSTS_EVERY);
            let summary = new_summary(&self.context, &outcomes, with_hosts, now);
            self.send_to(hub, &PeerMessage::Summary(summary)).await;
        }
    }

    /// Hubs that were heard or named lately, the own one, and an early host in turn of each centre without one.
    fn other_hubs(&self, round: u32, now: ClockTime) -> Vec<SocketAddr> {
        const CANDIDATES: usize = 4;
        let roster = self.context.roster.borrow();
        let heard = self.context.ledger.borrow().heard_hubs(now);
        let own = &self.context.own;
        let mut hubs = self.context.ledger.borrow().hubs_to_tell(now);
        hubs.extend(self.reports.borrow().hub);
        for centre in roster.data_centres() {
            if centre == own.data_centre || heard.iter().any(|(_, known)| *known == centre) {
                continue;
            }
            let cards: Vec<_> = roster.in_centre(&centre).take(CANDIDATES).collect();
            let index = round as usize % cards.len().max(1);
            hubs.extend(cards.get(index).map(|card| card.peers));
        }
        if self.context.is_hub.get() {
            hubs.extend(self.unheard_host(round, now));
        }
        hubs.sort_unstable();
        hubs.dedup();
        hubs.retain(|hub| *hub != own.peers);
        hubs
    }

    /// One in turn of the hosts of this data centre that do not report here; it may take
    /// itself for the hub, because it registered first, and know no other host.
    fn unheard_host(&self, round: u32, now: ClockTime) -> Option<SocketAddr> {
        let roster = self.context.roster.borrow();
        let ledger = self.context.ledger.borrow();
        let unheard: Vec<SocketAddr> = roster
            .in_centre(&self.context.own.data_centre)
            .map(|card| card.peers)
            .filter(|peers| !ledger.hears_host(*peers, now))
            .collect();
        let index = round as usize % unheard.len().max(1);
        unheard.get(index).copied()
    }

    async fn take(&self, peer: SocketAddr, message: PeerMessage) {
        let now = ClockTime::now();
        self.context.roster.borrow_mut().clear_suspicion(peer);
        match message {
            // Without hosts or limits it could only give out what other hubs give out too;
            // the reporter passes a silent hub over.
            PeerMessage::Report(_) if !self.context.can_be_hub() => {}
            PeerMessage::Report(report) => {
                take_report(&self.context, peer, &report, now);
                let answer = new_answer(&self.context, &report, now);
                self.send_to(peer, &PeerMessage::Answer(answer)).await;
            }
            PeerMessage::Answer(answer) => {
                if let Some(asked_at) = self.note_answered(peer, answer.number) {
                    take_answer(&self.context, answer, asked_at, now);
                }
            }
            PeerMessage::Summary(summary) => take_summary(&self.context, peer, summary, now),
        }
    }

    /// When the answered report was sent, if it was sent to this peer of late.
    fn note_answered(&self, peer: SocketAddr, number: u32) -> Option<ClockTime> {
        let mut reports = self.reports.borrow_mut();
        if reports.hub != Some(peer) {
            return None;
        }
        let sent = reports.sent.iter().find(|(sent, _)| *sent == number);
        let asked_at = sent.map(|(_, at)| *at)?;
        reports.unanswered_since = None;
        Some(asked_at)
    }

    async fn send_to(&self, peer: SocketAddr, message: &PeerMessage) {
        let bytes = match postcard::to_allocvec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!(self.context.logger, "datagram not encoded"; "cause" => %error);
                return;
            }
        };
        let BufResult(sent, _) = self.socket.send_to(bytes, peer).await;
        if let Err(error) = sent {
            slog::debug!(self.context.logger, "datagram not sent";
                "peer" => peer.to_string(), "cause" => %error);
        }
    }
}
