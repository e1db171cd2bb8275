//! Messages of the model.

use crocushoist_coordination::FleetRecord;
use crocushoist_protocol::PullAnswer;
use crocushoist_protocol::PullRequest;
use crocushoist_state::ClockTime;
use crocushoist_state::ShardId;

/// Message between hosts, or between a host and the log.
pub(crate) enum Message {
    Append {
        host: usize,
        record: FleetRecord,
    },
    ReadAnswer {
        host: usize,
        first: u64,
        tail: u64,
        asked_at: ClockTime,
        records: Vec<Vec<u8>>,
    },
    PullAsk {
        from: usize,
        to: usize,
        asked_at: ClockTime,
        request: PullRequest,
    },
    PullTold {
        from: usize,
        asked_from: u64,
        asked_at: ClockTime,
        answer: Box<PullAnswer>,
    },
    DrawAsk {
        from: usize,
        to: usize,
        sent_at: ClockTime,
        shard: ShardId,
    },
    DrawTold {
        from: usize,
        to: usize,
        sent_at: ClockTime,
        shard: ShardId,
        grant: u64,
    },
    Closed {
        to: usize,
        shard: ShardId,
        grant: u64,
        spent: bool,
    },
}

impl Message {
    /// Whether `host` sends or takes it.
    pub(crate) fn involves(&self, host: usize) -> bool {
        match self {
            Message::ReadAnswer { host: reader, .. } => *reader == host,
            Message::PullAsk { from, to, .. }
            | Message::DrawAsk { from, to, .. }
            | Message::DrawTold { from, to, .. } => *from == host || *to == host,
            Message::PullTold { from, .. } => *from == host,
            Message::Closed { to, .. } => *to == host,
            Message::Append { host: writer, .. } => *writer == host,
        }
    }
}
