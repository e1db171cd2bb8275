//! Report of a trial: measured figures, broken promises and missed targets.
//!
//! A broken promise is a fault of the fleet. A missed target is a time or share
//! that a busy machine can cause, so it fails a trial only on request.

use serde::Serialize;

use crocushoist_protocol::StatusReport;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrialFigure {
    /// Name.
    pub name: String,
    /// Value in `unit`.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
}

/// Report of one trial.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TrialReport {
    /// Figures in the order in which they were measured.
    pub figures: Vec<TrialFigure>,
    /// Broken promises.
    pub broken: Vec<String>,
    /// Missed targets, which a busy machine can cause.
    pub missed: Vec<String>,
}

impl TrialReport {
    /// Adds a figure.
    pub fn add_figure(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.figures.push(TrialFigure {
            name: name.into(),
            value,
            unit,
        });
    }

    /// Records `promise` as broken unless `holds`.
    pub fn require(&mut self, holds: bool, promise: impl Into<String>) {
        if !holds {
            self.broken.push(promise.into());
        }
    }

    /// Records `target` as missed unless `holds`.
    pub fn check_target(&mut self, holds: bool, target: impl Into<String>) {
        if !holds {
            self.missed.push(target.into());
        }
    }

    /// Adds the rate of control traffic and the processor use of the hosts between two
    /// status reports.
    ///
    /// Hosts that are not in both lists are left out. Names of the figures contain `phase`.
    pub fn add_host_costs(&mut self, phase: &str, before: &[StatusReport], after: &[StatusReport]) {
        let mut bytes_per_s = Vec::new();
        let mut cpu_percent = Vec::new();
        for status in after {
            let earlier = before
                .iter()
                .find(|earlier| earlier.host.incarnation == status.host.incarnation);
            let Some(earlier) = earlier else {
                continue;
            };
            let elapsed_ms = (status.uptime_ms - earlier.uptime_ms).max(1) as f64;
            let control_bytes_moved = (status.control_bytes - earlier.control_bytes) as f64;
            bytes_per_s.push(control_bytes_moved * MILLIS_PER_SECOND / elapsed_ms);
            cpu_percent.push(100.0 * (status.cpu_ms - earlier.cpu_ms) as f64 / elapsed_ms);
        }
        for (name, values, unit) in [
            ("control", bytes_per_s, "B/s"),
            ("cpu", cpu_percent, "% of a core"),
        ] {
            let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
            let worst = values.into_iter().fold(0.0, f64::max);
            self.add_figure(format!("{name}_{phase}_mean_host"), mean, unit);
            self.add_figure(format!("{name}_{phase}_worst_host"), worst, unit);
        }
    }

    /// Value of the figure `name`, if it was added.
    pub fn value(&self, name: &str) -> Option<f64> {
        let figure = self.figures.iter().find(|figure| figure.name == name);
        figure.map(|figure| figure.value)
    }

    /// Prints the report to standard output as one JSON object, or as one line per entry.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
            return;
        }
        for figure in &self.figures {
            println!("{} {:.3} {}", figure.name, figure.value, figure.unit);
        }
        for promise in &self.broken {
            println!("BROKEN {promise}");
        }
        for target in &self.missed {
            println!("MISSED {target}");
        }
    }
}
