//! The operators' command-line tool, with a test double of the platform.

use standins::platform::Platform;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

struct Site {
    platform: SocketAddr,
    dir: PathBuf,
}

impl Site {
    /// Starts a platform and creates a directory of declarations that the test may change.
    fn new(name: &str) -> Site {
        // Keeps the port bound: a probe that is closed again may live on in a child process that
        // another test is starting, and the platform then fails to listen.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let platform = listener.local_addr().expect("the platform's address");
        async_std::task::spawn(Platform::default().app().listen(listener));
        exchange(platform, "GET", "/").expect("the platform answers");
        let dir = std::env::temp_dir().join(format!("drumwheel-cli-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory");
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/windhoek");
        for entry in std::fs::read_dir(example).expect("the example") {
            let path = entry.expect("a file").path();
            std::fs::copy(&path, dir.join(path.file_name().expect("a name"))).expect("a copy");
        }
        Site { platform, dir }
    }

    fn run(&self, command: &str, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_drumwheel"))
            .args([command, "--platform", &self.platform.to_string()])
            .args(args)
            .output()
            .expect("the command runs")
    }

    fn apply(&self, base: &str, why: &str, more: &[&str]) -> Output {
        let dir = self.dir.display().to_string();
        let mut args = vec!["--base", base, "--who", "ndapewa", "--why", why];
        args.extend(more);
        args.push(&dir);
        self.run("apply", &args)
    }

    /// Replaces a policy and removes its examples, which the new one doesn't satisfy.
    fn replace_policy(&self, text: &str) {
        std::fs::remove_file(self.dir.join("prices.examples.ini")).ok();
        std::fs::write(self.dir.join("prices.rhai"), text).expect("the policy is written");
    }

    /// Sends a control request to the platform.
    fn control(&self, path: &str) {
        exchange(self.platform, "POST", &format!("/control/{path}")).expect("an answer");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// Sends a request without a body. Returns the answer.
fn exchange(platform: SocketAddr, method: &str, path: &str) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(platform)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(answer)
}

fn exit_code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    out + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn problems_are_shown_with_their_position_and_nothing_is_applied() {
    let site = Site::new("problems");
    site.replace_policy("#{ repeatable: maybe }");
    let dir = site.dir.display().to_string();
    let check = Command::new(env!("CARGO_BIN_EXE_drumwheel"))
        .args(["check", &dir])
        .output()
        .expect("the command runs");
    assert_eq!(exit_code(&check), Some(2));
    assert!(text(&check).contains("prices.rhai:1:"), "{}", text(&check));
    assert_eq!(exit_code(&site.apply("0", "first", &[])), Some(2));
    assert_eq!(text(&site.run("history", &[])), "");
}

#[test]
fn plan_prints_its_base_and_history_lists_the_changes() {
    let site = Site::new("plan");
    let dir = site.dir.display().to_string();
    let first = text(&site.run("plan", &[&dir]));
    assert!(first.contains("apply with --base 0"), "{first}");
    assert_eq!(exit_code(&site.apply("0", "first", &[])), Some(0));
    site.replace_policy("#{ repeatable: true }\n");
    let plan = text(&site.run("plan", &[&dir]));
    assert!(plan.contains("+ #{ repeatable: true }"), "{plan}");
    assert!(plan.contains("apply with --base 1"), "{plan}");
    assert_eq!(exit_code(&site.apply("1", "simpler", &[])), Some(0));
    let history = text(&site.run("history", &["--diff"]));
    let lines: Vec<&str> = history.lines().collect();
    assert!(lines[0].starts_with("revision 2"), "{history}");
    assert!(lines[0].contains("ndapewa  simpler"), "{history}");
    assert!(history.contains("    + #{ repeatable: true }"), "{history}");
    assert!(text(&site.run("plan", &[&dir])).contains("no difference from revision 2"));
}

#[test]
fn outdated_plan_is_rejected_with_the_conflicting_change() {
    let site = Site::new("conflict");
    site.apply("0", "first", &[]);
    site.replace_policy("#{ repeatable: method == \"GET\", attempts: 1 }\n");
    let late = site.apply("0", "late", &[]);
    assert_eq!(exit_code(&late), Some(3));
    assert!(
        text(&late).contains("ndapewa changed it first: first"),
        "{}",
        text(&late)
    );
}

#[test]
fn outage_is_reported_as_unknown_and_the_same_id_can_be_repeated() {
    let site = Site::new("outage");
    site.control("outage/on");
    let unknown = site.apply("0", "first", &["--id", "abc", "--tries", "1"]);
    assert_eq!(exit_code(&unknown), Some(4));
    assert!(text(&unknown).contains("--id abc"), "{}", text(&unknown));
    site.control("outage/off");
    assert_eq!(
        exit_code(&site.apply("0", "first", &["--id", "abc"])),
        Some(0)
    );
    let again = site.apply("0", "first", &["--id", "abc"]);
    assert_eq!(exit_code(&again), Some(0));
    assert!(
        text(&again).contains("accepted as revision 1"),
        "{}",
        text(&again)
    );
    assert_eq!(text(&site.run("history", &[])).lines().count(), 1);
}

#[test]
fn write_whose_answer_was_lost_is_recognised_as_accepted() {
    let site = Site::new("lost");
    site.apply("0", "first", &[]);
    site.replace_policy("#{ repeatable: method == \"GET\", attempts: 1, priority: 1 }\n");
    // The answers to three writes are lost: the new policy, the new head as an object of its own, and
    // the update of the head object.
    site.control("lose/3");
    let output = site.apply("1", "second", &["--tries", "6"]);
    assert_eq!(exit_code(&output), Some(0), "{}", text(&output));
    assert!(text(&output).contains("revision 2"), "{}", text(&output));
    assert_eq!(text(&site.run("history", &[])).lines().count(), 2);
}

#[test]
fn floor_numbers_revisions_above_those_before_a_restore_of_the_platform() {
    let site = Site::new("restored");
    site.apply("0", "first", &[]);
    site.control("snapshot");
    site.replace_policy("#{ repeatable: method == \"GET\", attempts: 1, priority: 1 }\n");
    site.apply("1", "second", &[]);
    site.control("restore");
    let output = site.apply("1", "second again", &["--floor", "2"]);
    assert!(
        text(&output).contains("accepted as revision 3"),
        "{}",
        text(&output)
    );
}

/// A node that answers a single call of an operator; the thread returns the bytes that it received.
fn node(answer: &'static str) -> (SocketAddr, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("its address");
    let served = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut received = Vec::new();
        let mut buf = [0; 4_096];
        while !is_complete(&received) {
            let count = stream.read(&mut buf).expect("the call");
            assert!(count > 0, "the call ended early");
            received.extend_from_slice(&buf[..count]);
        }
        let length = answer.len();
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
        let written = stream.write_all((head + answer).as_bytes());
        written.expect("the answer is sent");
        String::from_utf8_lossy(&received).to_string()
    });
    (address, served)
}

