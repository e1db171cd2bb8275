//! Cache of the newest encoded records, from which peers pull.

use std::collections::VecDeque;

/// Number of records above which the oldest are dropped.
const MAX_RECORDS: usize = 4_096;

/// Total size in bytes above which the oldest records are dropped.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// The newest encoded records, without gaps.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    records: VecDeque<Vec<u8>>,
    first_offset: u64,
    total_bytes: usize,
}

impl RecordCache {
    /// Empty cache whose first record will have the offset `next_offset`.
    pub fn starting_at(next_offset: u64) -> Self {
        RecordCache {
            records: VecDeque::new(),
            first_offset: next_offset,
            total_bytes: 0,
        }
    }

    /// Appends a record and drops the oldest ones beyond the size limits.
    pub fn push(&mut self, record: Vec<u8>) {
        self.total_bytes += record.len();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || self.total_bytes > MAX_BYTES {
            let Some(dropped) = self.records.pop_front() else {
                return;
            };
            self.total_bytes -= dropped.len();
            self.first_offset += 1;
        }
    }

    /// Records from `offset` on, up to `max_bytes` in total.
    ///
    /// Returns `None` if the record at `offset` is older than the cache.
    pub fn read(&self, offset: u64, max_bytes: usize) -> Option<Vec<Vec<u8>>> {
        let start = offset.checked_sub(self.first_offset)? as usize;
        let mut remaining_bytes = max_bytes;
        let records = self
            .records
            .iter()
            .skip(start)
            .take_while(|record| {
                let fits = record.len() <= remaining_bytes;
                remaining_bytes = remaining_bytes.saturating_sub(record.len());
                fits
            })
            .cloned()
            .collect();
        Some(records)
    }
}
