"""A server of another service gets the address of one that crashed; then a node restarts."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
sys.dont_write_bytecode = True
from site_standin import Server, main

HOST = "clinic.example"
SERVICES = ["alpha", "beta", "alpha", "beta", "alpha", "beta"]


def config():
    def route(service):
        return {"host": HOST, "path_prefix": "/%s/" % service, "kind": "safe", "timeout": "1s",
                "target_latency": "400ms", "priority": 0, "service": service, "max_attempts": 2}

    service = {"health_path": "/health", "max_connections": 220}
    return {
        "version": 5, "routes": {"r-alpha": route("alpha"), "r-beta": route("beta")},
        "services": {"alpha": service, "beta": service},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                   "header_timeout": "3000ms", "idle_timeout": "15s"},
    }


async def case(site, trouble):
    await site.start_store()
    site.store.put("config", "main", config())
    servers = {}
    for index, service in enumerate(SERVICES):
        machine = site.add("m%d" % index, "hall-%s" % "ab"[index % 2], service)
        machine.start()
    for index, machine in enumerate(site.machines):
        servers[machine.name] = Server(site.log, machine.service, "i-%d" % index, machine)
        await servers[machine.name].start()
    for machine in site.machines:
        await site.until("%s is ready" % machine.name, machine.is_ready)

    async def serves(machine, service):
        _, answer = await site.request(machine, HOST, "/%s/warm" % service)
        return answer is not None and answer[0] == 200

    for machine in site.machines:
        for service in ("alpha", "beta"):
            await site.until("%s serves %s" % (machine.name, service),
                             lambda: serves(machine, service))

    async def clients(machine, service, pause):
        serial = 0
        while True:
            serial += 1
            asyncio.create_task(site.request(machine, HOST, "/%s/%d" % (service, serial)))
            await asyncio.sleep(pause)

    moved = site.machines[0]
    late = site.machines[3]
    tasks = [asyncio.create_task(clients(machine, service, 0.04 if machine is late else 0.1))
             for machine in site.machines for service in ("alpha", "beta")]
    await asyncio.sleep(4)
    all_servers = list(servers.values())
    if trouble:
        servers[moved.name].crash()
        await asyncio.sleep(2.5)
        moved.service = "beta"
        moved.render()
        site.log.add("platform: the settings of %s name the service beta" % moved.name)
        await asyncio.sleep(1.2)
        new = Server(site.log, "beta", "i-new", moved)
        await new.start()
        all_servers.append(new)
        await asyncio.sleep(2.0)
        late.kill()
        await asyncio.sleep(0.5)
        late.start()
    await asyncio.sleep(6)
    for task in tasks:
        task.cancel()
    broken = []
    for server in all_servers:
        for ident, method, target, _, _ in server.runs:
            if not target.startswith("/%s/" % server.service):
                broken.append("ROUTE: server %s of %s ran %s, %s %s" % (
                    server.id, server.service, ident, method, target))
    return broken


if __name__ == "__main__":
    main(case, HERE)
