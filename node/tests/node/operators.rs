//! The operators' address, and invalid settings.

use crate::fleet::{get, Fleet, UpstreamKind, FLEET_KEY};
use std::process::Command;

fn post(path: &str, key: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: 0\r\n\
         Authorization: Bearer {key}\r\n\r\n"
    )
    .into_bytes()
}

#[test]
fn drained_node_accepts_no_new_work_until_the_drain_ends() {
    let fleet = Fleet::start("drain", UpstreamKind::Working(0));
    let refused = fleet.raw(fleet.operators, &post("/drain", "a wrong key"));
    assert!(refused.starts_with("HTTP/1.1 401"), "{refused}");
    assert!(fleet.request("GET", "", "").starts_with("HTTP/1.1 200"));
    fleet.raw(fleet.operators, &post("/drain", FLEET_KEY));
    assert!(fleet.request("GET", "", "").starts_with("HTTP/1.1 503"));
    fleet.raw(fleet.operators, &post("/undrain", FLEET_KEY));
    assert!(fleet.request("GET", "", "").starts_with("HTTP/1.1 200"));
}

#[test]
fn status_shows_the_revision_in_force() {
    let fleet = Fleet::start("status", UpstreamKind::Working(0));
    let status = fleet.raw(fleet.operators, &get("/status"));
    assert!(status.contains("\"revision\":1"), "{status}");
    assert!(status.contains("\"change\":\"first\""), "{status}");
}

#[test]
fn node_with_invalid_settings_exits_and_reports_all_problems() {
    let path = std::env::temp_dir().join(format!("drumwheel-bad-{}.ini", std::process::id()));
    std::fs::write(&path, "[node]\nvm = a\nslots = 3\n").expect("a file");
    for flag in [Some("--check"), None] {
        let output = Command::new(env!("CARGO_BIN_EXE_drumwheel-node"))
            .args(flag)
            .arg(&path)
            .output()
            .expect("the node runs");
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            text.contains(":3 [node] slots = \"3\": unknown key"),
            "{text}"
        );
        assert!(text.contains("[listen] callers: missing"), "{text}");
    }
    std::fs::remove_file(&path).ok();
}
