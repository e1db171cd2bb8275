//! Backoff for drawing tokens from the holders of shares.
//!
//! A holder without a token reports when it will have one, and a holder that
//! could not be reached is not contacted for a short time. Until then requests
//! are refused without sending a draw request, so that a workspace over its
//! limit cannot flood the holders.

use std::collections::HashMap;

use crocushoist_state::ClockTime;
use crocushoist_state::ShardId;
use crocushoist_state::WorkspaceId;

/// Number of entries from which past ones are removed.
const MAX_ENTRIES: usize = 65_536;

/// Shares from which no token is drawn until a given time.
#[derive(Clone, Debug, Default)]
pub struct ShareBackoff {
    until: HashMap<(WorkspaceId, ShardId), ClockTime>,
}

impl ShareBackoff {
    /// Records that no token of the share is to be drawn until `until`.
    pub fn back_off_until(
        &mut self,
        workspace: WorkspaceId,
        shard: ShardId,
        until: ClockTime,
        now: ClockTime,
    ) {
        if self.until.len() >= MAX_ENTRIES {
            self.until.retain(|_, until| *until > now);
        }
        self.until.insert((workspace, shard), until);
    }

    /// Milliseconds until a token of the share may be drawn, `None` if one may be drawn now.
    pub fn remaining_ms(
        &self,
        workspace: WorkspaceId,
        shard: ShardId,
        now: ClockTime,
    ) -> Option<u64> {
        let until = self.until.get(&(workspace, shard))?;
        (*until > now).then(|| until.since(now))
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.until.clear();
    }
}
