"""Stand-ins that the cases share: the platform's store, servers, clients, a proxy, and a small site on
loopback addresses. They do what the users' pages say, and nothing else unless a case asks for it."""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "drumwheel-node")
TEMPLATE = os.path.join(ROOT, "platform", "settings.ini")
HOST = "site.example"
START = time.monotonic()
PROCESSES = []


class CannotRun(Exception):
    """The case could not be set up; its script exits with 2."""


def now():
    return time.monotonic() - START


class Record:
    """The record of one run: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def __call__(self, *parts):
        line = f"{now():8.3f} " + " ".join(str(part) for part in parts)
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()

    def say(self, *parts):
        self(*parts)
        print(*parts, flush=True)


_next_port = [20000 + (os.getpid() * 37) % 10000]


def free_port():
    while True:
        _next_port[0] += 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", _next_port[0]))
                return _next_port[0]
            except OSError:
                continue


# The platform's store -------------------------------------------------------------------------


class Store:
    """Objects by kind and name, with revisions, conditional writes and watches."""

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 0
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def reply(self, status, value=None):
                body = b"" if value is None else json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def handle_any(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                try:
                    self.reply(*store.answer(self.command, self.path, body))
                except OSError:
                    pass

            do_GET = do_POST = do_PUT = do_DELETE = handle_any

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        parts = path.split("/")
        if len(parts) < 3 or parts[1] != "objects":
            return 404, None
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "GET":
            return self.get(kind, name, query)
        return self.change(method, kind, name, json.loads(body) if body else {}, query)

    def get(self, kind, name, query):
        with self.changed:
            if name is not None:
                found = self.objects.get((kind, name))
                return (200, found) if found else (404, None)
            if "watch" not in query:
                items = [o for (k, n), o in sorted(self.objects.items())
                         if k == kind and n > query.get("after", "")]
                page = items[:500]
                return 200, {"items": page, "has_more": len(items) > 500, "current_rev": self.revision}
            after = int(query["watch"])
            until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
            while True:
                events = [e for r, k, e in self.events if r > after and k == kind]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                self.changed.wait(left)

    def change(self, method, kind, name, body, query):
        metadata = body.get("metadata") or {}
        name = name or metadata.get("name")
        with self.changed:
            key, before = (kind, name), self.objects.get((kind, name))
            condition = metadata.get("revision", query.get("revision"))
            if method == "POST" and before:
                return 409, before
            if method != "POST" and not before:
                return 404, None
            if before and condition is not None and int(condition) != before["metadata"]["revision"]:
                return 409, before
            if method == "DELETE":
                del self.objects[key]
                self.revision += 1
                self.events.append((self.revision, kind, {"deleted": True, "object": before}))
                self.changed.notify_all()
                return 200, before
            if before and before["spec"] == body.get("spec"):
                return 200, before
            return 200, self.put(kind, name, body.get("spec"))

    def put(self, kind, name, spec):
        with self.changed:
            self.revision += 1
            before = self.objects.get((kind, name))
            created = before["metadata"]["created_revision"] if before else self.revision
            found = {"metadata": {"name": name, "revision": self.revision, "created_revision": created,
                                  "finalizers": [], "deletion_requested": False},
                     "spec": spec, "status": None}
            self.objects[(kind, name)] = found
            self.events.append((self.revision, kind, {"deleted": False, "object": found}))
            self.changed.notify_all()
            return found


def route(service, kind, timeout="1200ms", target="600ms", attempts=2, priority=0):
    return {"host": HOST, "path_prefix": f"/{service}/", "kind": kind, "timeout": timeout,
            "target_latency": target, "priority": priority, "service": service,
            "max_attempts": attempts}


def config(version, routes, services, max_connections=260, idle_timeout="15s"):
    return {"version": version, "routes": routes,
            "services": {name: {"health_path": "/health", "max_connections": max_connections}
                         for name in services},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                       "header_timeout": "3000ms", "idle_timeout": idle_timeout}}


# HTTP ----------------------------------------------------------------------------------------


class Stream:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock, self.buf = sock, b""

    def fill(self):
        data = self.sock.recv(65536)
        self.buf += data
        return bool(data)

    def head(self):
        """The start line and headers (names in lower case); None when the peer has closed."""
        while b"\r\n\r\n" not in self.buf:
            if not self.fill():
                return None
        text, self.buf = self.buf.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def body(self, headers, is_answer=False):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return body
                body += self.exactly(size)
                self.exactly(2)
        if "content-length" in headers:
            return self.exactly(int(headers["content-length"]))
        if is_answer:
            while self.fill():
                pass
            body, self.buf = self.buf, b""
            return body
        return b""

    def line(self):
        while b"\r\n" not in self.buf:
            if not self.fill():
                raise ConnectionError("closed in a body")
        line, self.buf = self.buf.split(b"\r\n", 1)
        return line

    def exactly(self, count):
        while len(self.buf) < count:
            if not self.fill():
                raise ConnectionError("closed in a body")
        body, self.buf = self.buf[:count], self.buf[count:]
        return body


def connect(port, timeout=10):
    sock = socket.create_connection(("127.0.0.1", port), timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Client:
    """A client with one kept connection."""

    def __init__(self, port, record, timeout=10):
        self.port, self.record, self.timeout = port, record, timeout
        self.stream = None

    def close(self):
        if self.stream:
            self.stream.sock.close()
        self.stream = None

    def call(self, method, path, ident, deadline_ms, body=b""):
        """Sends one request; returns the status (0: the connection ended without an answer, -1: no
        connection, -2: no answer in time), headers and body."""
        try:
            if self.stream is None:
                self.stream = Stream(connect(self.port, self.timeout))
        except OSError as error:
            self.record("no connection", ident, error)
            return -1, {}, b""
        headers = [("Request-Id", ident), ("Deadline-Milliseconds", deadline_ms)]
        self.record("sent", ident, method, path, f"port {self.port}")
        try:
            self.stream.sock.sendall(request_bytes(method, path, headers, body))
            head = self.stream.head()
            if head is None:
                raise ConnectionError("closed without an answer")
            line, headers = head
            answer = self.stream.body(headers, is_answer=True)
        except socket.timeout:
            self.record("no answer in time", ident)
            self.close()
            return -2, {}, b""
        except (OSError, ValueError) as error:
            self.record("ended without an answer", ident, error)
            self.close()
            return 0, {}, b""
        status = int(line.split(" ")[1])
        self.record("answered", ident, status, headers.get("drumwheel-reason", ""),
                    headers.get("server-signature", ""))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, headers, answer


# Servers -------------------------------------------------------------------------------------


class Server:
    """A server beside a node: it registers there, answers health checks at once, and runs requests."""

    def __init__(self, record, ident, service, control, slots=18, work_s=0.1, beat_s=1.5):
        self.record, self.ident, self.service, self.control = record, ident, service, control
        self.slots, self.work_s, self.beat_s = slots, work_s, beat_s
        self.born = int(time.time() * 1000)
        self.sequence, self.running, self.state = 0, 0, "ready"
        self.lock = threading.Lock()
        self.runs = []
        self.ended = False
        self.sockets = set()
        self.answer = self.sound_answer

    def start(self, port=None):
        self.port = port or free_port()
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beats, daemon=True).start()
        return self

    def accept(self):
        while not self.ended:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        stream = Stream(sock)
        try:
            while not self.ended:
                head = stream.head()
                if head is None:
                    return
                line, headers = head
                method, path, _ = line.split(" ")
                body = stream.body(headers)
                if path == "/health":
                    self.health(sock)
                    continue
                expected = headers.get("expected-instance")
                if expected and expected != self.ident:
                    self.record("server", self.ident, "rejects with 421", headers.get("request-id"))
                    self.reply(sock, 421, headers.get("request-id", "-"), extra="Not-Executed: 1\r\n")
                    continue
                if not self.answer(sock, method, path, headers, body):
                    return
        except (OSError, ValueError):
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def load(self):
        return f"Server-Load: {self.running},0,{self.slots},100\r\n"

    def health(self, sock):
        status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
        sock.sendall((f"HTTP/1.1 {status}\r\nInstance-Id: {self.ident}\r\n{self.load()}"
                      "Content-Length: 0\r\n\r\n").encode())

    def begin(self, headers, method, path, body=b""):
        ident = headers.get("request-id", "-")
        with self.lock:
            self.running += 1
            self.runs.append((now(), ident, method, path))
        self.record("server", self.ident, "runs", ident, method, path,
                    f"deadline {headers.get('deadline-milliseconds')}")
        return ident

    def end_run(self):
        with self.lock:
            self.running -= 1

    def sound_answer(self, sock, method, path, headers, body):
        ident = self.begin(headers, method, path, body)
        time.sleep(self.work_s)
        self.end_run()
        self.reply(sock, 200, ident, signed=True, body=f"answer to {ident}\n".encode())
        return True

    def reply(self, sock, status, ident, body=b"", extra="", signed=False):
        phrase = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Error")
        signature = f"Server-Signature: {self.ident}.{ident}\r\n" if signed else ""
        head = (f"HTTP/1.1 {status} {phrase}\r\nRequest-Id: {ident}\r\n{signature}{self.load()}{extra}"
                f"Content-Length: {len(body)}\r\n\r\n")
        sock.sendall(head.encode() + body)

    def report(self, call, body, port=None):
        """Sends one registration; returns whether it was acknowledged within a second."""
        try:
            sock = connect(port or self.control, timeout=1)
            data = json.dumps(body).encode()
            sock.sendall((f"POST /rpc?call={call}&of={self.ident} HTTP/1.1\r\nHost: control\r\n"
                          "Content-Type: application/json\r\nConnection: close\r\n"
                          f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
            head = Stream(sock).head()
            sock.close()
            return bool(head) and head[0].split(" ")[1].startswith("2")
        except OSError:
            return False

    def beat(self):
        self.sequence += 1
        body = {"address": f"127.0.0.1:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": "hall-a", "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "cold_remaining": "0ms"}}
        return self.report("instances.heartbeat", body)

    def beats(self):
        while not self.ended:
            acknowledged = self.beat()
            time.sleep(self.beat_s if acknowledged else 0.3)

    def end(self):
        self.ended = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for sock in list(self.sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# Machines ------------------------------------------------------------------------------------


def fill(template, values):
    """Fills the settings template as the platform does."""
    def section(match):
        return match.group(2) if values.get(match.group(1)) is not None else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values.get(m.group(1), "")), text)


BOUNDS = {"bounds.probes_per_s": 60, "bounds.config_apply": "2000ms", "bounds.grace": "6s",
          "bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 62,
          "bounds.retry_window": "10s", "heartbeat_interval": "1500ms", "bootstrap": "true"}


class Machine:
    """A machine: one node and the server beside it."""

    def __init__(self, site, index, service, zone):
        self.site, self.index, self.service, self.zone = site, index, service, zone
        self.outbound, self.ready, self.control = free_port(), free_port(), free_port()
        self.application, self.peer, self.operators = free_port(), free_port(), free_port()
        self.path = os.path.join(site.folder, f"{index}.ini")
        self.process = None
        self.starts = 0

    def write_settings(self, bootstrap, store_port):
        values = dict(BOUNDS)
        values.update(self.site.bounds)
        values.update({"node_name": f"sidecar-{self.zone}-{self.index}", "zone": self.zone,
                       "service": self.service, "ip": "127.0.0.1", "bootstrap": bootstrap,
                       "listen.outbound": f"127.0.0.1:{self.outbound}",
                       "listen.ready": f"127.0.0.1:{self.ready}",
                       "listen.control": f"127.0.0.1:{self.control}",
                       "application_address": f"127.0.0.1:{self.application}",
                       "internal_port_range.0": self.peer, "internal_port_range.1": self.operators,
                       "platform.address": f"127.0.0.1:{store_port}"})
        with open(TEMPLATE) as template:
            text = fill(template.read(), values)
        if getattr(self, "announced", None):
            text = text.replace("[listen]\n", f"[listen]\npeers_told = 127.0.0.1:{self.announced}\n")
        with open(self.path + ".new", "w") as file:
            file.write(text)
        os.rename(self.path + ".new", self.path)

    def start(self, bootstrap="false", store_port=None):
        self.write_settings(bootstrap, store_port or getattr(self, "store_port", None)
                            or self.site.store.address[1])
        log = open(os.path.join(self.site.folder, f"{self.index}.log"), "a")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["DRUMWHEEL_CONFIG"] = self.path
        self.process = subprocess.Popen([PROGRAM], env=environment, cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        self.starts += 1
        PROCESSES.append(self.process)

    def signal(self, which):
        try:
            self.process.send_signal(which)
        except ProcessLookupError:
            pass

    def kill(self):
        if self.process and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self):
        try:
            sock = connect(self.ready, timeout=1)
            sock.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = Stream(sock).head()
            sock.close()
            return bool(head) and head[0].split(" ")[1] == "200"
        except OSError:
            return False

    def memory_kb(self):
        """Resident memory of the process now, in KB."""
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024
        except (OSError, IndexError, ValueError):
            return 0


class Site:
    """A site: a store, and one machine per listed service."""

    def __init__(self, record, services, routes, bounds=None, slots=18, work_s=0.1, setup=None,
                 bootstrap="true", max_connections=260):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the node's program is not built")
        self.record = record
        self.bounds = bounds or {}
        self.folder = tempfile.mkdtemp(prefix="drumwheel-review-")
        self.store = Store()
        self.routes, self.names = routes, sorted(set(services))
        self.store.put("config", "main", config(3, routes, self.names, max_connections))
        self.machines, self.servers = [], []
        halls = ["hall-a", "hall-b", "hall-c"]
        for index, service in enumerate(services):
            self.machines.append(Machine(self, index, service, halls[index % len(halls)]))
        if setup:
            setup(self)
        for machine in self.machines:
            machine.start(bootstrap)
        for machine in self.machines:
            server = Server(record, f"i-{machine.index:04x}", machine.service, machine.control, slots,
                            work_s)
            self.servers.append(server.start(machine.application))

    def until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while not all(machine.is_ready() for machine in self.machines):
            if time.monotonic() > until:
                raise CannotRun("a node did not become ready")
            time.sleep(0.1)

    def until_serving(self, path, method="GET", limit_s=20):
        until = time.monotonic() + limit_s
        for machine in self.machines:
            client, tries = Client(machine.outbound, self.record, 3), 0
            while client.call(method, path, f"warm-{path}-{machine.index}-{tries}".replace("/", "-"),
                              1000)[0] != 200:
                tries += 1
                if time.monotonic() > until:
                    raise CannotRun(f"machine {machine.index} does not serve {path}")
                time.sleep(0.1)
            client.close()

    def end(self):
        for machine in self.machines:
            machine.signal(signal.SIGCONT) if machine.process else None
            machine.kill()
        for server in self.servers:
            server.end()
        self.store.server.shutdown()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Proxy:
    """Passes bytes between a port and a target. Connections can be held silent: nothing passes either
    way, and nothing is closed."""

    def __init__(self, target_port, port=None):
        self.target, self.port = target_port, port or free_port()
        self.pairs, self.lock = [], threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                inner, _ = self.listener.accept()
            except OSError:
                return
            pair = {"silent": False, "sockets": [inner]}
            with self.lock:
                self.pairs.append(pair)
            threading.Thread(target=self.open, args=(pair, inner), daemon=True).start()

    def open(self, pair, inner):
        try:
            outer = socket.create_connection(("127.0.0.1", self.target), timeout=5)
            outer.settimeout(None)
        except OSError:
            inner.close()
            return
        for sock in (inner, outer):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair["sockets"].append(outer)
        threading.Thread(target=self.pump, args=(pair, inner, outer), daemon=True).start()
        self.pump(pair, outer, inner)

    def pump(self, pair, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if pair["silent"]:
                    return
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            if not pair["silent"]:
                for sock in pair["sockets"]:
                    try:
                        sock.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass

    def silence(self):
        """All connections that are open now go silent for good."""
        with self.lock:
            for pair in self.pairs:
                pair["silent"] = True
            count = len(self.pairs)
            self.pairs = []
        return count


def main(case, trouble):
    """Runs `case(record, trouble)`, which returns whether the rule held, and exits as agreed."""
    import sys
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    record.say("run with the disruption" if trouble else "run without the disruption")
    code = 2
    try:
        held = case(record, trouble)
        record.say("the rule held" if held else "THE RULE WAS BROKEN")
        code = 0 if held else 1
    except CannotRun as error:
        record.say("the case could not run:", error)
    except Exception as error:  # the stand-ins failed, not the node
        record.say("the case could not run:", repr(error))
    for process in PROCESSES:
        if process.poll() is None:
            process.kill()
            process.wait()
    sys.stdout.flush()
    os._exit(code)
