//! Whole instance list as one host sends it to another.
//!
//! Datagrams relay changes. A host whose list is too old for that fetches the
//! whole one from its hub, and a hub that cannot read the store fetches it from
//! a host that can.

use std::collections::HashSet;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use slog::info;

use crocushoist_policy::InstanceListing;
use crocushoist_policy::ListingChange;
use crocushoist_policy::Presence;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::listing_reader::log_change;
use crate::peer_message::WireListing;

/// Whole instance list of a host.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ListingSnapshot {
    /// Offset up to which the list has every change.
    end_offset: u64,
    /// Milliseconds since the host knew every change of the list.
    age: Option<u64>,
    /// Instances that are listed or lapsing.
    entries: Vec<WireListing>,
}

impl ListingSnapshot {
    /// List of this host; `None` before it has one.
    pub(crate) fn of(context: &EdgeContext, now: ClockTime) -> Option<Self> {
        let age = Some(context.listing_age(now)?);
        let table = context.instances.borrow();
        let present = table
            .iter()
            .map(|(_, state)| state)
            .filter(|state| state.presence != Presence::Gone);
        Some(ListingSnapshot {
            end_offset: table.next_offset(),
            age,
            entries: present.map(|state| WireListing::new(state, now)).collect(),
        })
    }

    /// Applies the list, which was requested at `requested_at`, unless this host knows later
    /// entries.
    pub(crate) fn apply(self, context: &EdgeContext, requested_at: ClockTime, now: ClockTime) {
        if self.end_offset < context.instances.borrow().next_offset() {
            return;
        }
        let mut joined = 0;
        let mut ids: HashSet<CompactString> = HashSet::with_capacity(self.entries.len());
        for entry in self.entries {
            let offset = entry.changed_at;
            let presence = entry.presence(now);
            let listing: InstanceListing = entry.into();
            let id = listing.id.clone();
            let mut table = context.instances.borrow_mut();
            let change = table.apply_relayed(offset, listing, presence, now);
            drop(table);
            if change == ListingChange::Joined {
                joined += 1;
            } else {
                log_change(context, &id, change, offset);
            }
            ids.insert(id);
        }
        let absent = context.instances.borrow_mut().finish_full_list(
            self.end_offset,
            |id| ids.contains(id),
            None,
            now,
        );
        info!(context.logger, "instance list fetched"; "instances" => ids.len(),
            "joined" => joined, "age_ms" => self.age, "offset" => self.end_offset);
        for id in absent {
            info!(context.logger, "instance left"; "instance" => id.as_str(),
                "cause" => "not in a peer's full list", "offset" => self.end_offset);
        }
        if let Some(age) = self.age {
            context.record_listing_sync(requested_at.minus(age));
        }
    }
}
