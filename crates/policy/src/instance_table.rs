//! Instances of the services.
//!
//! Entries of the platform's list arrive by offset, each at most once. An
//! entry of an earlier start, or with an earlier number, is out of date and
//! passed over. No instance is ever shut out by belief alone: while every
//! instance looks faulty, the least suspicious ones still serve.

use std::net::SocketAddr;

use compact_str::CompactString;
use cranelift_entity::PrimaryMap;

use crocushoist_state::ClockTime;

use crate::AttemptOutcome;
use crate::InstanceKey;
use crate::InstanceListing;
use crate::InstanceState;
use crate::ListingChange;
use crate::OutcomeCounts;
use crate::Presence;
use crate::RepeatKind;
use crate::instance_index::InstanceIndex;
use crate::instance_selector::InstanceCandidate;
use crate::instance_selector::InstanceChoice;
use crate::instance_selector::SUSPECT_BELIEF;
use crate::instance_selector::prefer_rested;

/// Latency that is assumed before any answer, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 250.0;

/// Mean latencies after which an answer speaks against an instance.
const SLOW_LATENCIES: f64 = 2.5;

/// Instances of every service.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    instances: PrimaryMap<InstanceKey, InstanceState>,
    index: InstanceIndex,
    next_offset: u64,
}

impl InstanceTable {
    /// Offset up to which entries were taken.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Notes that every entry before `offset` was taken.
    pub fn advance(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// State of `key`.
    pub fn get(&self, key: InstanceKey) -> &InstanceState {
        &self.instances[key]
    }

    /// Every instance that was ever listed.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &InstanceState)> {
        self.instances.iter()
    }

    /// Instance whose id has `hash`.
    pub fn find_hash(&self, hash: u32) -> Option<InstanceKey> {
        self.index.find_hash(hash)
    }

    /// Takes an entry that stands at `offset` of the list.
    pub fn note_listed(
        &mut self,
        offset: u64,
        listing: InstanceListing,
        now: ClockTime,
    ) -> ListingChange {
        let Some(key) = self.index.find_id(&listing.id) else {
            self.insert(offset, listing, now);
            return ListingChange::Joined;
        };
        let state = &mut self.instances[key];
        let known = (state.listing.born, state.listing.seq);
        if (listing.born, listing.seq) <= known {
            return ListingChange::Nothing;
        }
        if listing.born > known.0 || listing.service != state.listing.service {
            self.remove_member(key);
            self.insert(offset, listing, now);
            return ListingChange::Joined;
        }
        let leaves = listing.leaving && !state.listing.leaving;
        if !state.take_entry(listing, now) {
            return ListingChange::Nothing;
        }
        state.changed_at = offset;
        if leaves {
            ListingChange::Leaving
        } else {
            ListingChange::Updated
        }
    }

    /// Takes the removal of `id` at `offset`.
    ///
    /// After an outage of the store the entry may have lapsed; it is taken for gone
    /// unless it is listed again before `lapse_until`.
    pub fn note_removed(
        &mut self,
        offset: u64,
        id: &str,
        lapse_until: Option<ClockTime>,
        now: ClockTime,
    ) -> ListingChange {
        let Some(key) = self.index.find_id(id) else {
            return ListingChange::Nothing;
        };
        let state = &mut self.instances[key];
        if state.presence != Presence::Listed {
            return ListingChange::Nothing;
        }
        state.changed_at = offset;
        if let Some(until) = lapse_until.filter(|until| now < *until)
            && !state.listing.leaving
        {
            state.presence = Presence::Lapsing(until);
            return ListingChange::Lapsed;
        }
        state.presence = Presence::Gone;
        ListingChange::Gone
    }

    /// Takes a whole list that ends at `end`: what it does not name is removed.
    pub fn end_whole_list(
        &mut self,
        end: u64,
        is_listed: impl Fn(&str) -> bool,
        lapse_until: Option<ClockTime>,
        now: ClockTime,
    ) -> Vec<CompactString> {
        let absent: Vec<CompactString> = self
            .instances
            .values()
            .filter(|state| state.presence == Presence::Listed)
            .filter(|state| !is_listed(&state.listing.id))
            .map(|state| state.listing.id.clone())
            .collect();
        for id in &absent {
            self.note_removed(end.saturating_sub(1), id, lapse_until, now);
        }
        self.advance(end);
        absent
    }

