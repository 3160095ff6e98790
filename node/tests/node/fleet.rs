//! A node with a platform and an upstream, on free ports of the loopback address.

use async_std::net::TcpListener;
use async_std::task;
use declarations::Bundle;
use platform::Client;
use rollout::{Change, Plan};
use standins::ledger::Ledger;
use standins::platform::Platform;
use standins::upstream::{self, Upstream};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Maximum wait for anything to start or answer.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Port that [`free_address`] tries next.
static NEXT_PORT: AtomicU16 = AtomicU16::new(11_000);
/// Key of the fleet in these tests.
pub const FLEET_KEY: &str = "key-of-a-fleet-in-tests";

const SERVICES: &str = "\
[group one]
upstreams = vm-1

[service one]
group = one
host = one.example
policy = one.rhai
shed_header = x-shed
drain_header = x-draining
";
const POLICY: &str = "#{ repeatable: method == \"GET\", deadline_ms: 5000 }";

/// What listens at the upstream's address.
pub enum UpstreamKind {
    /// The test double of an upstream, with this service time in microseconds.
    Working(u64),
    /// A server that sends these bytes as its answer to every request and closes the connection.
    Raw(Vec<u8>),
}

/// A running node, with the platform and the upstream that it uses.
pub struct Fleet {
    node: Child,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    platform: SocketAddr,
    dir: PathBuf,
}

impl Fleet {
    /// Starts the processes and waits until the first revision is in force.
    pub fn start(name: &str, upstream_kind: UpstreamKind) -> Fleet {
        Fleet::start_on_slow_platform(name, upstream_kind, 0)
    }

    /// Like [`Fleet::start`], with a platform that delays each answer by `slow_ms`.
    pub fn start_on_slow_platform(name: &str, upstream_kind: UpstreamKind, slow_ms: u64) -> Fleet {
        Fleet::launch(name, upstream_kind, slow_ms, "")
    }

    /// Like [`Fleet::start`], with further settings of the section `limits`.
    pub fn start_with_limits(name: &str, upstream_kind: UpstreamKind, limits: &str) -> Fleet {
        Fleet::launch(name, upstream_kind, 0, limits)
    }

