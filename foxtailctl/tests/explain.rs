//! Runs `foxtailctl explain` on a log of an entry host.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const LOG: &str = "\
ts=2026-12-04T01:00:00.100Z level=info target=foxtail_entry::knowledge event=upstream upstream=u-1 draining=true
ts=2026-12-04T01:00:00.200Z level=info target=foxtail_entry::knowledge event=upstream upstream=u-9 draining=true
ts=2026-12-04T01:00:01.010Z level=info target=foxtail_entry::request event=placed request=r1 service=books upstream=u-1 expected_ms=120 wait_ms=10 load=2.0 report_age_ms=40 in_time=0.90 utility=0.71 candidates=12 version=7
ts=2026-12-04T01:00:01.020Z level=info target=foxtail_entry::request event=placed request=r2 service=books upstream=u-9
ts=2026-12-04T01:00:02.510Z level=info target=foxtail_entry::attempt event=attempt request=r1 upstream=u-1 outcome=timed-out took_ms=1500
ts=2026-12-04T01:00:02.511Z level=info target=foxtail_entry::request event=request request=r1 outcome=answer-lost status=504 offers=1 took_ms=1501 version=7
not a line of ours
";

fn run_with_log(args: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_foxtailctl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("started");
    // The write fails if the child exits before it reads its input.
    let _ = child.stdin.take().expect("piped").write_all(LOG.as_bytes());
    child.wait_with_output().expect("ended")
}

#[test]
fn explanation_has_the_lines_of_the_request_and_the_events_of_its_upstream_on_its_host() {
    let out = run_with_log(&["explain", "r1", "--log", "-"]);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].contains("draining=true") && lines[0].contains("u-1"));
    assert!(lines[1].contains("placed on u-1 of books: expected in 120 ms"));
    assert!(lines[2].contains("u-1 timed-out after 1500 ms"));
    assert!(lines[3].contains("ended: answer-lost with status 504"));
}

#[test]
fn json_output_has_the_same_lines_as_text() {
    let out = run_with_log(&["--json", "explain", "r1", "--log", "-"]);
    let lines: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(lines.as_array().unwrap().len(), 4);
    assert_eq!(lines[3]["fields"]["status"], "504");
}

#[test]
fn unknown_request_and_missing_file_are_named_in_the_error() {
    let out = run_with_log(&["explain", "nobody", "--log", "-"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8(out.stderr).unwrap().contains("no line of these logs names"));
    let out = run_with_log(&["explain", "r1", "--log", "no-such-file.log"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8(out.stderr).unwrap().contains("no-such-file.log"));
}
