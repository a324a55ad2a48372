"""A bound in the settings files becomes a fraction; then the machines are restarted in turn."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from lab import TROUBLE, CannotRun, Endpoint, configuration, route, run_case  # noqa: E402

TICKETS = ("127.198.18.1", 8443)
ZONES = ["semarang", "solo", "magelang"]
FLOW_TTL_S = 59.5 if TROUBLE else 59
RECOVERY_S = 12
STARTS = 3


async def play(lab):
    fronts = [lab.at(n) for n in (11, 12, 13)]
    sides = [lab.at(n) for n in (31, 32, 33)]
    lab.store.write("config", "main", configuration(
        7, [route("tickets", TICKETS, service="desk")], ["desk"]))

    def settings(kind, i, bounds=None):
        ip, name = (fronts if kind == "balancer" else sides)[i], f"{kind}-{i}"
        return lab.write_settings(kind, lab.fields(
            name, kind, ip, ZONES[i], "desk", bounds, seeds=fronts))

    for i in range(3):
        await lab.start("balancer", f"balancer-{i}", settings("balancer", i))
    for i, ip in enumerate(sides):
        await lab.start("agent", f"agent-{i}", settings("agent", i))
        await Endpoint(lab, ip, "desk", f"i-{i}").start()
    await lab.route(fronts)
    await lab.wait_ready(fronts)
    await asyncio.sleep(10)

    async def served(of, name):
        good = 0
        for n in range(of):
            f = lab.flow(TICKETS)
            good += await f.open() == "open" and await f.ask(f"{name}-{n}") == "served"
            await asyncio.sleep(0.05)
        return good
    if await served(20, "before") != 20:
        raise CannotRun("requests are not served before the change")

    lab.note(f"the settings files change: flow_ttl_s is {FLOW_TTL_S}; SIGHUP to all")
    for kind in ("balancer", "agent"):
        for i in range(3):
            settings(kind, i, {"flow_ttl_s": FLOW_TTL_S})
            lab.processes[f"{kind}-{i}"].send_signal(signal.SIGHUP)
    await asyncio.sleep(2)

    broken = 0
    for kind in ("balancer", "agent"):
        for i in range(3):
            name = f"{kind}-{i}"
            await lab.end(name, signal.SIGTERM)
            for n in range(STARTS):   # the platform starts a process again that exits
                p = await lab.start(kind, name, os.path.join(lab.dir, f"{name}.json"))
                await asyncio.sleep(1)
                if p.returncode is None:
                    break
                lab.note(f"{name} has ended by itself, exit code {p.returncode}, "
                         f"start {n + 1}")
            else:
                lab.note(f"{name} does not start  BROKEN")
                broken += 1
    back = time.monotonic()
    await asyncio.sleep(RECOVERY_S)
    good = await served(20, "after")
    lab.note(f"{time.monotonic() - back:.1f} s after the last restart: {good} of 20 requests "
             "were served")
    return broken


run_case(HERE, play)
