"""All nodes are killed right after one has acknowledged that its server leaves: does the leaving server get work?"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import site_ as standin  # noqa: E402

DRAIN_S = 2.0
CONNECTIVITY_S = 3.0
HEARTBEAT_LATE_S = 5.0
RESTART_S = 0.5
SERVES_ON_S = 8.0  # after the acknowledgement


class LeavingServer(standin.Server):
    """Never says `draining`: it deregisters first, serves on, and ends. Its answers and its health check say
    that it leaves."""

    def load(self):
        notice = "" if self.state == "ready" else "Server-Leaving: 1\r\n"
        return super().load() + notice


def case(record, trouble):
    services = ["bidhouse", "bidhouse", "bidhouse", "pricebook", "pricebook", "pricebook"]
    routes = {"r-bid": standin.route("bidhouse", "unsafe", timeout="1000ms", target="250ms"),
              "r-price": standin.route("pricebook", "safe", timeout="800ms", target="200ms")}
    site = standin.Site(record, services, routes, slots=6, work_s=0.08)
    stop = threading.Event()
    counts, lock, lost = {}, threading.Lock(), []

    def client(machine, number):
        connection, count = standin.Client(machine.outbound, record, 3), 0
        while not stop.is_set():
            ident = f"bid-{machine.index}-{number}-{count}"
            count += 1
            status = connection.call("POST", "/bidhouse/x", ident, 1000, b"bid")[0]
            with lock:
                counts[status] = counts.get(status, 0) + 1
                if status in (0, 502, 504):
                    lost.append(ident)
            time.sleep(0.2)

    try:
        leaving = site.servers[0]
        leaving.__class__ = LeavingServer
        site.until_ready()
        site.until_serving("/bidhouse/x", "POST")
        time.sleep(3)
        for machine in site.machines:
            for number in range(2):
                threading.Thread(target=client, args=(machine, number), daemon=True).start()
        time.sleep(1.5)

        # The last heartbeat before it leaves is on its way for seconds.
        leaving.sequence += 1
        late = {"address": f"127.0.0.1:{leaving.port}", "born": leaving.born,
                "info": {"service": leaving.service, "version": "v1", "zone": "hall-a", "slots": 6},
                "status": {"state": "ready", "sequence": leaving.sequence, "cold_remaining": "0ms"}}
        leaving.beat = lambda: True  # no heartbeat after it has deregistered
        sent_late = time.monotonic()
        record.say("a heartbeat of the server is sent, and will be late")
        time.sleep(0.1)
        leaving.state = "leaving"
        acknowledged = leaving.report("instances.deregister", {"born": leaving.born})
        acked_at, acked = standin.now(), time.monotonic()
        if not acknowledged:
            raise standin.CannotRun("the server's end was not acknowledged")
        record.say("the server has deregistered, and its node has acknowledged it")
        if trouble:
            time.sleep(0.1)
            record.say("all nodes are killed")
            for machine in site.machines:
                machine.kill()
            time.sleep(RESTART_S)
            for machine in site.machines:
                machine.start()
            restarted = standin.now()
        time.sleep(max(0.0, sent_late + HEARTBEAT_LATE_S - time.monotonic()))
        answer = leaving.report("instances.heartbeat", late)
        record.say(f"the late heartbeat arrives; acknowledged: {answer}")
        time.sleep(max(0.0, acked + SERVES_ON_S - time.monotonic()))
        lost_before = len(lost)
        leaving.end()
        record.say("the server that left ends")
        time.sleep(2)
        stop.set()
        time.sleep(1.2)
    finally:
        site.end()
    broken = []
    for at, ident, method, _ in leaving.runs:
        if at <= acked_at + DRAIN_S:
            continue
        in_touch = not trouble or at > restarted + CONNECTIVITY_S
        record.say(f"{ident} reaches the server that left {at - acked_at:.2f} s after the acknowledgement;"
                   f" machines in touch: {in_touch}")
        if in_touch:
            broken.append(ident)
    record.say("answers by status:", dict(sorted(counts.items())))
    record.say(f"requests that reached it later than drain, by machines in touch: {len(broken)}")
    return not broken


# TROUBLE=0 does the same without the disruption.
standin.main(case, trouble=os.environ.get("TROUBLE", "1") != "0")
