//! The rule on retries, for every window of a run.

const WINDOW_MS: u64 = 10_000;
const WINDOW_STEP_MS: u64 = 100;

/// Requests of callers and arrivals beyond the first of each, by steps.
pub(crate) struct ArrivalLog {
    step_ms: u64,
    lead_ms: u64,
    ratio: f64,
    slack: f64,
    requests: Vec<u32>,
    repeats: Vec<u32>,
}

impl ArrivalLog {
    pub(crate) fn new(step_ms: u64, lead_ms: u64, ratio: f64, slack: f64) -> Self {
        ArrivalLog {
            step_ms,
            lead_ms,
            ratio,
            slack,
            requests: Vec::new(),
            repeats: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, requests: u32, repeats: u32) {
        self.requests.push(requests);
        self.repeats.push(repeats);
    }

    /// Window that is furthest beyond the budget: repeats beyond it (negative inside), and where
    /// the window begins in milliseconds from the start of the traffic.
    ///
    /// The requests that count are those of the window, of the one before or of the one half a
    /// window before, whichever has most. Windows may begin before the traffic.
    pub(crate) fn worst_window(&self) -> (f64, i64) {
        let sums = |counts: &[u32]| -> Vec<u32> {
            let mut sum = 0;
            let first = std::iter::once(0);
            first
                .chain(counts.iter().map(|count| {
                    sum += count;
                    sum
                }))
                .collect()
        };
        let (requests, repeats) = (sums(&self.requests), sums(&self.repeats));
        let last = self.requests.len() as i64;
        let between = |sums: &[u32], from: i64, to: i64| {
            let at = |step: i64| sums[step.clamp(0, last) as usize];
            at(to) - at(from)
        };
        let window = (WINDOW_MS / self.step_ms) as i64;
        let mut worst = (f64::NEG_INFINITY, 0);
        for from in (-window..last).step_by((WINDOW_STEP_MS / self.step_ms) as usize) {
            let counted = [0, window / 2, window]
                .map(|before| between(&requests, from - before, from - before + window));
            let most = counted.into_iter().max().unwrap_or_default();
            let allowed = self.ratio * f64::from(most) + self.slack;
            let excess = f64::from(between(&repeats, from, from + window)) - allowed;
            if excess > worst.0 {
                let from_ms = from * self.step_ms as i64 - self.lead_ms as i64;
                worst = (excess, from_ms);
            }
        }
        worst
    }
}
