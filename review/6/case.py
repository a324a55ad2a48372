"""All balancers leave, and others are added at new addresses, while clients keep flows."""
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
FLOWS = 120
TOUCH_S = 4.0    # stability_window_ms of the small deployments


async def play(lab):
    old = [lab.at(n) for n in (11, 12, 13)]
    new = [lab.at(n) for n in (21, 22, 23)]
    sides = [lab.at(31 + n) for n in range(9)]
    lab.store.write("config", "main", configuration(
        7, [route("tickets", TICKETS, service="desk")], ["desk"]))
    for i, ip in enumerate(old):
        fields = lab.fields(f"frontend-{i}", "balancer", ip, ZONES[i], seeds=old)
        await lab.start("balancer", f"frontend-{i}", lab.write_settings("balancer", fields))
    endpoints = []
    for i, ip in enumerate(sides):
        fields = lab.fields(f"side-{i}", "agent", ip, ZONES[i % 3], "desk", seeds=old)
        await lab.start("agent", f"side-{i}", lab.write_settings("agent", fields))
        endpoints.append(Endpoint(lab, ip, "desk", f"i-{i}"))
        await endpoints[-1].start()
        await asyncio.sleep(0.3)    # machines start one after the other
    await lab.route(old)
    await lab.wait_ready(old)
    await asyncio.sleep(10)

    flows = []
    for n in range(FLOWS):
        f = lab.flow(TICKETS)
        if await f.open() != "open" or await f.ask(f"first-{n}") != "served":
            raise CannotRun("a flow is not served at the start")
        flows.append(f)
        await asyncio.sleep(0.02)

    if TROUBLE:
        await asyncio.gather(*(lab.end(f"frontend-{i}", signal.SIGTERM) for i in range(3)))
        lab.unroute(old)
        for i, ip in enumerate(new):
            fields = lab.fields(f"frontend-{i + 3}", "balancer", ip, ZONES[i], seeds=old)
            await lab.start("balancer", f"frontend-{i + 3}",
                            lab.write_settings("balancer", fields))
        await lab.route(new)
    began = time.monotonic()

    broken = in_touch = 0
    for n, f in enumerate(flows):   # each client uses its flow again, one after the other
        await asyncio.sleep(max(0, began + 1 + n * 0.07 - time.monotonic()))
        age = time.monotonic() - began

        async def again(f=f, n=n, age=age):
            nonlocal broken, in_touch
            answer = await f.ask(f"again-{n}", 2.0)
            if answer == "reset" and f.own_reset:
                broken += 1
                in_touch += age > TOUCH_S
                lab.note(f"{age:6.3f} s after the new balancers began, port {f.sport}: reset "
                         "by the system, its endpoint lives  BROKEN")
            elif answer != "served":
                lab.note(f"{age:6.3f} s after the new balancers began, port {f.sport}: "
                         f"{answer}")
        asyncio.create_task(again())
    await asyncio.sleep(4)
    lab.note(f"{broken} of {FLOWS} open flows were reset, {in_touch} of them by a request "
             f"sent more than {TOUCH_S} s after the new balancers began")
    return broken


run_case(HERE, play)
