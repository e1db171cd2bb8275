//! Tests which log lines explain a request, and their order.

use crocushoist::explain_request;

/// Log lines of three hosts, out of order; a log collector has prefixed one of them.
const LOGS: &str = r#"
{"msg":"request ended","ts":"2026-02-25T11:19:42.3Z","host":"h-1","request":"r-1","outcome":"instance_failed","status":502,"workspace":"depot","attempts":"i-7 broken_off 1ms faulty=5% load=1"}
   2.07 h-2 {"msg":"instance joined","ts":"2026-02-25T11:19:41.25Z","host":"h-2","instance":"i-7","offset":4}
{"msg":"instance joined","ts":"2026-02-25T11:19:41.249Z","host":"h-2","instance":"i-8","offset":5}
{"msg":"request ended","ts":"2026-02-25T11:19:42.29999Z","host":"h-3","request":"r-2","outcome":"instance_failed","attempts":"i-7 broken_off 1ms faulty=4% load=2"}
{"msg":"request ended","ts":"2026-02-25T11:19:42.1Z","host":"h-3","request":"r-3","outcome":"answered","attempts":"i-7 answered 20ms faulty=4% load=2"}
{"msg":"workspace limit","ts":"2026-02-25T11:19:40Z","host":"h-2","workspace":"depot","limited":true}
{"msg":"workspace limit","ts":"2026-02-25T11:19:40Z","host":"h-2","workspace":"other","limited":true}
{"msg":"store lost","ts":"2026-02-25T11:19:39Z","host":"h-1","cause":"refused"}
{"msg":"store lost","ts":"2026-02-25T11:19:39Z","host":"h-3","cause":"refused"}
{"msg":"hub chosen","ts":"2026-02-25T11:18:00Z","host":"h-1","hub":"h-2"}
{"msg":"store lost","ts":"2026-02-25T11:19:43Z","host":"h-1","cause":"later"}
not a line of a log
"#;

#[test]
fn related_lines_of_all_hosts_are_sorted_by_time() {
    let explanation = explain_request("r-1", LOGS).unwrap();
    let lines: Vec<&str> = explanation.lines().collect();
    assert_eq!(
        lines,
        [
            "2026-02-25T11:19:39.000Z h-1 store lost cause=\"refused\"",
            "2026-02-25T11:19:40.000Z h-2 workspace limit limited=\"true\" workspace=\"depot\"",
            "2026-02-25T11:19:41.250Z h-2 instance joined instance=\"i-7\" offset=\"4\"",
            "2026-02-25T11:19:42.299Z h-3 request ended attempts=\"i-7 broken_off 1ms faulty=4% load=2\" \
             outcome=\"instance_failed\" request=\"r-2\"",
            "2026-02-25T11:19:42.300Z h-1 request ended attempts=\"i-7 broken_off 1ms faulty=5% load=1\" \
             outcome=\"instance_failed\" request=\"r-1\" status=\"502\" workspace=\"depot\"",
        ]
    );
}

#[test]
fn request_in_no_line_is_an_error_that_names_log_sampling() {
    let error = explain_request("r-9", LOGS).unwrap_err();
    assert_eq!(
        error.to_string(),
        "no log line names the request r-9; a plain success is logged once in 64"
    );
}

/// Log lines of two hosts about instances that leave or want no requests.
const SIGNAL_LOGS: &str = r#"
{"msg":"instance wants no requests","ts":"2026-02-25T11:19:41Z","host":"h-1","instance":"i-7","service":"ledger","millis":2000}
{"msg":"instance wants no requests","ts":"2026-02-25T11:19:41Z","host":"h-2","instance":"i-7","service":"ledger","millis":300}
{"msg":"instance says that it leaves","ts":"2026-02-25T11:19:41.5Z","host":"h-1","instance":"i-8","service":"ledger","cause":"told by a host"}
{"msg":"instance says that it leaves","ts":"2026-02-25T11:19:41.5Z","host":"h-1","instance":"i-9","service":"archive","cause":"its response"}
{"msg":"request ended","ts":"2026-02-25T11:19:42Z","host":"h-1","request":"r-1","outcome":"instances_on_hold","service":"ledger","attempts":""}
{"msg":"request ended","ts":"2026-02-25T11:19:42Z","host":"h-1","request":"r-2","outcome":"not_run_anywhere","service":"archive","attempts":"i-8 shed 1ms faulty=5% load=1"}
"#;

#[test]
fn refusal_without_attempts_is_explained_by_what_instances_said_to_its_host() {
    let explanation = explain_request("r-1", SIGNAL_LOGS).unwrap();
    let lines: Vec<&str> = explanation.lines().collect();
    assert_eq!(
        lines,
        [
            "2026-02-25T11:19:41.000Z h-1 instance wants no requests instance=\"i-7\" millis=\"2000\" \
             service=\"ledger\"",
            "2026-02-25T11:19:41.500Z h-1 instance says that it leaves cause=\"told by a host\" \
             instance=\"i-8\" service=\"ledger\"",
            "2026-02-25T11:19:42.000Z h-1 request ended attempts=\"\" outcome=\"instances_on_hold\" \
             request=\"r-1\" service=\"ledger\"",
        ]
    );
}

#[test]
fn attempt_is_explained_by_what_its_instance_said_to_any_host() {
    let explanation = explain_request("r-2", SIGNAL_LOGS).unwrap();
    let lines: Vec<&str> = explanation.lines().collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].contains("instance says that it leaves") && lines[0].contains("i-8"));
}
