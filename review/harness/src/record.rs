//! Record of what was sent, answered and run.

use std::cell::RefCell;
use std::path::Path;
use std::time::Instant;

/// Record of a case; lines are sorted by time when it is written.
#[derive(Debug)]
pub struct Record {
    started_at: Instant,
    lines: RefCell<Vec<(Instant, String)>>,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            started_at: Instant::now(),
            lines: RefCell::default(),
        }
    }
}

impl Record {
    /// Adds a line about `at`.
    pub fn add(&self, at: Instant, line: String) {
        self.lines.borrow_mut().push((at, line));
    }

    /// Adds a line about the present, which is printed too.
    pub fn note(&self, line: String) {
        println!("{:9.3} s  {line}", self.seconds(Instant::now()));
        self.add(Instant::now(), line);
    }

    /// Seconds from the start of the case to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Writes all lines to `path`.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.borrow().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:9.3} s  {line}\n", self.seconds(*at)))
            .collect();
        std::fs::write(path, text)
    }
}
