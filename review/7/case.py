"""The operator's new version has a route whose traffic_split names nine services."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from lab import TROUBLE, CannotRun, Endpoint, configuration, route, run_case  # noqa: E402

APPLY_S = 3.0           # config_apply_ms of the small deployments
TICKETS = ("127.198.18.1", 8443)
DROPPED = ("127.198.18.1", 8080)
ADDED = ("127.198.18.2", 8443)
SPLIT = 9 if TROUBLE else 8


async def play(lab):
    balancers = [(lab.at(11), "semarang"), (lab.at(12), "solo"), (lab.at(13), "magelang")]
    sides = [(lab.at(31), "semarang", "desk"), (lab.at(32), "solo", "desk"),
             (lab.at(33), "magelang", "library")]
    seeds = [ip for ip, _ in balancers]
    lab.store.write("config", "main", configuration(
        7, [route("tickets", TICKETS, service="desk"), route("old", DROPPED, service="desk")],
        ["desk", "library"]))
    for i, (ip, zone) in enumerate(balancers):
        fields = lab.fields(f"frontend-{i}", "balancer", ip, zone, seeds=seeds)
        await lab.start("balancer", f"frontend-{i}", lab.write_settings("balancer", fields))
    for i, (ip, zone, service) in enumerate(sides):
        fields = lab.fields(f"side-{i}", "agent", ip, zone, service, seeds=seeds)
        await lab.start("agent", f"side-{i}", lab.write_settings("agent", fields))
        await Endpoint(lab, ip, service, f"i-{i}").start()
    await lab.route(seeds)
    await lab.wait_ready(seeds)
    await asyncio.sleep(10)

    for via in seeds:   # before the change, both routes are served
        for at in (TICKETS, DROPPED):
            f = lab.flow(at, via)
            if await f.open() != "open" or await f.ask("before") != "served":
                raise CannotRun("a route is not served before the change")

    services = ["desk", "library"] + [f"desk-{n}" for n in range(2, SPLIT + 1)]
    split = [{"service": "desk", "weight": 100}] + [
        {"service": f"desk-{n}", "weight": 0} for n in range(2, SPLIT + 1)]
    lab.store.write("config", "main", configuration(
        9, [route("tickets", TICKETS, traffic_split=split),
            route("new", ADDED, service="library")], services))
    acked = time.monotonic()
    lab.note(f"the store acknowledges version 9: a split over {len(split)} services, "
             "one route dropped, one added")
    await asyncio.sleep(APPLY_S + 1)

    broken = 0
    for _ in range(5):
        for via in seeds:
            for at, name in ((TICKETS, "tickets"), (DROPPED, "dropped"), (ADDED, "added")):
                f = lab.flow(at, via)
                age = time.monotonic() - acked
                state = await f.open()
                answer = await f.ask(name) if state == "open" else "-"
                wrong = (name == "dropped" and answer == "served") or (
                    name == "added" and state == "reset")
                broken += wrong
                lab.note(f"{age:6.3f} s after the acknowledgement, through {via}: the "
                         f"{name} route: {state}, {answer}{'  BROKEN' if wrong else ''}")
        await asyncio.sleep(1)
    return broken


run_case(HERE, play)
