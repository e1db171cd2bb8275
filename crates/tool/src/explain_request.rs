//! Collects the log lines of several hosts that help to explain one request.
//!
//! Besides the request's own lines it shows lines from the seconds before them:
//! changes of the instances that the request was sent to, of its workspace's
//! limit and of the hosts that handled it, and other failed requests at the
//! same instances. If no instance took the request, it shows the instances of
//! the service that were leaving or wanted none. All lines are sorted by time.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use serde_json::Map;
use serde_json::Value;

use crate::tool_error::ToolError;

/// Time before the request's first line from which lines that are not its own are shown.
///
/// Longer than the window over which a workspace's limit is counted, 5 s.
const LOOKBACK: Duration = Duration::from_secs(8);

/// Most other failed requests that are shown.
const MAX_OTHER_FAILURES: usize = 20;

/// Messages about a host's own state and its view of the fleet.
const HOST_MESSAGES: [&str; 9] = [
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

/// Messages about what an instance said about itself.
const SIGNAL_MESSAGES: [&str; 2] = ["instance says that it leaves", "instance wants no requests"];

/// Outcomes of requests that no instance took because of what instances said.
const UNSERVABLE_OUTCOMES: [&str; 3] = ["no_instance", "instances_on_hold", "instances_limited"];

/// Fields that are not printed as `name=value`.
///
/// The first three start the printed line; the level is left out.
const PREFIX_FIELDS: [&str; 4] = ["ts", "host", "msg", "level"];

/// One line of a log.
struct LogLine {
    at: SystemTime,
    fields: Map<String, Value>,
}

/// Hosts, instances, workspaces and services without instances that the request's own lines name.
#[derive(Default)]
struct RequestNames {
    hosts: BTreeSet<String>,
    instances: BTreeSet<String>,
    workspaces: BTreeSet<String>,
    unservable: BTreeSet<String>,
}

/// Lists the lines about the request `id` in the log files at `paths`.
///
/// Fails with `LogFile` if a file cannot be read, and as [`explain_request`] does.
pub(crate) fn explain_files(id: &str, paths: &[PathBuf]) -> Result<String, ToolError> {
    let mut text = String::new();
    for path in paths {
        let bytes = std::fs::read(path).map_err(|error| ToolError::LogFile {
            path: path.display().to_string(),
            error,
        })?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    explain_request(id, &text)
}

/// Lists the lines about the request `id` in `text`, the logs of all hosts.
///
/// Fails with `UnknownRequest` if no line names the request.
pub fn explain_request(id: &str, text: &str) -> Result<String, ToolError> {
    let lines: Vec<LogLine> = text.lines().filter_map(parse_line).collect();
    let own_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.text("request") == id)
        .collect();
    let (Some(first), Some(last)) = (
        own_lines.iter().map(|line| line.at).min(),
        own_lines.iter().map(|line| line.at).max(),
    ) else {
        return Err(ToolError::UnknownRequest(id.to_owned()));
    };
    let names = RequestNames::of(&own_lines);
    let mut shown: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.at + LOOKBACK >= first && line.at <= last)
        .filter(|line| names.is_related(line))
        .collect();
    let other_failures = lines.iter().filter(|line| {
        line.at + LOOKBACK >= first && line.at <= last && names.is_other_failure(line, id)
    });
    shown.extend(other_failures.take(MAX_OTHER_FAILURES));
    shown.extend(own_lines);
    shown.sort_by_key(|line| line.at);
    let rendered: Vec<String> = shown.into_iter().map(LogLine::render).collect();
    Ok(rendered.join("\n"))
}

/// Parses a log line; a log collector may have put a prefix before the JSON object.
fn parse_line(line: &str) -> Option<LogLine> {
    let json = line.get(line.find('{')?..)?;
    let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
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

    /// Instances in the line's `attempts` field.
    fn attempted_instances(&self) -> impl Iterator<Item = &str> {
        let attempts = self.text("attempts").split("; ");
        attempts
            .filter_map(|attempt| attempt.split_whitespace().next())
            .filter(|instance| !instance.is_empty())
    }

    fn render(&self) -> String {
        let at = humantime::format_rfc3339_millis(self.at);
        let mut text = format!("{at} {} {}", self.text("host"), self.text("msg"));
        for (name, value) in &self.fields {
            if PREFIX_FIELDS.contains(&name.as_str()) {
                continue;
            }
            let value = match value {
                Value::String(string) => string.clone(),
                other => other.to_string(),
            };
            text.push_str(&format!(" {name}={value:?}").replace("\\\"", "\""));
        }
        text
    }
}

impl RequestNames {
    fn of(own_lines: &[&LogLine]) -> Self {
        let mut names = RequestNames::default();
        for line in own_lines {
            names.hosts.insert(line.text("host").to_owned());
            names
                .instances
                .extend(line.attempted_instances().map(str::to_owned));
            let workspace = line.text("workspace");
            if !workspace.is_empty() {
                names.workspaces.insert(workspace.to_owned());
            }
            if UNSERVABLE_OUTCOMES.contains(&line.text("outcome")) {
                names.unservable.insert(line.text("service").to_owned());
            }
        }
        names
    }

    /// Whether the line is about an instance, the workspace limit or a host of the request.
    fn is_related(&self, line: &LogLine) -> bool {
        let message = line.text("msg");
        if message == "request ended" {
            return false;
        }
        self.instances.contains(line.text("instance"))
            || (SIGNAL_MESSAGES.contains(&message)
                && self.unservable.contains(line.text("service"))
                && self.hosts.contains(line.text("host")))
            || (message == "workspace limit" && self.workspaces.contains(line.text("workspace")))
            || (HOST_MESSAGES.contains(&message) && self.hosts.contains(line.text("host")))
    }

    /// Whether the line reports that another request, sent to an instance of this one, was not answered.
    fn is_other_failure(&self, line: &LogLine, id: &str) -> bool {
        line.text("msg") == "request ended"
            && line.text("request") != id
            && line.text("outcome") != "answered"
            && line
                .attempted_instances()
                .any(|instance| self.instances.contains(instance))
    }
}
