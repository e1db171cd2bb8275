//! Instances of one service, shared by the tests of instance selection.

use std::net::SocketAddr;

use crocushoist_policy::InstanceListing;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

pub(crate) const SERVICE: &str = "ledger";
pub(crate) const DATA_CENTRE: &str = "north";
pub(crate) const SLOTS: u32 = 3;

/// Boot clock in milliseconds at the start of a test.
pub(crate) const BOOT_MS: u64 = 100_000;

/// Table of `count` instances that were just listed; their keys are numbered from 0.
pub(crate) fn new_table(count: u64, now: ClockTime) -> InstanceTable {
    let mut table = InstanceTable::default();
    for index in 0..count {
        let listing = InstanceListing {
            id: format!("i-{index}").into(),
            started_at_unix_ms: 1,
            seq: 1,
            service: SERVICE.into(),
            address: SocketAddr::from(([10, 0, 0, index as u8], 80)),
            data_centre: DATA_CENTRE.into(),
            slots: SLOTS,
            leaving: false,
            warm_up_ms: 0,
        };
        table.apply_listing(StoreOffset::new(StoreEra::default(), index), listing, now);
    }
    table
}
