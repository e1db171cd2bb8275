//! Known instances of all services.
//!
//! Entries of the instance list of the users' platform are identified by their
//! offset, and each is applied at most once. An entry of an earlier start of
//! the instance, or with a lower sequence number, is outdated and ignored. The
//! fault probability alone never excludes an instance: while all of them look
//! faulty, the least suspicious ones still serve requests. An instance that said
//! that it is leaving gets none until it starts again, whatever its entry says,
//! and one that wants no requests gets none until the time that it gave. One that
//! named a limit gets only requests for which this host has a permit of its hub.
//!
//! A store that came back from a copy may list instances that have left. The
//! table therefore keeps its instances across eras, and an entry of a later era
//! does not undo what is known: an instance that was leaving stays so until it
//! starts anew, and one that was gone until it is seen to write in that era.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use compact_str::CompactString;
use cranelift_entity::PrimaryMap;

use crocushoist_state::ClockTime;

use crate::AttemptOutcome;
use crate::DepartureNotice;
use crate::InstanceKey;
use crate::InstanceListing;
use crate::InstanceState;
use crate::LimitStatement;
use crate::ListingChange;
use crate::ListingChanges;
use crate::OutcomeCounts;
use crate::PermitGrant;
use crate::PermitPool;
use crate::Presence;
use crate::PresenceEvidence;
use crate::RelayedListing;
use crate::RetrySafety;
use crate::ServiceCounts;
use crate::StoreEra;
use crate::StoreOffset;
use crate::TrialOffer;
use crate::departure_ledger::DepartureLedger;
use crate::drawn_part::rotate_by_draw;
use crate::instance_index::InstanceIndex;
use crate::instance_selector::InstanceCandidate;
use crate::instance_selector::InstanceSelector;
use crate::instance_selector::prefer_past_backoff;
use crate::limit_ledger::LimitLedger;
use crate::name_hash;
use crate::send_permits::SendPermits;
use crate::service_counts::ServiceLoad;
use crate::trial_offers::TrialOffers;
use crate::trial_round::TrialKind;

/// Latency in milliseconds that is assumed before the first response of a service.
const INITIAL_LATENCY_MS: f64 = 250.0;

/// Milliseconds for which a mean latency is used.
const MEAN_VALID_MS: u64 = 100;

/// Multiple of the service's mean latency up to which a response never counts as late.
const SLOW_LATENCY_FACTOR: f64 = 2.5;

/// Fraction of a service's requests that are refused or fail from which trials are required.
///
/// The users' platform requires requests to the healthy instances from a tenth on.
const REQUIRED_TRIAL_SHARE: f64 = 0.09;

/// Milliseconds after an answer of a hub during which its offers replace random trials.
const OFFERS_EXPECTED_MS: u64 = 1_000;

/// Suspected instances for each healthy one up to which the floor holds without required trials.
///
/// The platform's floor of 0.7 allows 0.43.
const MAX_UNTRIED_RATIO: f64 = 0.3;

/// Requests a second for which hubs issue permits at most while an instance with a limit is
/// suspected.
const LIMITED_TRIALS_PER_S: f64 = 1.0;

/// Permits that a host with few requests wants to hold for a service, and the requests in ten
/// seconds for each further one: a fifth of a second's.
const MIN_WANTED_PERMITS: u32 = 2;
const REQUESTS_PER_WANTED_PERMIT: u32 = 50;

/// Known instances of all services.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    /// Every start of an instance that was listed, with keys from 0 in the order of insertion.
    instances: PrimaryMap<InstanceKey, InstanceState>,
    /// Lookup by id, hash and service.
    index: InstanceIndex,
    /// Mean latencies in milliseconds by service, each with the time when it was computed.
    mean_latencies: RefCell<HashMap<CompactString, (f64, ClockTime)>>,
    /// Offset of the first entry that was not applied yet.
    next_offset: StoreOffset,
    /// Requests of this host since the last report, by the hash of the service's name.
    service_counts: HashMap<u32, ServiceCounts>,
    /// At the hub: requests of the fleet, likewise.
    service_loads: HashMap<u32, ServiceLoad>,
    /// Time until which a hub offers trials, so that this host selects none at random.
    trials_offered_until: ClockTime,
    /// At the hub: offers of trials to hosts.
    trial_offers: TrialOffers,
    /// Offset from which on every removal was applied. A full list does not contain earlier ones.
    removals_known_from: StoreOffset,
    /// Era in which another host's whole list was merged.
    merged_era: StoreEra,
    /// Starts of instances that are leaving, listed or not.
    departures: DepartureLedger,
    /// Limits that instances named.
    limits: LimitLedger,
    /// Requests that this host may send to instances with a limit.
    permits: SendPermits,
}

impl InstanceTable {
    /// Offset of the first entry of the instance list that was not applied yet.
    pub fn next_offset(&self) -> StoreOffset {
        self.next_offset
    }

