//! One node with its surroundings, on free ports of the loopback address.

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

/// Longest wait for anything to come up.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// First port of these tests.
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

/// What stands where the upstream should.
pub enum Beside {
    /// The stand-in with the given service time in microseconds.
    Upstream(u64),
    /// A socket that answers every request with these bytes and closes.
    Bytes(Vec<u8>),
}

/// A running node.
pub struct Fleet {
    node: Child,
    /// Callers' address.
    pub callers: SocketAddr,
    /// Peers' address.
    pub peers: SocketAddr,
    /// Operators' address.
    pub operators: SocketAddr,
    dir: PathBuf,
}

impl Fleet {
    /// Starts everything and waits until the first revision is in force.
    pub fn start(name: &str, beside: Beside) -> Fleet {
        Fleet::start_on_slow_platform(name, beside, 0)
    }

    /// The same with a platform each of whose answers takes so many milliseconds.
    pub fn start_on_slow_platform(name: &str, beside: Beside, slow_ms: u64) -> Fleet {
        let dir = std::env::temp_dir().join(format!("drumwheel-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for the test");
        let platform = free();
        let upstream = free();
        let (callers, peers, operators) = (free(), free(), free());
        task::spawn(Platform::default().app().listen(platform));
        start_beside(upstream, beside);
        wait_for(platform);
        set_vms(platform, peers, operators);
        apply(platform);
        control(platform, &format!("slow/{slow_ms}"), "");
        let settings = dir.join("node.ini");
        let text = format!(
            "[node]\nvm = vm-1\nhall = north\n\n[listen]\ncallers = {callers}\npeers = {peers}\n\
             operators = {operators}\n\n[upstream]\naddress = {upstream}\nslots = 4\n\n\
             [platform]\naddresses = {platform}\n\n[peers]\nkey = {FLEET_KEY}\n\n\
             [limits]\nbody_bytes = 65536\n\n[log]\nlevel = warn\n"
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
            dir,
        };
        fleet.wait_until_ready();
        fleet
    }

    /// Sends raw bytes to an address and returns all that comes back.
    pub fn raw(&self, address: SocketAddr, bytes: &[u8]) -> String {
        let mut stream = connect(address);
        stream.write_all(bytes).expect("the bytes are taken");
        read_all(&mut stream)
    }

    /// A request on a connection that closes after it.
    pub fn request(&self, method: &str, headers: &str, body: &str) -> String {
        let text = format!(
            "{method} / HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\n\
             Content-Length: {}\r\n{headers}\r\n{body}",
            body.len()
        );
        self.raw(self.callers, text.as_bytes())
    }

    /// Whether the node serves a plain request.
    pub fn is_alive(&self) -> bool {
        self.raw(self.operators, &get("/livez"))
            .starts_with("HTTP/1.1 200")
    }

    /// A counter or gauge, summed over its labels.
    pub fn metric(&self, name: &str) -> f64 {
        self.raw(self.operators, &get("/metrics"))
            .lines()
            .filter(|line| line.starts_with(name))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// Asks the node to stop as planned.
    pub fn terminate(&self) {
        let pid = self.node.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the node's end; returns whether it ended with success.
    pub fn wait(&mut self) -> bool {
        self.node.wait().expect("the node ends").success()
    }

    fn wait_until_ready(&self) {
        let began = Instant::now();
        loop {
            let up = TcpStream::connect(self.operators).is_ok();
            if up
                && self
                    .raw(self.operators, &get("/readyz"))
                    .starts_with("HTTP/1.1 200")
            {
                return;
            }
            assert!(began.elapsed() < PATIENCE, "the node is not ready");
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

/// A connection with a limit on the wait for bytes.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("a timeout can be set");
    stream
}

/// Reads to the end of the stream.
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

/// A plain `GET`.
pub fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").into_bytes()
}

/// A port that no other test of this process gets, below those that the system hands out: a port
/// that was free a moment ago may otherwise be another test's by now. It is not bound to find out: a
/// process that another test starts just then would hold the socket until its program is loaded.
fn free() -> SocketAddr {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if std::net::TcpStream::connect(address).is_err() {
            return address;
        }
    }
}

fn start_beside(address: SocketAddr, beside: Beside) {
    let listener = task::block_on(TcpListener::bind(address)).expect("a free port");
    match beside {
        Beside::Upstream(service_us) => {
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
        Beside::Bytes(bytes) => {
            task::spawn(upstream::serve_raw(listener, bytes));
        }
    }
}

fn wait_for(address: SocketAddr) {
    let began = Instant::now();
    while TcpStream::connect(address).is_err() {
        assert!(began.elapsed() < PATIENCE, "nothing listens on {address}");
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

/// Tells the platform's stand-in what to do.
fn control(platform: SocketAddr, what: &str, body: &str) {
    let text = format!(
        "POST /control/{what} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = connect(platform);
    stream.write_all(text.as_bytes()).expect("it is taken");
    assert!(read_all(&mut stream).starts_with("HTTP/1.1 200"));
}

fn apply(platform: SocketAddr) {
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