    fn launch(name: &str, upstream_kind: UpstreamKind, slow_ms: u64, limits: &str) -> Fleet {
        let dir = std::env::temp_dir().join(format!("drumwheel-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for the test");
        let platform = free_address();
        let upstream = free_address();
        let (callers, peers, operators) = (free_address(), free_address(), free_address());
        task::spawn(Platform::default().app().listen(platform));
        start_upstream(upstream, upstream_kind);
        wait_until_listening(platform);
        set_vms(platform, peers, operators);
        apply_declarations(platform);
        control(platform, &format!("slow/{slow_ms}"), "");
        let settings = dir.join("node.ini");
        let text = format!(
            "[node]\nvm = vm-1\nhall = north\n\n[listen]\ncallers = {callers}\npeers = {peers}\n\
             operators = {operators}\n\n[upstream]\naddress = {upstream}\nslots = 4\n\n\
             [platform]\naddresses = {platform}\n\n[peers]\nkey = {FLEET_KEY}\n\n\
             [limits]\nbody_bytes = 65536\n{limits}\n[log]\nlevel = warn\n"
        );
        std::fs::write(&settings, text).expect("settings");
        let node = Command::new(env!("CARGO_BIN_EXE_drumwheel-node"))
            .arg(&settings)
            .stdin(Stdio::null())
            .spawn()
            .expect("the node starts");
        let fleet = Fleet {
            node,
            callers,
            peers,
            operators,
            platform,
            dir,
        };
        fleet.wait_until_ready();
        fleet
    }

    /// Sends raw bytes to an address and returns everything received until the connection closes.
    pub fn raw(&self, address: SocketAddr, bytes: &[u8]) -> String {
        let mut stream = connect(address);
        stream.write_all(bytes).expect("the bytes are sent");
        read_all(&mut stream)
    }

    /// Sends a request on a connection of its own and returns the response.
    pub fn request(&self, method: &str, headers: &str, body: &str) -> String {
        let text = format!(
            "{method} / HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\n\
             Content-Length: {}\r\n{headers}\r\n{body}",
            body.len()
        );
        self.raw(self.callers, text.as_bytes())
    }

    /// Whether the node answers a liveness check.
    pub fn is_alive(&self) -> bool {
        self.raw(self.operators, &get("/livez"))
            .starts_with("HTTP/1.1 200")
    }

    /// Value of a counter or gauge, summed over its labels.
    pub fn metric(&self, name: &str) -> f64 {
        self.raw(self.operators, &get("/metrics"))
            .lines()
            .filter(|line| line.starts_with(name))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// From now on, the platform delays each answer by `slow_ms`.
    pub fn slow_platform(&self, slow_ms: u64) {
        control(self.platform, &format!("slow/{slow_ms}"), "");
    }

    /// Starts a planned stop of the node.
    pub fn terminate(&self) {
        let pid = self.node.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until the node exits; returns whether it exited with success.
    pub fn wait(&mut self) -> bool {
        self.node.wait().expect("the node exits").success()
    }

    fn wait_until_ready(&self) {
        let began = Instant::now();
        loop {
            let is_listening = TcpStream::connect(self.operators).is_ok();
            if is_listening
                && self
                    .raw(self.operators, &get("/readyz"))
                    .starts_with("HTTP/1.1 200")
            {
                return;
            }
            assert!(began.elapsed() < TIMEOUT, "the node is not ready");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.node.kill().ok();
        self.node.wait().ok();
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// Opens a connection with a read timeout.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("a timeout can be set");
    stream
}

/// Reads until the end of the stream.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The value of a header in a raw response.
pub fn header<'a>(response: &'a str, name: &str) -> Option<&'a str> {
    let head = response.split("\r\n\r\n").next()?;
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// The bytes of a `GET` request.
pub fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").into_bytes()
}

/// An address with a port that no other test of this process gets. Ports are below the range from
/// which the system assigns them, because a port of that range may be reassigned before it is used.
/// The check doesn't bind the port: a process that another test starts at that moment would inherit
/// the socket and keep it open until its program is loaded.
fn free_address() -> SocketAddr {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if std::net::TcpStream::connect(address).is_err() {
            return address;
        }
    }
}

fn start_upstream(address: SocketAddr, kind: UpstreamKind) {
    let listener = task::block_on(TcpListener::bind(address)).expect("a free port");
    match kind {
        UpstreamKind::Working(service_us) => {
            let cfg = upstream::Config {
                slots: 4,
                queue: 16,
                service_us,
                noise: 0.0,
                open_us: 0,
                cold: (1.0, 0),
                seed: 1,
                node: None,
                next_host: String::new(),
            };
            let ledger = Ledger::open(None).expect("no file is opened");
            task::spawn(Upstream::new(cfg, ledger).serve(listener));
        }
        UpstreamKind::Raw(bytes) => {
            task::spawn(upstream::serve_raw(listener, bytes));
        }
    }
}

fn wait_until_listening(address: SocketAddr) {
    let began = Instant::now();
    while TcpStream::connect(address).is_err() {
        assert!(began.elapsed() < TIMEOUT, "nothing listens on {address}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn set_vms(platform: SocketAddr, peers: SocketAddr, operators: SocketAddr) {
    let vms = format!(
        "[{{\"name\":\"vm-1\",\"hall\":\"north\",\"peers\":\"{peers}\",\
         \"operators\":\"{operators}\",\"leaving\":false}}]"
    );
    control(platform, "vms", &vms);
}

/// Sends a control request to the test double of the platform.
fn control(platform: SocketAddr, command: &str, body: &str) {
    let text = format!(
        "POST /control/{command} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = connect(platform);
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    assert!(read_all(&mut stream).starts_with("HTTP/1.1 200"));
}

fn apply_declarations(platform: SocketAddr) {
    let files = BTreeMap::from([
        ("services.ini".to_string(), SERVICES.to_string()),
        ("one.rhai".to_string(), POLICY.to_string()),
    ]);
    let plan = Plan {
        base: 0,
        bundle: Bundle { files },
        change: Change {
            id: "first".to_string(),
            who: "test".to_string(),
            when_ms: 0,
            why: "test".to_string(),
        },
        floor: 0,
    };
    let client = Client::new(vec![platform]);
    let outcome = task::block_on(operator::apply(&client, plan, 3));
    assert!(
        matches!(outcome, rollout::ApplyOutcome::Accepted(_)),
        "{outcome:?}"
    );
}