    /// Offset to report to a hub: its changes from there on are missing here.
    ///
    /// A host that read the list from a copy lacks what other hosts know of instances that left.
    pub fn reported_offset(&self) -> StoreOffset {
        if self.lacks_departures() {
            StoreOffset::new(self.next_offset.era, 0)
        } else {
            self.next_offset
        }
    }

    /// Whether no other host's list was merged in this era.
    pub fn lacks_departures(&self) -> bool {
        self.next_offset.era.is_known() && self.merged_era != self.next_offset.era
    }

    /// Records that the whole list of another host of the era `era` was applied.
    pub fn record_merged(&mut self, era: StoreEra) {
        self.merged_era = self.merged_era.max(era);
    }

    /// Records that every entry of the era before `offset` was applied; ignored if the list is of
    /// another era, because the rest of it must be read first.
    pub fn advance(&mut self, offset: StoreOffset) {
        if offset.is_at_or_after(self.next_offset) {
            self.next_offset = offset;
        }
    }

    /// State of the instance `key`.
    pub fn get(&self, key: InstanceKey) -> &InstanceState {
        &self.instances[key]
    }

    /// Every start of an instance that was ever listed, including removed ones.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &InstanceState)> {
        self.instances.iter()
    }

    /// Instance whose id has the hash `hash`.
    pub fn find_hash(&self, hash: u32) -> Option<InstanceKey> {
        self.index.find_hash(hash)
    }

    /// Applies the list entry that the store holds at `offset`.
    ///
    /// An entry beyond the part of the list that was known in its era was written in that era. Any
    /// other may be one of an earlier era that the store's copy contains.
    pub fn apply_listing(
        &mut self,
        offset: StoreOffset,
        listing: InstanceListing,
        now: ClockTime,
    ) -> ListingChange {
        let is_written = offset.is_at_or_after(self.next_offset);
        let relayed = RelayedListing {
            changed_offset: offset,
            listing,
            presence: Presence::Listed,
            evidence: PresenceEvidence::read(offset, is_written),
        };
        self.apply_entry(relayed, offset, now)
    }

    /// Applies an entry of the store or of another host; `position` is where hosts that follow
    /// this list find the change.
    fn apply_entry(
        &mut self,
        relayed: RelayedListing,
        position: StoreOffset,
        now: ClockTime,
    ) -> ListingChange {
        let listing = &relayed.listing;
        let Some(key) = self.index.find_id(&listing.id) else {
            return self.insert(relayed, now);
        };
        let state = &mut self.instances[key];
        let known = &state.listing;
        if listing.started_at_unix_ms < known.started_at_unix_ms {
            return ListingChange::Unchanged;
        }
        if listing.started_at_unix_ms > known.started_at_unix_ms {
            self.remove_member(key);
            return self.insert(relayed, now);
        }
        let presence_before = state.presence_at(now);
        let absent_before = state.evidence.absent_before;
        state.join_evidence(relayed.evidence, relayed.presence, now);
        let presence = state.presence_at(now);
        let is_newer = listing.seq > state.listing.seq;
        if is_newer && listing.service != state.listing.service {
            let moved = RelayedListing {
                presence,
                evidence: state.evidence,
                ..relayed
            };
            self.remove_member(key);
            return self.insert(moved, now);
        }
        let mut listing = relayed.listing;
        let starts_leaving = listing.leaving && !state.listing.leaving;
        state.listing.leaving |= listing.leaving;
        listing.leaving = state.listing.leaving;
        let is_replaced = is_newer && state.replace_listing(listing, now);
        let change = match (presence_before, presence) {
            (Presence::Listed | Presence::Lapsing(_), Presence::Gone) => ListingChange::Gone,
            (Presence::Listed, Presence::Lapsing(_)) => ListingChange::Lapsed,
            _ if starts_leaving => ListingChange::Leaving,
            _ if is_replaced || presence_before != presence => ListingChange::Updated,
            _ => ListingChange::Unchanged,
        };
        // Hosts that still list the instance must hear of a later absence too.
        let is_absent_later =
            presence != Presence::Listed && state.evidence.absent_before != absent_before;
        if change != ListingChange::Unchanged || is_absent_later {
            state.changed_offset = position.latest(relayed.changed_offset);
        }
        change
    }

    /// Applies the removal of `id` at `offset`.
    ///
    /// An entry may have expired only because the store was unavailable. If `lapse_until` is in
    /// the future, the instance therefore stays usable until then, unless it is listed again
    /// earlier.
    pub fn apply_removal(
        &mut self,
        offset: StoreOffset,
        id: &str,
        lapse_until: Option<ClockTime>,
        now: ClockTime,
    ) -> ListingChange {
        self.apply_absence(offset, offset.next(), id, lapse_until, now)
    }

    /// Applies that the list lacks `id` at `absent_before`; `position` is where hosts that follow
    /// this list find the change.
    fn apply_absence(
        &mut self,
        position: StoreOffset,
        absent_before: StoreOffset,
        id: &str,
        lapse_until: Option<ClockTime>,
        now: ClockTime,
    ) -> ListingChange {
        let Some(key) = self.index.find_id(id) else {
            return ListingChange::Unchanged;
        };
        let state = &self.instances[key];
        let lapse_until = lapse_until.filter(|until| now < *until && !state.listing.leaving);
        let relayed = RelayedListing {
            changed_offset: position,
            listing: state.listing.clone(),
            presence: lapse_until.map_or(Presence::Gone, Presence::Lapsing),
            evidence: PresenceEvidence::absent(absent_before),
        };
        self.apply_entry(relayed, position, now)
    }

    /// Completes a read of the full list up to the offset `end`: removes listed instances for
    /// which `is_listed` is false and returns their ids. A list that another host's newer one
    /// overtook removes none.
    pub fn finish_full_list(
        &mut self,
        end: StoreOffset,
        is_listed: impl Fn(&str) -> bool,
        lapse_until: Option<ClockTime>,
        now: ClockTime,
    ) -> Vec<CompactString> {
        self.remove_unlisted(end, |listing| is_listed(&listing.id), lapse_until, now)
    }

    fn remove_unlisted(
        &mut self,
        end: StoreOffset,
        is_listed: impl Fn(&InstanceListing) -> bool,
        lapse_until: Option<ClockTime>,
        now: ClockTime,
    ) -> Vec<CompactString> {
        if self.next_offset.supersedes(end) {
            return Vec::new();
        }
        let mut absent = Vec::new();
        for state in self.instances.values_mut() {
            if is_listed(&state.listing) {
                continue;
            }
            if state.presence == Presence::Listed {
                absent.push(state.listing.id.clone());
            } else {
                let absence = PresenceEvidence::absent(end);
                state.evidence = state.evidence.joined(absence);
            }
        }
        for id in &absent {
            self.apply_absence(end.previous(), end, id, lapse_until, now);
        }
        self.next_offset = self.next_offset.latest(end);
        self.removals_known_from = self.removals_known_from.latest(end);
        absent
    }

    /// Whether [`Self::changed_since`] returns every change from `offset` on.
    ///
    /// A table that was filled from a full list has no entry for an instance that was removed
    /// before. A host that still lists that instance needs the full list too.
    pub fn knows_changes_since(&self, offset: StoreOffset) -> bool {
        offset.is_at_or_after(self.removals_known_from)
    }

    /// Applies an entry that another host relayed.
    ///
    /// Of an entry of an earlier era than this list, only a departure is applied. An instance that
    /// this list lacks although it is read beyond the entry has left, and the other host is behind.
    pub fn apply_relayed(&mut self, relayed: RelayedListing, now: ClockTime) -> ListingChange {
        let is_earlier_era = relayed.changed_offset.era < self.next_offset.era;
        self.merge_entry(relayed, is_earlier_era, self.next_offset, now)
    }

    /// Applies an entry of another host, or only the departure in it if that host `is_behind`.
    fn merge_entry(
        &mut self,
        mut relayed: RelayedListing,
        is_behind: bool,
        position: StoreOffset,
        now: ClockTime,
    ) -> ListingChange {
        if !self.knows_start(&relayed.listing) {
            let departs = relayed.presence == Presence::Gone || relayed.listing.leaving;
            let mut is_outdated = is_behind;
            let is_own_era = relayed.evidence.read_at.era <= self.next_offset.era;
            if is_own_era && self.lists_no_start(&relayed.listing) {
                let absence = PresenceEvidence::absent(self.next_offset);
                relayed.evidence = relayed.evidence.joined(absence);
                is_outdated |= !relayed.evidence.is_listed();
            }
            if is_outdated && !departs {
                return ListingChange::Unchanged;
            }
        }
        self.apply_entry(relayed, position, now)
    }

    /// Whether the start of the instance in `listing` is the latest one that is known.
    fn knows_start(&self, listing: &InstanceListing) -> bool {
        let key = self.index.find_id(&listing.id);
        key.is_some_and(|key| {
            self.instances[key].listing.started_at_unix_ms == listing.started_at_unix_ms
        })
    }

    /// Whether this list has no start of the instance in `listing`. The store's copy may list an
    /// earlier start that counts as gone; such a list is older than the start in `listing`.
    fn lists_no_start(&self, listing: &InstanceListing) -> bool {
        let key = self.index.find_id(&listing.id);
        key.is_none_or(|key| {
            let state = &self.instances[key];
            let is_earlier = state.listing.started_at_unix_ms < listing.started_at_unix_ms;
            let is_gone = state.presence == Presence::Gone;
            is_earlier && is_gone && state.evidence.is_absent_in(self.next_offset.era)
        })
    }

    /// Applies the whole list of another host up to `end`, or only the departures in it if this
    /// list is newer. Returns whether it was applied in whole, and every change.
    ///
    /// Instances that a list of a later era lacks have `relisting_ms` to write their entries
    /// again, because the other host may know no more than the copy.
    pub fn apply_full_list(
        &mut self,
        end: StoreOffset,
        entries: Vec<RelayedListing>,
        relisting_ms: u64,
        now: ClockTime,
    ) -> (bool, Vec<(CompactString, ListingChange)>) {
        let own = self.next_offset;
        let is_outdated = own.supersedes(end);
        let mut changes = Vec::new();
        let mut starts = HashSet::with_capacity(entries.len());
        for relayed in entries {
            let id = relayed.listing.id.clone();
            starts.insert((id.clone(), relayed.listing.started_at_unix_ms));
            let change = self.merge_entry(relayed, is_outdated, own.latest(end), now);
            changes.push((id, change));
        }
        if is_outdated {
            self.record_merged(own.era);
            return (false, changes);
        }
        let is_later_era = own.era.is_known() && end.era > own.era;
        let lapse_until = is_later_era.then(|| now.plus(relisting_ms));
        // An entry that is gone tells itself up to where the store's list lacked it.
        let is_told = |listing: &InstanceListing| {
            starts.contains(&(listing.id.clone(), listing.started_at_unix_ms))
        };
        let absent = self.remove_unlisted(end, is_told, lapse_until, now);
        changes.extend(absent.into_iter().map(|id| {
            let is_lapsing = self
                .index
                .find_id(&id)
                .is_some_and(|key| matches!(self.instances[key].presence, Presence::Lapsing(_)));
            let change = if is_lapsing {
                ListingChange::Lapsed
            } else {
                ListingChange::Gone
            };
            (id, change)
        }));
        self.record_merged(end.era);
        (true, changes)
    }

    /// Changes for a host that knows the list up to `reported`.
    ///
    /// Of more than `max_relayed` changes none is relayed, because the whole list is shorter; one
    /// message has at most `max_entries`.
    pub fn changes_for(
        &self,
        reported: StoreOffset,
        max_relayed: usize,
        max_entries: usize,
    ) -> ListingChanges<'_> {
        let mut changes = ListingChanges {
            entries: Vec::new(),
            end_offset: reported,
            is_complete: false,
            needs_full_list: false,
        };
        if reported.era > self.next_offset.era {
            return changes;
        }
        let mut entries = self.changed_since(reported);
        if entries.len() > max_relayed || !self.knows_changes_since(reported) {
            changes.needs_full_list = true;
            return changes;
        }
        changes.is_complete = entries.len() <= max_entries;
        entries.truncate(max_entries);
        let last = entries.last().map(|last| last.changed_offset);
        if !changes.is_complete && last == Some(reported) {
            // The part would be the same in the next message.
            changes.needs_full_list = true;
            return changes;
        }
        // The entries are in the order of their offsets: the last one is the newest.
        changes.end_offset = match entries.last() {
            Some(last) if !changes.is_complete => last.changed_offset,
            _ => self.next_offset,
        };
        changes.entries = entries;
        changes
    }

    /// Instances whose entry changed at `offset` or later, in the order of their offsets.
    pub fn changed_since(&self, offset: StoreOffset) -> Vec<&InstanceState> {
        let mut changed: Vec<&InstanceState> = self
            .instances
            .values()
            .filter(|state| state.changed_offset.is_at_or_after(offset))
            .collect();
        changed.sort_unstable_by_key(|state| state.changed_offset.number());
        changed
    }

    /// Records that another instance responded at the address of the instance `key`.
    pub fn record_departure(&mut self, key: InstanceKey) {
        self.instances[key].record_departure();
    }

    /// Records that the instance `key` said to this host that it is leaving; returns whether that
    /// is new.
    pub fn record_leaving(&mut self, key: InstanceKey, now: ClockTime) -> bool {
        let state = &mut self.instances[key];
        state.record_departure();
        let notice = state.departure_notice();
        self.departures.record(notice, now)
    }

    /// Applies a notice from another host; returns the instance if this host did not know that it
    /// is leaving. The notice also holds for a start that is listed later.
    pub fn apply_departure(
        &mut self,
        notice: DepartureNotice,
        now: ClockTime,
    ) -> Option<InstanceKey> {
        if !self.departures.record(notice, now) {
            return None;
        }
        let key = self.find_start(notice)?;
        self.instances[key].record_departure();
        Some(key)
    }

    /// Departure notices for one message to another host; `draw` is a random number from 0 to 1.
    pub fn told_departures(&self, draw: f64, now: ClockTime) -> Vec<DepartureNotice> {
        let is_present = |notice| {
            let key = self.find_start(notice);
            key.is_some_and(|key| self.instances[key].presence != Presence::Gone)
        };
        self.departures.told(draw, is_present, now)
    }

    /// Records the limit that the instance `key` named in a response, or that it named none, if
    /// the request was sent at `sent_at`; returns whether the limit has changed.
    pub fn record_limit(
        &mut self,
        key: InstanceKey,
        per_s: Option<f64>,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> bool {
        let start = self.instances[key].departure_notice();
        self.limits.record(start, per_s, sent_at, now)
    }

    /// Applies a statement from another host; returns the instance if its limit has changed.
    pub fn apply_limit(
        &mut self,
        statement: LimitStatement,
        now: ClockTime,
    ) -> Option<InstanceKey> {
        if !self.limits.apply(statement, now) {
            return None;
        }
        self.find_start(statement.start())
    }

    /// Statements about limits for one message to another host; `draw` is a random number from 0
    /// to 1.
    pub fn told_limits(&self, draw: f64, now: ClockTime) -> Vec<LimitStatement> {
        let is_present = |start| {
            let key = self.find_start(start);
            key.is_some_and(|key| self.instances[key].presence != Presence::Gone)
        };
        self.limits.told(draw, is_present, now)
    }

    /// Adds the permits in the answer to a report that was sent at `reported_at`.
    pub fn add_permits(&mut self, grants: &[PermitGrant], reported_at: ClockTime) {
        self.permits.add(grants, reported_at);
    }

    /// Permits that lapsed since the start of this host.
    pub fn lapsed_permits(&mut self, now: ClockTime) -> Vec<PermitGrant> {
        let has_limit = |hash| {
            let key = self.index.find_hash(hash);
            key.is_some_and(|key| {
                let start = self.instances[key].departure_notice();
                self.limits.limit(start).is_some()
            })
        };
        self.permits.lapsed(has_limit, now)
    }

    /// Permits that this host wants for the instances of `service`, of which it had `requests` in
    /// the last ten seconds; `None` if none of them named a limit.
    pub fn wanted_permits(&self, service: &str, requests: u32, now: ClockTime) -> Option<u32> {
        let mut held = None;
        for (start, _) in self.limits.limits() {
            let key = self.find_start(start);
            let state = key.map(|key| &self.instances[key]);
            if state.is_some_and(|state| state.listing.service == service) {
                held = Some(held.unwrap_or(0) + self.permits.count(start.instance, now));
            }
        }
        let wanted = requests.min(MIN_WANTED_PERMITS) + requests / REQUESTS_PER_WANTED_PERMIT;
        Some(wanted.max(1).saturating_sub(held?))
    }

    /// At the hub: permits of `pool` for a host that wants `wanted` for the service whose name has
    /// the hash `service`; `part` of the fleet reports to this hub. `draw` is a random number from
    /// 0 to 1.
    ///
    /// Suspected instances get no more than trials.
    pub fn issue_permits(
        &self,
        pool: &mut PermitPool,
        service: u32,
        wanted: u32,
        part: f64,
        draw: f64,
        now: ClockTime,
    ) -> Vec<PermitGrant> {
        let mut limited: Vec<(&InstanceState, f64)> = Vec::new();
        for (start, limit) in self.limits.limits() {
            let key = self.find_start(start);
            let state = key.map(|key| &self.instances[key]);
            if let Some(state) = state.filter(|state| state.is_usable(now))
                && name_hash(&state.listing.service) == service
            {
                limited.push((state, limit));
            }
        }
        rotate_by_draw(&mut limited, draw);
        let mut grants = Vec::new();
        let mut missing = wanted;
        for (state, limit) in limited {
            let per_s = if state.is_suspected(now) {
                limit.min(LIMITED_TRIALS_PER_S)
            } else {
                limit
            };
            let count = pool.issue(state.hash, per_s, part, missing, now);
            missing -= count;
            if count > 0 {
                grants.push(PermitGrant {
                    instance: state.hash,
                    count,
                });
            }
        }
        grants
    }

    /// Whether this host may send a request to the instance with `state`, which may have named a
    /// limit.
    fn is_permitted(&self, state: &InstanceState, now: ClockTime) -> bool {
        self.limits.limit(state.departure_notice()).is_none()
            || self.permits.count(state.hash, now) > 0
    }

    /// Permits for the instances of `service`; `None` if any that takes requests has no limit, or
    /// none takes requests.
    pub fn permit_count(&self, service: &str, now: ClockTime) -> Option<u32> {
        let members = self.usable_members(service, now);
        let mut count = None;
        for (_, state) in members.filter(|(_, state)| !state.is_on_hold(now)) {
            self.limits.limit(state.departure_notice())?;
            count = Some(count.unwrap_or(0) + self.permits.count(state.hash, now));
        }
        count
    }

    /// Latest start of the instance of `notice`, if the notice is about that start.
    fn find_start(&self, notice: DepartureNotice) -> Option<InstanceKey> {
        let key = self.find_hash(notice.instance)?;
        (self.instances[key].departure_notice() == notice).then_some(key)
    }

    /// Records that the instance `key` wants no requests from this host for `hold_ms`; returns
    /// whether it did not say so lately.
    pub fn record_hold(&mut self, key: InstanceKey, hold_ms: u64, now: ClockTime) -> bool {
        // The request may have been sent before a later start was listed.
        let latest = self.index.find_id(&self.instances[key].listing.id);
        let state = &mut self.instances[latest.unwrap_or(key)];
        state.start_hold(now.plus(hold_ms), now)
    }

    /// Time at which the first instance of `service` wants requests again; `None` if one wants
    /// them at `now`, or none is usable.
    pub fn hold_end(&self, service: &str, now: ClockTime) -> Option<ClockTime> {
        let ends = self
            .usable_members(service, now)
            .map(|(_, state)| state.hold_until());
        ends.min().filter(|end| now < *end)
    }

    /// Selects an instance of `service` and counts a request in flight there.
    ///
    /// `draws` are two random numbers from 0 to 1; instances in `tried` are excluded.
    /// `allow_trial` permits a trial request to a suspected instance, because a retry is
    /// affordable; `is_connected` returns whether an idle connection to an address exists.
    #[expect(
        clippy::too_many_arguments,
        reason = "the selection depends on all of them"
    )]
    pub fn choose(
        &mut self,
        service: &str,
        data_centre: &str,
        retry_safety: RetrySafety,
        tried: &[InstanceKey],
        draws: (f64, f64),
        allow_trial: bool,
        is_connected: impl Fn(SocketAddr) -> bool,
        now: ClockTime,
    ) -> Option<InstanceKey> {
        let candidates = self
            .usable_members(service, now)
            .filter(|(key, state)| !tried.contains(key) && !state.is_on_hold(now))
            .filter(|(_, state)| self.is_permitted(state, now))
            .map(|(key, state)| InstanceCandidate {
                key,
                state,
                is_connected: is_connected(state.listing.address),
                is_limited: self.limits.limit(state.departure_notice()).is_some(),
            });
        let selector = InstanceSelector {
            candidates: prefer_past_backoff(candidates.collect(), now),
            data_centre,
            retry_safety,
            mean_latency_ms: self.mean_latency_ms(service, now),
            has_hub: now < self.trials_offered_until,
            now,
        };
        let chosen = selector.select(draws, allow_trial)?;
        let state = &mut self.instances[chosen];
        state.record_sent();
        self.permits.spend(state.hash, now);
        Some(chosen)
    }

    /// At the hub: trials of up to `max_count` instances of `data_centre` to offer to a host.
    ///
    /// If hosts only selected by cost or at random, some instances would get no request for
    /// seconds. Trials are for new instances, which take any request, and for suspected ones. Those
    /// take requests that may run again. If none comes while many requests of the service fail,
    /// they take any request too.
    pub fn assign_trials(
        &mut self,
        data_centre: &str,
        max_count: usize,
        now: ClockTime,
    ) -> Vec<TrialOffer> {
        let endangered = self.endangered_services(now);
        let limits = &self.limits;
        let is_due = |state: &&mut InstanceState| {
            state.listing.data_centre == data_centre
                && state.accepts_requests(now)
                && state.trial_round.is_due(now)
                && (state.is_new() || state.is_suspected(now))
                // Its permits serve as trials.
                && limits.limit(state.departure_notice()).is_none()
        };
        let mut due: Vec<_> = self.instances.values_mut().filter(is_due).collect();
        // In the order of the table, the first instances would take all offers of a busy hub.
        due.sort_by_key(|state| state.trial_round.offered_at());
        let mut offers = Vec::new();
        for state in due {
            if offers.len() == max_count {
                break;
            }
            let is_new = state.is_new();
            let is_endangered = endangered.contains(&state.listing.service);
            let round = &mut state.trial_round;
            let kind = if is_new || (round.is_overdue() && is_endangered) {
                TrialKind::Required
            } else {
                TrialKind::Optional
            };
            if let Some(kind) = self.trial_offers.next_offer(round, kind, now) {
                offers.push(TrialOffer {
                    instance: state.hash,
                    is_required: kind == TrialKind::Required,
                });
            }
        }
        offers
    }

    /// Services of which many requests are not served while many of the instances that all hosts
    /// can reach are suspected: the floor may be missed without trials.
    fn endangered_services(&self, now: ClockTime) -> Vec<CompactString> {
        let mut services = Vec::new();
        for service in self.index.services() {
            let share = self.service_loads.get(&name_hash(service));
            if share.map_or(0.0, ServiceLoad::unserved_share) < REQUIRED_TRIAL_SHARE {
                continue;
            }
            let members = self.usable_members(service, now);
            let reachable = members.filter(|(_, state)| state.is_reachable(now));
            let (suspected, healthy): (Vec<_>, Vec<_>) =
                reachable.partition(|(_, state)| state.is_suspected(now));
            if suspected.len() as f64 > healthy.len() as f64 * MAX_UNTRIED_RATIO {
                services.push(service.clone());
            }
        }
        services
    }

    /// At the hub: records the trials that a host used, by instance hash.
    pub fn record_trials(&mut self, used: &[u32], now: ClockTime) {
        for hash in used {
            if let Some(key) = self.find_hash(*hash) {
                self.record_tried(key, false, now);
            }
        }
    }

    /// Counts a request of this host that ended.
    pub fn count_request(&mut self, service: &str, is_served: bool) {
        let service = name_hash(service);
        let counts = self.service_counts.entry(service).or_default();
        counts.service = service;
        counts.requests += 1;
        counts.unserved += u32::from(!is_served);
    }

    /// Drains the requests of this host since the last call, by service.
    pub fn take_service_counts(&mut self) -> Vec<ServiceCounts> {
        self.service_counts
            .drain()
            .map(|(_, counts)| counts)
            .collect()
    }

    /// At the hub: adds requests that a host or another hub reported.
    pub fn add_service_counts(&mut self, counts: ServiceCounts, now: ClockTime) {
        let share = self.service_loads.entry(counts.service).or_default();
        share.add(counts, now);
    }

    /// At the hub: requests a second of the service whose name has the hash `service`.
    pub fn requests_per_s(&self, service: u32, now: ClockTime) -> f64 {
        let load = self.service_loads.get(&service);
        load.map_or(0.0, |load| load.requests_per_s(now))
    }

    /// Records that a hub offers trials now.
    pub fn record_hub_offers(&mut self, now: ClockTime) {
        self.trials_offered_until = now.plus(OFFERS_EXPECTED_MS);
    }

    /// Accepts a trial that the hub offered to this host.
    pub fn apply_trial(&mut self, offer: TrialOffer, now: ClockTime) {
        if let Some(key) = self.find_hash(offer.instance) {
            self.instances[key].apply_trial(offer, now);
        }
    }

    /// Drains the instances, by hash, whose trials this host used since the last call.
    pub fn take_used_trials(&mut self) -> Vec<u32> {
        self.instances
            .values_mut()
            .filter_map(|state| state.take_used_trial().then_some(state.hash))
            .collect()
    }

    /// Records a request to the instance `key` for the offers of trials.
    fn record_tried(&mut self, key: InstanceKey, has_response: bool, now: ClockTime) {
        let round = &mut self.instances[key].trial_round;
        self.trial_offers.record_tried(round, has_response, now);
    }

    /// Ends a request in flight.
    pub fn release(&mut self, key: InstanceKey) {
        let state = &mut self.instances[key];
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Whether the instance `key` is suspected to be faulty.
    pub fn is_suspected(&self, key: InstanceKey, now: ClockTime) -> bool {
        self.instances[key].is_suspected(now)
    }

    /// Records the outcome of an attempt by this host.
    pub fn record_outcome(
        &mut self,
        key: InstanceKey,
        outcome: AttemptOutcome,
        latency_ms: u64,
        now: ClockTime,
    ) {
        let has_response = matches!(outcome, AttemptOutcome::Good | AttemptOutcome::Late);
        self.record_tried(key, has_response, now);
        self.instances[key].record_outcome(outcome, latency_ms, now);
    }

    /// Starts a backoff for an instance that this host cannot reach, longer each time.
    pub fn record_unreachable(&mut self, key: InstanceKey, now: ClockTime) {
        self.instances[key].start_unreachable_backoff(now);
    }

    /// Ends the backoffs of the instances of `service`, as when a lost path to them is back.
    pub fn end_backoffs(&mut self, service: &str) {
        for key in self.index.members(service) {
            self.instances[key].end_backoff();
        }
    }

    /// Starts a short backoff for an instance that gave no response to an attempt.
    pub fn record_silence(&mut self, key: InstanceKey, now: ClockTime) {
        self.instances[key].start_silence_backoff(now);
    }

    /// Latency in milliseconds above which a response counts as late: the objective, or a
    /// multiple of the mean latency if that is longer.
    pub fn slow_threshold_ms(&self, service: &str, objective_ms: u64, now: ClockTime) -> u64 {
        let slow = self.mean_latency_ms(service, now) * SLOW_LATENCY_FACTOR;
        objective_ms.max(slow as u64)
    }

    /// Starts a short backoff for an instance that shed a request.
    pub fn record_shed(&mut self, key: InstanceKey, now: ClockTime) {
        self.instances[key].start_shed_backoff(now);
    }

    /// Drains the outcome counts recorded since the last call, by instance hash.
    pub fn take_counts(&mut self) -> Vec<(u32, OutcomeCounts)> {
        self.instances
            .values_mut()
            .map(|state| (state.hash, state.take_counts()))
            .filter(|(_, counts)| *counts != OutcomeCounts::default())
            .collect()
    }

    /// At the hub: records outcome counts that other hosts reported.
    pub fn record_outcome_counts(&mut self, hash: u32, counts: &OutcomeCounts, now: ClockTime) {
        if let Some(key) = self.find_hash(hash) {
            self.record_tried(key, counts.good + counts.late > 0, now);
            self.instances[key].record_outcome_counts(counts, now);
        }
    }

    /// Records that a request in flight at the instance `key` waits for a connection.
    pub fn start_connecting(&mut self, key: InstanceKey) {
        self.instances[key].start_connecting();
    }

    /// Records that such a request has its connection or has ended.
    pub fn end_connecting(&mut self, key: InstanceKey) {
        self.instances[key].end_connecting();
    }

    /// Requests from this host that instances may have received, by instance hash.
    ///
    /// One that waits for a connection occupies nothing at its instance. Nor does one on a path
    /// that is lost, as `is_lost` says of a service.
    pub fn in_flight(&self, is_lost: impl Fn(&str) -> bool) -> Vec<(u32, u32)> {
        self.instances
            .values()
            .filter(|state| state.sent_in_flight() > 0 && !is_lost(&state.listing.service))
            .map(|state| (state.hash, state.sent_in_flight()))
            .collect()
    }

    /// Sets the requests in flight at an instance from the other hosts.
    pub fn set_others_load(&mut self, hash: u32, count: u32) {
        if let Some(key) = self.find_hash(hash) {
            self.instances[key].set_others_in_flight(count);
        }
    }

    /// Shortest queue among the healthy instances of `service`, in waiting requests per slot;
    /// `None` if no instance is healthy.
    pub fn min_queue_per_slot(&self, service: &str, now: ClockTime) -> Option<f64> {
        self.usable_members(service, now)
            .filter(|(_, state)| {
                state.is_past_backoff(now) && !state.is_on_hold(now) && !state.is_suspected(now)
            })
            .filter(|(_, state)| self.is_permitted(state, now))
            .map(|(_, state)| state.queue_per_slot())
            .reduce(f64::min)
    }

    /// Applies the hub's fault probability and latency.
    ///
    /// For a short time after a failure seen by this host, the probability is only raised.
    pub fn apply_hub_estimate(
        &mut self,
        hash: u32,
        probability: f64,
        latency_ms: f64,
        now: ClockTime,
    ) {
        if let Some(key) = self.find_hash(hash) {
            self.instances[key].apply_hub_estimate(probability, latency_ms, now);
        }
    }

    /// Mean of the average latencies of the usable instances of `service`, in milliseconds, as of
    /// at most `MEAN_VALID_MS` ago.
    pub fn mean_latency_ms(&self, service: &str, now: ClockTime) -> f64 {
        let known = self.mean_latencies.borrow().get(service).copied();
        if let Some((mean_ms, at)) = known
            && now.since(at) < MEAN_VALID_MS
        {
            return mean_ms;
        }
        let mean_ms = self.compute_mean_latency_ms(service, now);
        self.mean_latencies
            .borrow_mut()
            .insert(service.into(), (mean_ms, now));
        mean_ms
    }

    fn compute_mean_latency_ms(&self, service: &str, now: ClockTime) -> f64 {
        let (sum, count) = self
            .usable_members(service, now)
            .fold((0.0, 0u32), |(sum, count), (_, state)| {
                (sum + state.latency_ms(), count + 1)
            });
        if count == 0 {
            return INITIAL_LATENCY_MS;
        }
        (sum / f64::from(count)).max(1.0)
    }

    /// Names of all services that ever had an instance.
    pub fn services(&self) -> impl Iterator<Item = &CompactString> {
        self.index.services()
    }

    /// Usable instances of `service`, by key.
    pub fn usable_keys(&self, service: &str, now: ClockTime) -> impl Iterator<Item = InstanceKey> {
        self.usable_members(service, now).map(|(key, _)| key)
    }

    /// Number of usable instances of `service`.
    pub fn usable_count(&self, service: &str, now: ClockTime) -> usize {
        self.usable_members(service, now).count()
    }

    /// Usable instances of all services.
    pub fn usable(&self, now: ClockTime) -> impl Iterator<Item = &InstanceState> {
        self.instances
            .values()
            .filter(move |state| state.is_usable(now))
    }

    /// Usable instances of `service`.
    fn usable_members(
        &self,
        service: &str,
        now: ClockTime,
    ) -> impl Iterator<Item = (InstanceKey, &InstanceState)> {
        let members = self.index.members(service);
        members
            .map(|key| (key, &self.instances[key]))
            .filter(move |(_, state)| state.is_usable(now))
    }

    /// Instances that are gone, the one that left last first.
    pub fn departed(&self) -> Vec<&InstanceState> {
        let mut departed: Vec<&InstanceState> = self
            .instances
            .iter()
            .filter(|(key, state)| {
                state.presence == Presence::Gone
                    && self.index.find_id(&state.listing.id) == Some(*key)
            })
            .map(|(_, state)| state)
            .collect();
        departed.sort_unstable_by_key(|state| {
            let at = state.changed_offset;
            std::cmp::Reverse((at.era, at.number()))
        });
        departed
    }

    fn insert(&mut self, relayed: RelayedListing, now: ClockTime) -> ListingChange {
        let latency_ms = self.mean_latency_ms(&relayed.listing.service, now);
        let earlier = self.index.find_id(&relayed.listing.id);
        let hold_until = earlier.map(|key| self.instances[key].hold_until());
        let mut state = InstanceState::new(relayed, latency_ms, now);
        // This start may have asked for the hold before this host read of it.
        if let Some(until) = hold_until {
            state.start_hold(until, now);
        }
        if self.departures.contains(state.departure_notice()) {
            state.record_departure();
        }
        let change = if state.presence == Presence::Gone {
            ListingChange::Gone
        } else {
            ListingChange::Joined
        };
        let key = self.instances.push(state);
        self.index.insert(key, &self.instances[key]);
        change
    }

    /// Removes an earlier start of an instance from its service.
    fn remove_member(&mut self, key: InstanceKey) {
        let state = &mut self.instances[key];
        state.presence = Presence::Gone;
        state.changed_offset = StoreOffset::default();
        self.index.remove_member(key, &state.listing.service);
    }
}
