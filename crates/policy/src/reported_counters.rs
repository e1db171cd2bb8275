//! Counters as a host or another hub last told them.
//!
//! Counters only grow, so what is new is the difference to what was told before.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

use crate::WorkspaceUse;

/// Who tells counters, and which start of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TellerId {
    /// Where it sends datagrams from.
    pub peers: SocketAddr,
    /// Number that tells its starts apart.
    pub incarnation: u64,
    /// Whether another hub may have counted what it did before.
    pub is_counted: bool,
}

/// Counters as a teller last told them.
#[derive(Clone, Debug)]
pub(crate) struct ToldCounters {
    /// Start of the teller.
    pub(crate) incarnation: u64,
    /// When it was last heard.
    pub(crate) heard_at: ClockTime,
    /// Requests admitted and refused, by workspace.
    pub(crate) totals: HashMap<u32, (u32, u32)>,
    /// Hosts that take callers.
    pub(crate) hosts: Vec<SocketAddr>,
    /// Data centre that a hub speaks for.
    pub(crate) data_centre: CompactString,
    /// Requests in flight, by instance.
    pub(crate) in_flight: Vec<(u32, u32)>,
    /// Hosts that the teller speaks for.
    pub(crate) reporters: u32,
}

/// Entry of `teller`; one that is new here, or comes back, starts at what it tells now,
/// unless nobody counted that yet.
///
/// A teller that was silent for `silent_ms` told another hub meanwhile.
pub(crate) fn told_by<'a>(
    tellers: &'a mut HashMap<SocketAddr, ToldCounters>,
    teller: TellerId,
    uses: &[WorkspaceUse],
    silent_ms: u64,
    now: ClockTime,
) -> &'a mut ToldCounters {
    let baseline = || {
        uses.iter()
            .filter(|_| teller.is_counted)
            .map(|used| (used.workspace, (used.admitted, used.refused)))
            .collect()
    };
    let told = tellers.entry(teller.peers).or_insert_with(|| ToldCounters {
        incarnation: teller.incarnation,
        heard_at: now,
        totals: baseline(),
        hosts: Vec::new(),
        data_centre: CompactString::default(),
        in_flight: Vec::new(),
        reporters: 1,
    });
    if told.incarnation != teller.incarnation {
        told.incarnation = teller.incarnation;
        told.totals.clear();
    } else if now.since(told.heard_at) > silent_ms {
        told.totals = baseline();
    }
    told.heard_at = now;
    told
}

/// What grew since the teller last told it.
pub(crate) fn growth(told: &mut ToldCounters, uses: &[WorkspaceUse]) -> Vec<WorkspaceUse> {
    uses.iter()
        .map(|used| {
            let total = told.totals.entry(used.workspace).or_default();
            let grown = WorkspaceUse {
                workspace: used.workspace,
                admitted: grown_by(total.0, used.admitted),
                refused: grown_by(total.1, used.refused),
                in_window: None,
            };
            *total = (used.admitted, used.refused);
            grown
        })
        .collect()
}

/// Growth of a counter; one that fell, by an admission taken back, did not grow.
fn grown_by(before: u32, after: u32) -> u32 {
    let grown = after.wrapping_sub(before);
    if grown > u32::MAX / 2 { 0 } else { grown }
}
