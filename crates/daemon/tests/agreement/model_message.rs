//! Messages between the parts of the model.

use crocushoist_coordination::LogRecord;
use crocushoist_protocol::PullRequest;
use crocushoist_protocol::PullResponse;
use crocushoist_state::ClockTime;
use crocushoist_state::ShardId;

/// Message between hosts, or between a host and the log.
pub(crate) enum Message {
    Append {
        host: usize,
        record: LogRecord,
    },
    ReadReply {
        host: usize,
        first: u64,
        tail: u64,
        sent_at: ClockTime,
        records: Vec<Vec<u8>>,
    },
    PullCall {
        from: usize,
        to: usize,
        sent_at: ClockTime,
        request: PullRequest,
    },
    PullReply {
        from: usize,
        requested_offset: u64,
        sent_at: ClockTime,
        response: Box<PullResponse>,
    },
    DrawCall {
        from: usize,
        to: usize,
        sent_at: ClockTime,
        shard: ShardId,
    },
    DrawReply {
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
    /// Whether `host` sends or receives the message.
    pub(crate) fn involves(&self, host: usize) -> bool {
        match self {
            Message::ReadReply { host: reader, .. } => *reader == host,
            Message::PullCall { from, to, .. }
            | Message::DrawCall { from, to, .. }
            | Message::DrawReply { from, to, .. } => *from == host || *to == host,
            Message::PullReply { from, .. } => *from == host,
            Message::Closed { to, .. } => *to == host,
            Message::Append { host: writer, .. } => *writer == host,
        }
    }
}
