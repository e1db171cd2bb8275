//! Ledger of the clients of a host.
//!
//! Memory: each message of a client may have [`OWN_BYTES`] that nobody counts,
//! so ordinary callers never compete for memory. What is beyond comes from a
//! pool that all clients share. While the pool is short, the client that has
//! cost most of it gives way, measured in bytes times milliseconds, so an
//! honest upload, which is soon over, comes after one that only waits. Nobody
//! gives way in its first moments, and a client whose claim cannot be met
//! then is refused itself.
//!
//! Requests get at most half of the pool. Otherwise requests that wait for the
//! memory of their responses could hold all of it, and none would ever end.
//!
//! Places: a listener has a number of places. While all are taken, the client
//! that has least to lose gives way to a new one, in the order of
//! [`ClientStage::place_order`] and then the longest in its stage. Clients
//! whose requests are served keep their places.
//!
//! Invariants: what is held in total never exceeds the pool. A client that was
//! told to give way counts until it is removed, so a listener has at most
//! [`MAX_LEAVING`] connections more than places.

use cranelift_entity::PrimaryMap;

use crocushoist_state::ClockTime;

use crate::ClientKey;
use crate::ClientStage;
use crate::ListenerKey;
use crate::MemoryUse;

/// Bytes of a message in either direction that are not counted.
pub const OWN_BYTES: u64 = 16 * 1024;

/// Milliseconds in a stage before a client with a request gives way.
const MIN_STAGE_MS: u64 = 1_000;

/// Maximum number of clients of a listener that were told to give way and are still connected.
const MAX_LEAVING: usize = 32;

/// Answer to a claim of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryClaim {
    /// The client holds the bytes now.
    Granted,
    /// The named client must give way first.
    After(ClientKey),
    /// Clients that were told to give way still hold the memory.
    Wait,
    /// The pool has no room for the client.
    Refused,
}

/// Answer to a claim of a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceClaim {
    /// The client has a place; the other client, if any, must give way.
    Granted(ClientKey, Option<ClientKey>),
    /// No client gives way.
    Refused,
}

/// Ledger of the clients of a host.
#[derive(Debug)]
pub struct ClientLedger {
    pool_bytes: u64,
    held_bytes: u64,
    /// Part of `held_bytes` that is held for requests.
    request_bytes: u64,
    listeners: PrimaryMap<ListenerKey, ListenerPlaces>,
    clients: PrimaryMap<ClientKey, Option<ClientEntry>>,
    free_keys: Vec<ClientKey>,
}

#[derive(Clone, Copy, Debug)]
struct ListenerPlaces {
    places: usize,
    connected: usize,
}

#[derive(Clone, Copy, Debug)]
struct ClientEntry {
    listener: ListenerKey,
    stage: ClientStage,
    stage_since: ClockTime,
    /// Part of `held_bytes` that is held for requests.
    request_bytes: u64,
    /// Stage in which the client was told to give way.
    left_stage: ClientStage,
    held_bytes: u64,
    /// Bytes times milliseconds until `cost_at`, since the client holds anything.
    cost: u64,
    cost_at: ClockTime,
}

impl ClientLedger {
    /// Ledger without clients, whose pool has `pool_bytes`.
    pub fn new(pool_bytes: u64) -> Self {
        ClientLedger {
            pool_bytes,
            held_bytes: 0,
            request_bytes: 0,
            listeners: PrimaryMap::new(),
            clients: PrimaryMap::new(),
            free_keys: Vec::new(),
        }
    }

    /// Adds a listener with `places`.
    pub fn add_listener(&mut self, places: usize) -> ListenerKey {
        self.listeners.push(ListenerPlaces {
            places,
            connected: 0,
        })
    }

