//! Puts what the logs of several hosts tell about one request in order.
//!
//! Beside the lines of the request itself: what the same logs say, in the
//! seconds before its end, of the instances that it was sent to, of its
//! workspace's limit, and of the hosts that took it.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use serde_json::Map;
use serde_json::Value;

use crate::tool_error::ToolError;

/// Time before the request's end in which other lines matter: a window of limits and some.
const BEFORE: Duration = Duration::from_secs(8);

/// Other requests at the same instances that are shown at most.
const MAX_OTHERS: usize = 20;

/// Lines that tell what a host believed of the fleet.
const HOST_LINES: [&str; 9] = [
    "started",
    "stopping",
    "hub chosen",
    "hub passed over",
    "store lost",
    "store regained",
    "registrations not read",
    "configuration in force",
    "configuration unreadable",
];

/// Fields that are told before the others, or said by their place.
const HEAD_FIELDS: [&str; 4] = ["ts", "host", "msg", "level"];

/// A line of a log.
struct LogLine {
    at: SystemTime,
    fields: Map<String, Value>,
}

/// What the request touched.
#[derive(Default)]
struct RequestTouch {
    hosts: BTreeSet<String>,
    instances: BTreeSet<String>,
    workspaces: BTreeSet<String>,
}

/// Explains the request `id` from the log files at `paths`.
pub(crate) fn explain_files(id: &str, paths: &[PathBuf]) -> Result<String, ToolError> {
    let mut text = String::new();
    for path in paths {
        let read = std::fs::read(path).map_err(|error| ToolError::LogFile {
            path: path.display().to_string(),
            error,
        })?;
        text.push_str(&String::from_utf8_lossy(&read));
        text.push('\n');
    }
    explain_request(id, &text)
}

/// Explains the request `id` from the lines of all hosts in `text`.
pub fn explain_request(id: &str, text: &str) -> Result<String, ToolError> {
    let lines: Vec<LogLine> = text.lines().filter_map(parse_line).collect();
    let own: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.text("request") == id)
        .collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|line| line.at).min(),
        own.iter().map(|line| line.at).max(),
    ) else {
        return Err(ToolError::UnknownRequest(id.to_owned()));
    };
    let touch = RequestTouch::of(&own);
    let mut shown: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.at + BEFORE >= first && line.at <= last)
        .filter(|line| touch.concerns(line))
        .collect();
    let others = lines.iter().filter(|line| {
        line.at + BEFORE >= first && line.at <= last && touch.is_failure_there(line, id)
    });
    shown.extend(others.take(MAX_OTHERS));
    shown.extend(own);
    shown.sort_by_key(|line| line.at);
    let told: Vec<String> = shown.into_iter().map(LogLine::tell).collect();
    Ok(told.join("\n"))
}

/// Line of a log; what stands before the first brace was added by who collected it.
fn parse_line(line: &str) -> Option<LogLine> {
    let object = line.get(line.find('{')?..)?;
    let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
        return None;
    };
    let at = fields.get("ts")?.as_str()?;
    let at = humantime::parse_rfc3339(at).ok()?;
    Some(LogLine { at, fields })
}

impl LogLine {
    fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    /// Instances that the line's attempts went to.
    fn attempted(&self) -> impl Iterator<Item = &str> {
        let attempts = self.text("attempts").split("; ");
        attempts
            .filter_map(|attempt| attempt.split_whitespace().next())
            .filter(|instance| !instance.is_empty())
    }

    fn tell(&self) -> String {
        let at = humantime::format_rfc3339_millis(self.at);
        let mut told = format!("{at} {} {}", self.text("host"), self.text("msg"));
        for (name, value) in &self.fields {
            if HEAD_FIELDS.contains(&name.as_str()) {
                continue;
            }
            let value = match value {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            told.push_str(&format!(" {name}={value:?}").replace("\\\"", "\""));
        }
        told
    }
}

impl RequestTouch {
    fn of(own: &[&LogLine]) -> Self {
        let mut touch = RequestTouch::default();
        for line in own {
            touch.hosts.insert(line.text("host").to_owned());
            touch.instances.extend(line.attempted().map(str::to_owned));
            let workspace = line.text("workspace");
            if !workspace.is_empty() {
                touch.workspaces.insert(workspace.to_owned());
            }
        }
        touch
    }

    /// Whether the line tells of an instance, a limit or a host of the request.
    fn concerns(&self, line: &LogLine) -> bool {
        let message = line.text("msg");
        if message == "request ended" {
            return false;
        }
        self.instances.contains(line.text("instance"))
            || (message == "workspace limit" && self.workspaces.contains(line.text("workspace")))
            || (HOST_LINES.contains(&message) && self.hosts.contains(line.text("host")))
    }

    /// Whether the line is another request that did not go well at an instance of this one.
    fn is_failure_there(&self, line: &LogLine, id: &str) -> bool {
        line.text("msg") == "request ended"
            && line.text("request") != id
            && line.text("outcome") != "answered"
            && line
                .attempted()
                .any(|instance| self.instances.contains(instance))
    }
}
