//! Evidence of the last seconds, in cells that expire one by one.

use crate::ClockTime;
use crate::InstanceEvidence;

const CELL_MS: u64 = 250;
const CELLS: usize = 16;

/// Evidence of the last four seconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceWindow {
    cells: [(u64, InstanceEvidence); CELLS],
}

impl Default for EvidenceWindow {
    fn default() -> Self {
        EvidenceWindow {
            cells: [(0, InstanceEvidence::default()); CELLS],
        }
    }
}

impl EvidenceWindow {
    /// Adds evidence that arrived at `now`.
    pub fn add(&mut self, evidence: &InstanceEvidence, now: ClockTime) {
        let number = now.as_millis() / CELL_MS;
        let cell = &mut self.cells[number as usize % CELLS];
        if cell.0 != number {
            *cell = (number, InstanceEvidence::default());
        }
        cell.1.add(evidence);
    }

    /// Sum of the evidence of the last `millis` milliseconds, at most four seconds.
    pub fn sum(&self, now: ClockTime, millis: u64) -> InstanceEvidence {
        let newest = now.as_millis() / CELL_MS;
        let oldest = newest.saturating_sub(millis.div_ceil(CELL_MS).min(CELLS as u64 - 1));
        let mut sum = InstanceEvidence::default();
        for (number, evidence) in &self.cells {
            if (oldest..=newest).contains(number) {
                sum.add(evidence);
            }
        }
        sum
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = EvidenceWindow::default();
    }
}
