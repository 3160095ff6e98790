//! `scripts/losses` assigns one reason to each request.

use std::process::Command;

#[test]
fn each_request_not_answered_in_time_has_one_reason() {
    let root = env!("CARGO_MANIFEST_DIR");
    let out = Command::new("python3")
        .arg(format!("{root}/scripts/losses"))
        .arg("--csv")
        .arg(format!("{root}/tests/losses/node.log"))
        .output()
        .expect("python3 runs");
    let printed = String::from_utf8(out.stdout).expect("text");
    let mut lines: Vec<&str> = printed.lines().collect();
    lines.sort_unstable();
    let expected = [
        "\"late: began slow, known\",1,1",
        "late: waited,1,1",
        "not-run: busy,1,1",
        "reason,s,all",
        "within the objective,1,1",
    ];
    assert_eq!(lines, expected, "{}", String::from_utf8_lossy(&out.stderr));
}