/// Whether a request is complete, with a body of the declared length.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.map_or(0, |length| length.trim().parse().expect("a number"));
    body.len() >= length
}

fn drumwheel(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_drumwheel"))
        .args(args)
        .output()
        .expect("the tool runs")
}

#[test]
fn quarantined_requests_are_shown_with_their_terminations() {
    let (address, served) = node(
        r#"{"vm":"a","hall":"h","revision":1,"list_version":0,"platform_reachable":true,
            "leaving":false,"in_flight":0,"queued":0,"limit":6,
            "held":[{"fingerprint":"49be8ae617e66deefaa1c67d4c8ec45e","ends":2}]}"#,
    );
    let output = drumwheel(&["held", "--node", &address.to_string()]);
    assert_eq!(exit_code(&output), Some(0), "{}", text(&output));
    let shown = text(&output);
    assert!(
        shown.contains("49be8ae617e66deefaa1c67d4c8ec45e 2 ends"),
        "{shown}"
    );
    assert!(shown.contains("1 held"), "{shown}");
    assert!(served.join().expect("no panic").starts_with("GET /status"));
}

#[test]
fn release_sends_the_key_and_the_operators_name_and_reason() {
    let key = std::env::temp_dir().join(format!("drumwheel-release-{}", std::process::id()));
    std::fs::write(&key, "secret\n").expect("a key");
    let (address, served) = node("released\n");
    let (address, key_file) = (address.to_string(), key.to_string_lossy().to_string());
    let fingerprint = "49be8ae617e66deefaa1c67d4c8ec45e";
    let output = drumwheel(&[
        "release",
        "--node",
        &address,
        "--key-file",
        &key_file,
        "--who",
        "kaisa",
        "--why",
        "mended",
        fingerprint,
    ]);
    std::fs::remove_file(&key).ok();
    assert_eq!(exit_code(&output), Some(0), "{}", text(&output));
    assert!(text(&output).contains("released"), "{}", text(&output));
    let sent = served.join().expect("no panic");
    assert!(sent.starts_with("POST /release"), "{sent}");
    assert!(
        sent.to_lowercase().contains("authorization: bearer secret"),
        "{sent}"
    );
    for value in [fingerprint, "kaisa", "mended"] {
        assert!(sent.contains(value), "{value}: {sent}");
    }
}