    /// Takes an entry as a hub passes it on.
    pub fn note_relayed(
        &mut self,
        offset: u64,
        listing: InstanceListing,
        presence: Presence,
        now: ClockTime,
    ) -> ListingChange {
        let id = listing.id.clone();
        let mut change = self.note_listed(offset, listing, now);
        let Some(key) = self.index.find_id(&id) else {
            return change;
        };
        let state = &mut self.instances[key];
        // Only a newer entry brings an instance back; a hub that missed its removal
        // may tell an earlier state under a later offset.
        let is_further = matches!(
            (state.presence, presence),
            (Presence::Listed, Presence::Lapsing(_) | Presence::Gone)
                | (Presence::Lapsing(_), Presence::Gone)
        );
        if offset >= state.changed_at && is_further {
            state.presence = presence;
            state.changed_at = offset;
            change = if presence == Presence::Gone {
                ListingChange::Gone
            } else {
                ListingChange::Lapsed
            };
        }
        change
    }

    /// Instances whose entry changed at `offset` or later, the earliest first.
    pub fn changed_since(&self, offset: u64) -> Vec<&InstanceState> {
        let mut changed: Vec<&InstanceState> = self
            .instances
            .values()
            .filter(|state| state.changed_at >= offset)
            .collect();
        changed.sort_unstable_by_key(|state| state.changed_at);
        changed
    }

    /// Notes the instance's own word that it is not the one listed, or that it leaves.
    pub fn note_own_word(&mut self, key: InstanceKey) {
        self.instances[key].note_own_word();
    }