    /// Adds a client that has connected at `listener`.
    pub fn connect(&mut self, listener: ListenerKey, now: ClockTime) -> PlaceClaim {
        let ListenerPlaces { places, connected } = self.listeners[listener];
        let mut gives_way = None;
        if connected >= places {
            if connected >= places.saturating_add(MAX_LEAVING) {
                return PlaceClaim::Refused;
            }
            gives_way = self.first_to_leave(listener, now);
            let Some(leaving) = gives_way else {
                return PlaceClaim::Refused;
            };
            self.leave(leaving);
        }
        self.listeners[listener].connected += 1;
        let entry = Some(ClientEntry {
            listener,
            stage: ClientStage::Silent,
            stage_since: now,
            left_stage: ClientStage::Silent,
            held_bytes: 0,
            request_bytes: 0,
            cost: 0,
            cost_at: now,
        });
        let key = match self.free_keys.pop() {
            Some(key) => {
                self.clients[key] = entry;
                key
            }
            None => self.clients.push(entry),
        };
        PlaceClaim::Granted(key, gives_way)
    }

    /// Removes a client, which holds nothing any more.
    pub fn remove(&mut self, key: ClientKey) {
        let Some(entry) = self.clients[key].take() else {
            return;
        };
        self.held_bytes -= entry.held_bytes;
        self.request_bytes -= entry.request_bytes;
        self.listeners[entry.listener].connected -= 1;
        self.free_keys.push(key);
    }

    /// Stage of a client.
    pub fn stage(&self, key: ClientKey) -> ClientStage {
        self.clients[key].map_or(ClientStage::Leaving, |entry| entry.stage)
    }

    /// Records that a client is in another stage now; one that was told to give way stays so.
    pub fn set_stage(&mut self, key: ClientKey, stage: ClientStage, now: ClockTime) {
        if let Some(entry) = &mut self.clients[key]
            && entry.stage != ClientStage::Leaving
        {
            entry.stage = stage;
            entry.stage_since = now;
        }
    }

    /// Records that a client must give way.
    pub fn leave(&mut self, key: ClientKey) {
        if let Some(entry) = &mut self.clients[key]
            && entry.stage != ClientStage::Leaving
        {
            entry.left_stage = entry.stage;
            entry.stage = ClientStage::Leaving;
        }
    }

    /// Records that a client that was told to give way goes on, since its next request has come.
    pub fn stay(&mut self, key: ClientKey, now: ClockTime) {
        if let Some(entry) = &mut self.clients[key] {
            entry.stage = ClientStage::Head;
            entry.stage_since = now;
        }
    }

    /// Stage in which a client was told to give way.
    pub fn left_stage(&self, key: ClientKey) -> ClientStage {
        self.clients[key].map_or(ClientStage::Leaving, |entry| entry.left_stage)
    }

    /// Claims `bytes` of the pool for a client.
    pub fn claim(
        &mut self,
        key: ClientKey,
        usage: MemoryUse,
        bytes: u64,
        now: ClockTime,
    ) -> MemoryClaim {
        let max_request_bytes = self.pool_bytes / 2;
        let (is_possible, has_part) = match usage {
            MemoryUse::Request => (
                bytes <= max_request_bytes,
                self.request_bytes + bytes <= max_request_bytes,
            ),
            MemoryUse::Response => (bytes <= self.pool_bytes, true),
        };
        if has_part && self.held_bytes + bytes <= self.pool_bytes {
            self.hold(key, usage, bytes, now);
            return MemoryClaim::Granted;
        }
        if !is_possible {
            return MemoryClaim::Refused;
        }
        let freed_bytes = |entry: &ClientEntry| {
            if has_part {
                entry.held_bytes
            } else {
                entry.request_bytes
            }
        };
        let missing_bytes = if has_part {
            self.held_bytes + bytes - self.pool_bytes
        } else {
            self.request_bytes + bytes - max_request_bytes
        };
        if self.coming_bytes(freed_bytes) >= missing_bytes {
            return MemoryClaim::Wait;
        }
        let own_cost = self.clients[key].map_or(0, |entry| entry.cost(now));
        match self.most_costly(freed_bytes, now) {
            Some((leaving, cost)) if leaving != key && cost > own_cost => {
                self.leave(leaving);
                MemoryClaim::After(leaving)
            }
            _ => MemoryClaim::Refused,
        }
    }

