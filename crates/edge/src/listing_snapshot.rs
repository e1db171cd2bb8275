//! Whole instance list as one host sends it to another.
//!
//! Datagrams relay changes. A host whose list is too old for that fetches the
//! whole one from its hub, and a hub that cannot read the store fetches it from
//! a host that can. The list also has the instances that left last, because a
//! store that came back from a copy may still list them.

use serde::Deserialize;
use serde::Serialize;
use slog::info;

use crocushoist_policy::ListingChange;
use crocushoist_policy::Presence;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::listing_reader::RELISTING_WINDOW_MS;
use crate::listing_reader::log_change;
use crate::listing_reader::skips_entry;
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
        let entries = self.entries.into_iter().map(|entry| entry.relayed(now));
        // A host of an earlier build may have entries that this one skips.
        let entries: Vec<_> = entries
            .filter(|entry| !skips_entry(context, &entry.listing, entry.changed_offset))
            .collect();
        let instances = entries.len();
        let (is_whole, changes) = {
            let mut table = context.instances.borrow_mut();
            table.apply_full_list(end_offset, entries, RELISTING_WINDOW_MS, now)
        };
        let joined = |change: &ListingChange| *change == ListingChange::Joined;
        info!(context.logger, "instance list fetched"; "instances" => instances,
            "joined" => changes.iter().filter(|(_, change)| joined(change)).count(),
            "age_ms" => self.age, "offset" => %end_offset, "is_newer" => is_whole);
        for (id, change) in changes.iter().filter(|(_, change)| !joined(change)) {
            log_change(context, id, *change, end_offset);
        }
        if is_whole && let Some(age) = self.age {
            context.record_listing_sync(requested_at.minus(age));
        }
    }
}
