"""Starts and stops a fleet of drumwheel processes on loopback, for the scripts in this directory.

Only the scripts start processes; no process of drumwheel starts another.
"""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "target", "release")
FLEET_KEY = "key-of-a-fleet-on-loopback"


def build():
    """Builds everything in release mode."""
    subprocess.run(["cargo", "build", "--release", "--workspace", "--quiet"], cwd=ROOT, check=True)


def fetch(url, data=None, headers=None, timeout=3.0):
    """Makes one HTTP call to a process of the fleet and returns the body."""
    req = urllib.request.Request(url, data=data, headers=headers or {})
    with urllib.request.urlopen(req, timeout=timeout) as res:
        return res.read()


def read_groups(example):
    """Reads the groups and their VMs from the services.ini of an example."""
    groups = {}
    name = None
    with open(os.path.join(example, "services.ini"), encoding="utf-8") as f:
        for line in f:
            line = line.strip()
            if line.startswith("[group "):
                name = line[len("[group "):-1]
            elif line.startswith("[") or "=" not in line:
                name = None if line.startswith("[") else name
            elif name and line.split("=")[0].strip() == "upstreams":
                groups[name] = line.split("=")[1].split()
    return groups


class Fleet:
    """A platform, upstreams with a local node each, and the files that they write."""

    def __init__(self, out, example, slots, halls, base_port=21000, service_us=5000, noise=0.5,
                 rule="expected", nested=False, queue=24, log_level="info", seed=1):
        self.out = out
        self.example = example
        self.slots = slots
        self.halls = halls
        self.base = base_port
        self.service_us = service_us
        self.noise = noise
        self.rule = rule
        self.nested = nested
        self.queue = queue
        self.log_level = log_level
        self.seed = seed
        self.groups = read_groups(example)
        self.vms = [vm for vms in self.groups.values() for vm in vms]
        self.processes = {}
        self.callers = []
        os.makedirs(out, exist_ok=True)
        self.key_file = os.path.join(out, "fleet.key")
        with open(self.key_file, "w", encoding="utf-8") as f:
            f.write(FLEET_KEY + "\n")

    # Addresses.

    def platform(self):
        return f"127.0.0.1:{self.base}"

    def port(self, vm, kind):
        offset = {"callers": 0, "peers": 1, "operators": 2, "upstream": 3}[kind]
        return self.base + 10 + self.vms.index(vm) * 4 + offset

    def address(self, vm, kind):
        return f"127.0.0.1:{self.port(vm, kind)}"

    def hall(self, vm):
        return self.halls[self.vms.index(vm) % len(self.halls)]

    def caller_addresses(self):
        return ",".join(self.address(vm, "callers") for vm in self.vms)

    def hosts(self):
        return ",".join(f"{group}.example" for group in self.groups)

    # Processes.

    def start(self, name, args, stdout=None):
        log = open(os.path.join(self.out, f"log-{name}.txt"), "ab")
        self.processes[name] = subprocess.Popen(
            args, stdin=subprocess.DEVNULL, stdout=stdout or log, stderr=log)
        return self.processes[name]

    def start_platform(self):
        self.start("platform", [f"{BIN}/standin-platform", "--listen", self.platform()])
        self.wait_for(f"http://{self.platform()}/control/stats")
        self.set_vms()

    def set_vms(self, leaving=()):
        rows = [{
            "name": vm, "hall": self.hall(vm), "peers": self.address(vm, "peers"),
            "operators": self.address(vm, "operators"), "leaving": vm in leaving,
        } for vm in self.vms]
        fetch(f"http://{self.platform()}/control/vms", json.dumps(rows).encode())

    def start_upstream(self, vm):
        args = [
            f"{BIN}/standin-upstream", "--listen", self.address(vm, "upstream"),
            "--slots", str(self.slots), "--queue", str(self.queue),
            "--service-us", str(self.service_us), "--noise", str(self.noise),
            "--seed", str(self.seed + self.vms.index(vm)),
            "--ledger", os.path.join(self.out, f"ledger-{vm}"),
        ]
        if self.nested:
            names = list(self.groups)
            group = next(g for g, vms in self.groups.items() if vm in vms)
            next_group = names[(names.index(group) + 1) % len(names)]
            args += ["--node", self.address(vm, "callers"), "--next-host", f"{next_group}.example"]
        self.start(f"upstream-{vm}", args)

    def start_node(self, vm):
        path = os.path.join(self.out, f"node-{vm}.ini")
        seeds = " ".join(self.address(other, "peers") for other in self.vms[:3] if other != vm)
        with open(path, "w", encoding="utf-8") as f:
            f.write(f"""[node]
vm = {vm}
hall = {self.hall(vm)}

[listen]
callers = {self.address(vm, "callers")}
peers = {self.address(vm, "peers")}
operators = {self.address(vm, "operators")}

[upstream]
address = {self.address(vm, "upstream")}
slots = {self.slots}

[platform]
addresses = {self.platform()}

[peers]
seeds = {seeds}
key = {FLEET_KEY}

[log]
level = {self.log_level}

[choice]
rule = {self.rule}
""")
        self.start(f"node-{vm}", [f"{BIN}/drumwheel-node", path])

    def start_all(self):
        self.start_platform()
        for vm in self.vms:
            self.start_upstream(vm)
        for vm in self.vms:
            self.start_node(vm)
        for vm in self.vms:
            self.wait_for(f"http://{self.address(vm, 'operators')}/livez")

    def apply(self, directory=None, base=0, who="operator", why="first", extra=()):
        return subprocess.run(
            [f"{BIN}/drumwheel", "apply", "--platform", self.platform(), "--base", str(base),
             "--who", who, "--why", why, "--key-file", self.key_file, "--format", "json",
             *extra, directory or self.example],
            capture_output=True, text=True, check=False)

    def wait_for(self, url, seconds=10.0):
        deadline = time.monotonic() + seconds
        while True:
            try:
                return fetch(url, timeout=1.0)
            except (OSError, urllib.error.URLError):
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.02)

    def status(self, vm):
        return json.loads(fetch(f"http://{self.address(vm, 'operators')}/status"))

    def wait_for_revision(self, revision, vms=None, seconds=10.0):
        """Returns the seconds until all of `vms` have at least `revision` in force, or None on timeout."""
        started_at = time.monotonic()
        remaining = set(vms or self.vms)
        while remaining:
            for vm in list(remaining):
                try:
                    if self.status(vm)["revision"] >= revision:
                        remaining.discard(vm)
                except (OSError, urllib.error.URLError):
                    pass
            if time.monotonic() - started_at > seconds:
                return None
            if remaining:
                time.sleep(0.01)
        return time.monotonic() - started_at

    def control(self, vm, switch):
        return json.loads(
            self.wait_for(f"http://{self.address(vm, 'upstream')}/control/{switch}"))

    def platform_control(self, path):
        fetch(f"http://{self.platform()}/control/{path}", data=b"")

    def platform_stats(self):
        return json.loads(fetch(f"http://{self.platform()}/control/stats"))

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop_planned(self, name, seconds=20.0):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=seconds)

    def caller(self, name, **options):
        options.setdefault("to", self.caller_addresses())
        options.setdefault("hosts", self.hosts())
        options.setdefault("outcomes", os.path.join(self.out, f"outcomes-{name}"))
        options.setdefault("prefix", name)
        args = [f"{BIN}/standin-caller"]
        for key, value in options.items():
            args += [f"--{key.replace('_', '-')}", str(value)]
        log = open(os.path.join(self.out, f"log-caller-{name}.txt"), "ab")
        process = subprocess.Popen(
            args, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=log, text=True)
        self.callers.append(process)
        return process

    def verdict(self):
        return subprocess.run([f"{BIN}/standin-verdict", self.out],
                              capture_output=True, text=True, check=False)

    def stop_all(self):
        for caller in self.callers:
            caller.kill()
            caller.wait()
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}


def wait_for_report(caller):
    """Waits for a caller and returns its report."""
    out, _ = caller.communicate()
    return json.loads(out)


def print_line(text):
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit("this file is a module for the scripts in this directory")