    /// Chooses an instance of `service` and counts a request in flight there.
    ///
    /// `draws` are two random numbers from 0 to 1; `tried` is not chosen again.
    /// `may_try` allows to try a suspected instance, because a retry is affordable;
    /// `is_connected` tells whether a connection to an address is at hand.
    #[expect(
        clippy::too_many_arguments,
        reason = "the choice depends on all of them"
    )]
    pub fn choose(
        &mut self,
        service: &str,
        data_centre: &str,
        kind: RepeatKind,
        tried: &[InstanceKey],
        draws: (f64, f64),
        may_try: bool,
        is_connected: impl Fn(SocketAddr) -> bool,
        now: ClockTime,
    ) -> Option<InstanceKey> {
        let candidates = self
            .usable_members(service, now)
            .filter(|(key, _)| !tried.contains(key))
            .map(|(key, state)| InstanceCandidate {
                key,
                state,
                is_connected: is_connected(state.listing.address),
            });
        let choice = InstanceChoice {
            candidates: prefer_rested(candidates.collect(), now),
            data_centre,
            kind,
            mean_latency_ms: self.mean_latency_ms(service, now),
            now,
        };
        let chosen = choice.draw(draws, may_try)?;
        self.instances[chosen].note_sent();
        Some(chosen)
    }

    /// Gives a host up to `most` suspected instances of `data_centre` to try, as its hub.
    ///
    /// Hosts that try at random leave some instances without a request for seconds.
    pub fn give_trials(&mut self, data_centre: &str, most: usize, now: ClockTime) -> Vec<u32> {
        self.instances
            .values_mut()
            .filter(|state| state.listing.data_centre == data_centre && state.is_usable(now))
            .filter(|state| state.faulty(now) >= SUSPECT_BELIEF)
            .filter_map(|state| state.give_trial(now).then_some(state.hash))
            .take(most)
            .collect()
    }

    /// Takes an instance to try from the hub.
    pub fn take_trial(&mut self, hash: u32, now: ClockTime) {
        if let Some(key) = self.find_hash(hash) {
            self.instances[key].take_trial(now);
        }
    }

    /// Ends a request in flight without an outcome.
    pub fn release(&mut self, key: InstanceKey) {
        let state = &mut self.instances[key];
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Notes an outcome seen by this host.
    pub fn observe(
        &mut self,
        key: InstanceKey,
        outcome: AttemptOutcome,
        latency_ms: u64,
        now: ClockTime,
    ) {
        self.instances[key].observe(outcome, latency_ms, now);
    }

    /// Passes an instance over that this host cannot reach, longer each time.
    pub fn note_unreached(&mut self, key: InstanceKey, now: ClockTime) {
        self.instances[key].note_unreached(now);
    }

    /// Milliseconds after which an answer of `service` speaks against its instance.
    pub fn slow_ms(&self, service: &str, objective_ms: u64, now: ClockTime) -> u64 {
        let slow = self.mean_latency_ms(service, now) * SLOW_LATENCIES;
        objective_ms.max(slow as u64)
    }

    /// Passes an instance over for a moment, because it shed a request.
    pub fn note_shed(&mut self, key: InstanceKey, now: ClockTime) {
        self.instances[key].note_shed(now);
    }

    /// Takes the counts since the last call.
    pub fn take_counts(&mut self) -> Vec<(u32, OutcomeCounts)> {
        self.instances
            .values_mut()
            .map(|state| (state.hash, state.take_counts()))
            .filter(|(_, counts)| *counts != OutcomeCounts::default())
            .collect()
    }

    /// Takes counts that other hosts saw, as a hub.
    pub fn observe_counts(&mut self, hash: u32, counts: &OutcomeCounts, now: ClockTime) {
        if let Some(key) = self.find_hash(hash) {
            self.instances[key].observe_counts(counts, now);
        }
    }

    /// Requests in flight from this host, by instance.
    pub fn in_flight(&self) -> Vec<(u32, u32)> {
        self.instances
            .values()
            .filter(|state| state.in_flight > 0)
            .map(|state| (state.hash, state.in_flight))
            .collect()
    }

    /// Takes the requests in flight from all hosts, of which `own` were reported from this one.
    pub fn take_load(&mut self, hash: u32, total: u32, own: u32) {
        if let Some(key) = self.find_hash(hash) {
            let others = total.saturating_sub(own);
            self.instances[key].take_others_in_flight(others);
        }
    }

    /// Requests waiting per slot at the least loaded sound instance of `service`, if any is sound.
    pub fn least_queue(&self, service: &str, now: ClockTime) -> Option<f64> {
        self.usable_members(service, now)
            .filter(|(_, state)| state.is_rested(now) && state.faulty(now) < SUSPECT_BELIEF)
            .map(|(_, state)| state.queue())
            .reduce(f64::min)
    }

    /// Takes what a hub believes; an own failure of late outweighs it.
    pub fn take_told(&mut self, hash: u32, faulty: f64, latency_ms: f64, now: ClockTime) {
        if let Some(key) = self.find_hash(hash) {
            self.instances[key].take_told(faulty, latency_ms, now);
        }
    }

    /// Mean of the smoothed latencies of the usable instances of `service` in milliseconds.
    pub fn mean_latency_ms(&self, service: &str, now: ClockTime) -> f64 {
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

    /// Number of usable instances of `service`.
    pub fn usable_count(&self, service: &str, now: ClockTime) -> usize {
        self.usable_members(service, now).count()
    }

    /// Instances of every service that take requests.
    pub fn usable(&self, now: ClockTime) -> impl Iterator<Item = &InstanceState> {
        self.instances
            .values()
            .filter(move |state| state.is_usable(now))
    }

    /// Instances of `service` that take requests.
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

    fn insert(&mut self, offset: u64, listing: InstanceListing, now: ClockTime) {
        let latency_ms = self.mean_latency_ms(&listing.service, now);
        let state = InstanceState::new(offset, listing, latency_ms, now);
        let key = self.instances.push(state);
        self.index.insert(key, &self.instances[key]);
    }

    /// Ends the membership of an earlier start of an instance.
    fn remove_member(&mut self, key: InstanceKey) {
        let state = &mut self.instances[key];
        state.presence = Presence::Gone;
        state.changed_at = 0;
        self.index.remove_member(key, &state.listing.service);
    }
}
