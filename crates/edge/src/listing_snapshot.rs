//! Whole instance list as one host sends it to another.
//!
//! Datagrams relay changes. A host whose list is too old for that fetches the
//! whole one from its hub, and a hub that cannot read the store fetches it from
//! a host that can. The list also has the instances that left last, because a
//! store that came back from a copy may still list them.

use std::collections::HashSet;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use slog::info;

use crocushoist_policy::InstanceListing;
use crocushoist_policy::ListingChange;
use crocushoist_policy::Presence;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::listing_reader::RELISTING_WINDOW_MS;
use crate::listing_reader::log_change;
use crate::peer_message::WireListing;
use crate::peer_message::WireOffset;

/// Maximum number of instances in a list that have left.
const MAX_DEPARTED_ENTRIES: usize = 64;

/// Whole instance list of a host.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ListingSnapshot {
    /// Offset up to which the list has every change.
    end_offset: WireOffset,
    /// Milliseconds since the host knew every change of the list.
    age: Option<u64>,
    /// Instances that are listed or lapsing, and those that left last.
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
        let departed = if table.next_offset().era.is_known() {
            table.departed()
        } else {
            Vec::new()
        };
        let entries = present.chain(departed.into_iter().take(MAX_DEPARTED_ENTRIES));
        Some(ListingSnapshot {
            end_offset: table.next_offset().into(),
            age,
            entries: entries.map(|state| WireListing::new(state, now)).collect(),
        })
    }

    /// Applies the list, which was requested at `requested_at`, or only the departures in it if
    /// this host's own list is newer.
    pub(crate) fn apply(self, context: &EdgeContext, requested_at: ClockTime, now: ClockTime) {
        let end_offset = StoreOffset::from(self.end_offset);
        context.learn_era(end_offset.era, now);
        let own_offset = context.instances.borrow().next_offset();
        if own_offset.supersedes(end_offset) {
            return self.apply_departures(context, now);
        }
        // The peer may not know of instances that the store lost and that will write again.
        let is_later_era = own_offset.era.is_known() && end_offset.era > own_offset.era;
        let lapse_until = is_later_era.then(|| now.plus(RELISTING_WINDOW_MS));
        let mut joined = 0;
        let mut ids: HashSet<CompactString> = HashSet::with_capacity(self.entries.len());
        for entry in self.entries {
            let offset = StoreOffset::from(entry.changed_at);
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
        let absent = {
            let mut table = context.instances.borrow_mut();
            table.record_merged(end_offset.era);
            table.finish_full_list(end_offset, |id| ids.contains(id), lapse_until, now)
        };
        info!(context.logger, "instance list fetched"; "instances" => ids.len(),
            "joined" => joined, "age_ms" => self.age, "offset" => %end_offset);
        for id in absent {
            info!(context.logger, "instance left"; "instance" => id.as_str(),
                "cause" => "not in a peer's full list", "offset" => %end_offset);
        }
        if let Some(age) = self.age {
            context.record_listing_sync(requested_at.minus(age));
        }
    }

    /// Applies the departures in a list that is older than that of this host.
    fn apply_departures(self, context: &EdgeContext, now: ClockTime) {
        let mut table = context.instances.borrow_mut();
        let offset = table.next_offset();
        for entry in self.entries {
            let presence = entry.presence(now);
            let listing: InstanceListing = entry.into();
            let id = listing.id.clone();
            let change = table.apply_departure(listing, presence, now);
            log_change(context, &id, change, offset);
        }
        table.record_merged(offset.era);
    }
}
