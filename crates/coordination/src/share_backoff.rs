//! Shares that need not be asked for a while.
//!
//! A holder that had no token says when it will have one; a holder that could
//! not be reached is left alone for a moment. Until then a refusal costs no
//! message, so that a noisy workspace cannot flood the holders.

use std::collections::HashMap;

use crocushoist_state::ClockTime;
use crocushoist_state::ShardId;
use crocushoist_state::WorkspaceId;

const MAX_ENTRIES: usize = 65_536;

/// Shares that need not be asked for a while.
#[derive(Clone, Debug, Default)]
pub struct DryShares {
    until: HashMap<(WorkspaceId, ShardId), ClockTime>,
}

impl DryShares {
    /// Notes that the share has no token until `until`.
    pub fn note(
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

    /// Milliseconds for which the share need not be asked, `None` if it may be asked now.
    pub fn wait(&self, workspace: WorkspaceId, shard: ShardId, now: ClockTime) -> Option<u64> {
        let until = self.until.get(&(workspace, shard))?;
        (*until > now).then(|| until.since(now))
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.until.clear();
    }
}