    /// Gives back `bytes` that a client held.
    pub fn give_back(&mut self, key: ClientKey, usage: MemoryUse, bytes: u64, now: ClockTime) {
        let Some(entry) = &mut self.clients[key] else {
            return;
        };
        entry.hold(entry.held_bytes - bytes, now);
        self.held_bytes -= bytes;
        if usage == MemoryUse::Request {
            entry.request_bytes -= bytes;
            self.request_bytes -= bytes;
        }
    }

    /// Bytes of the pool that are held.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Clients that are connected, at all listeners.
    pub fn connected(&self) -> usize {
        self.listeners
            .values()
            .map(|listener| listener.connected)
            .sum()
    }

    /// Clients of `listener` that have been in `stage` for longer than `max_ms`.
    pub fn overdue(
        &self,
        listener: ListenerKey,
        stage: ClientStage,
        max_ms: u64,
        now: ClockTime,
    ) -> Vec<ClientKey> {
        let entries = self.entries();
        let overdue = entries.filter(|(_, entry)| {
            entry.listener == listener
                && entry.stage == stage
                && now.since(entry.stage_since) > max_ms
        });
        overdue.map(|(key, _)| key).collect()
    }

    fn entries(&self) -> impl Iterator<Item = (ClientKey, &ClientEntry)> {
        let clients = self.clients.iter();
        clients.filter_map(|(key, entry)| Some((key, entry.as_ref()?)))
    }

    fn hold(&mut self, key: ClientKey, usage: MemoryUse, bytes: u64, now: ClockTime) {
        let Some(entry) = &mut self.clients[key] else {
            return;
        };
        entry.hold(entry.held_bytes + bytes, now);
        self.held_bytes += bytes;
        if usage == MemoryUse::Request {
            entry.request_bytes += bytes;
            self.request_bytes += bytes;
        }
    }

    /// Client of `listener` that gives up its place first.
    fn first_to_leave(&self, listener: ListenerKey, now: ClockTime) -> Option<ClientKey> {
        let candidates = self.entries().filter_map(|(key, entry)| {
            let order = entry.stage.place_order()?;
            let is_protected =
                entry.stage.has_request() && now.since(entry.stage_since) < MIN_STAGE_MS;
            let may_leave = entry.listener == listener && !is_protected;
            may_leave.then_some((order, entry.stage_since, key))
        });
        candidates.min().map(|(_, _, key)| key)
    }

    /// Client that has cost most among those that may lose their memory and free any, with that cost.
    fn most_costly(
        &self,
        freed_bytes: impl Fn(&ClientEntry) -> u64,
        now: ClockTime,
    ) -> Option<(ClientKey, u64)> {
        let candidates = self.entries().filter(|(_, entry)| {
            freed_bytes(entry) > 0
                && entry.stage.may_lose_memory()
                && now.since(entry.stage_since) >= MIN_STAGE_MS
        });
        candidates
            .map(|(key, entry)| (key, entry.cost(now)))
            .max_by_key(|(_, cost)| *cost)
    }

    /// Bytes that clients which were told to give way still hold.
    fn coming_bytes(&self, freed_bytes: impl Fn(&ClientEntry) -> u64) -> u64 {
        let entries = self.entries();
        let leaving = entries.filter(|(_, entry)| entry.stage == ClientStage::Leaving);
        leaving.map(|(_, entry)| freed_bytes(entry)).sum()
    }
}

impl ClientEntry {
    fn cost(&self, now: ClockTime) -> u64 {
        let recent = self.held_bytes.saturating_mul(now.since(self.cost_at));
        self.cost.saturating_add(recent)
    }

    fn hold(&mut self, bytes: u64, now: ClockTime) {
        self.cost = if bytes == 0 { 0 } else { self.cost(now) };
        self.cost_at = now;
        self.held_bytes = bytes;
    }
}
