//! The newest encoded records, kept for peers that pull them.

use std::collections::VecDeque;

const MAX_RECORDS: usize = 4_096;
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// The newest encoded records.
#[derive(Clone, Debug, Default)]
pub struct RecordTail {
    records: VecDeque<Vec<u8>>,
    first_offset: u64,
    bytes: usize,
}

impl RecordTail {
    /// Empty tail that continues at `next_offset`.
    pub fn starting_at(next_offset: u64) -> Self {
        RecordTail {
            records: VecDeque::new(),
            first_offset: next_offset,
            bytes: 0,
        }
    }

    /// Adds the record after the newest one.
    pub fn push(&mut self, record: Vec<u8>) {
        self.bytes += record.len();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(dropped) = self.records.pop_front() else {
                return;
            };
            self.bytes -= dropped.len();
            self.first_offset += 1;
        }
    }

    /// Up to `max_bytes` of records from `offset` on, `None` if they are no longer kept.
    pub fn read(&self, offset: u64, max_bytes: usize) -> Option<Vec<Vec<u8>>> {
        let start = offset.checked_sub(self.first_offset)? as usize;
        let mut left = max_bytes;
        let records = self
            .records
            .iter()
            .skip(start)
            .take_while(|record| {
                let fits = record.len() <= left;
                left = left.saturating_sub(record.len());
                fits
            })
            .cloned()
            .collect();
        Some(records)
    }
}
