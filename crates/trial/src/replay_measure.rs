//! Measures the memory and time of a configuration that is built from the log.

use std::hint::black_box;
use std::time::Instant;

use crocushoist_coordination::EditId;
use crocushoist_coordination::EditRecord;
use crocushoist_coordination::LogRecord;
use crocushoist_coordination::ReplayedState;
use crocushoist_protocol::decode_record;
use crocushoist_protocol::decode_snapshot;
use crocushoist_protocol::encode_record;
use crocushoist_protocol::encode_snapshot;
use crocushoist_state::ConfigChange;
use crocushoist_state::KeyDigest;
use crocushoist_state::RouteAccess;
use crocushoist_state::SharePlan;

use crate::trial_report::TrialReport;

const SHARDS: u32 = 128;
const SERVICE_COUNT: usize = 290;
/// Number of requests whose lookups are timed.
const LOOKUP_COUNT: usize = 200_000;
const PAGE_BYTES: u64 = 4_096;
const NANOS_PER_SECOND: f64 = 1e9;
const MILLIS_PER_SECOND: f64 = 1e3;

/// Replays a log that sets up `workspaces` workspaces with a key each and `routes` routes.
///
/// The report has the costs of the replay, of a snapshot and of lookups.
pub fn measure_replay(workspaces: usize, routes: usize) -> TrialReport {
    let mut report = TrialReport::default();
    let records: Vec<Vec<u8>> = setup_changes(workspaces, routes)
        .enumerate()
        .map(|(index, change)| encode_record(&edit_record(index as u128, change)))
        .collect();
    let log_bytes: usize = records.iter().map(Vec::len).sum();
    report.add_figure("records", records.len() as f64, "records");
    report.add_figure(
        "record_bytes",
        log_bytes as f64 / records.len() as f64,
        "B a record",
    );
    let resident_before = resident_bytes();
    let started_at = Instant::now();
    let mut replayed_log = ReplayedState::new(SHARDS);
    for (offset, bytes) in records.iter().enumerate() {
        let record = decode_record(bytes).ok();
        let _ = replayed_log.apply(offset as u64, record.as_ref());
    }
    report.add_figure(
        "fold_time",
        started_at.elapsed().as_secs_f64() * MILLIS_PER_SECOND,
        "ms",
    );
    let grown_bytes = resident_bytes().saturating_sub(resident_before);
    report.add_figure("fold_memory", grown_bytes as f64, "B");
    measure_snapshot(&mut report, &replayed_log);
    measure_lookups(&mut report, &replayed_log, workspaces, routes);
    report
}

fn measure_snapshot(report: &mut TrialReport, replayed_log: &ReplayedState) {
    let started_at = Instant::now();
    let bytes = encode_snapshot(replayed_log);
    report.add_figure(
        "snapshot_encode_time",
        started_at.elapsed().as_secs_f64() * MILLIS_PER_SECOND,
        "ms",
    );
    report.add_figure("snapshot_bytes", bytes.len() as f64, "B");
    let started_at = Instant::now();
    let decoded = decode_snapshot(&bytes);
    report.add_figure(
        "snapshot_decode_time",
        started_at.elapsed().as_secs_f64() * MILLIS_PER_SECOND,
        "ms",
    );
    report.require(decoded.is_ok(), "the snapshot cannot be decoded");
}

/// Measures the lookups of one request: its route, its key's digest and workspace, and the
/// workspace's shares.
fn measure_lookups(
    report: &mut TrialReport,
    replayed_log: &ReplayedState,
    workspaces: usize,
    routes: usize,
) {
    let config = replayed_log.config();
    let names: Vec<(String, String)> = (0..1_000)
        .map(|index| {
            let route = format!("{}/items/42", route_name(index * 7 % routes));
            (route, key_name(index * 97 % workspaces))
        })
        .collect();
    let started_at = Instant::now();
    for index in 0..LOOKUP_COUNT {
        let (route, key) = &names[index % names.len()];
        black_box(config.routes().find(route));
        let workspace = config.workspace_of_key(&KeyDigest::of(key));
        if let Some(workspace) = workspace {
            let name = &config.workspace(workspace).name;
            black_box(SharePlan::new(name, config.limit_of(workspace), SHARDS));
        }
    }
    let nanos = started_at.elapsed().as_secs_f64() * NANOS_PER_SECOND / LOOKUP_COUNT as f64;
    report.add_figure("look_up_time", nanos, "ns a request");
}

/// Changes that set up all services, routes, workspaces and keys.
fn setup_changes(workspaces: usize, routes: usize) -> impl Iterator<Item = ConfigChange> {
    let services = (0..SERVICE_COUNT).map(|index| ConfigChange::PutService {
        name: service_name(index).into(),
        shed_is_not_run: true,
    });
    let routes = (0..routes).map(|index| ConfigChange::PutRoute {
        prefix: route_name(index).into(),
        service: service_name(index % SERVICE_COUNT).into(),
        access: RouteAccess::Keyed,
    });
    let workspaces = (0..workspaces).flat_map(|index| {
        let name = format!("workspace-{index}");
        [
            ConfigChange::PutWorkspace {
                name: name.as_str().into(),
            },
            ConfigChange::GrantKey {
                digest: KeyDigest::of(&key_name(index)),
                workspace: name.into(),
            },
        ]
    });
    services.chain(routes).chain(workspaces)
}

fn edit_record(id: u128, change: ConfigChange) -> LogRecord {
    LogRecord::Edit(EditRecord {
        id: EditId(id),
        base_revision: 0,
        author: "measure".into(),
        change,
    })
}

fn service_name(index: usize) -> String {
    format!("service-{index}")
}

fn route_name(index: usize) -> String {
    format!("/area-{}/route-{index}", index % 40)
}

fn key_name(index: usize) -> String {
    format!("key-{index}")
}

/// Resident memory of this process in bytes, for pages of `PAGE_BYTES`; 0 if it cannot be read.
fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
