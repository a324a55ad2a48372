"""The same cause as case.py, shown by rule CONFIG (usage: python3 config.py;
exit codes and TROUBLE as in run.sh; it writes record-config.txt).

A client address and port that was used before is still served by the old
service, long after a configuration has moved the route to another one."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from world import (CONFIG_APPLY_MS, Case, Client, Endpoint, Flow, FLOW_TTL_S, Node, TROUBLE, Unable,
                   main)

PORTS = range(20000, 20024)
FRESH_PORTS = range(21000, 21024)


class Moved(Case):
    record_name = "record-config.txt"
    runs = 0
    moved_at = None

    def on_opening(self, endpoint, key, p):
        self.record("%s (%s) takes an opening packet from port %d" % (endpoint.name, endpoint.service, key[1]))

    def on_run(self, endpoint, key, attempt, p):
        self.runs += 1
        self.record("%s (%s) runs %s" % (endpoint.name, endpoint.service, attempt))
        late = self.moved_at is not None and self.sent[attempt] > self.moved_at + CONFIG_APPLY_MS / 1000
        if late and endpoint.service != "library":
            self.violation("CONFIG: %s, sent %.1f s after the acknowledgement of version 7, runs at %s of %s" % (
                attempt, self.sent[attempt] - self.moved_at, endpoint.name, endpoint.service))

    async def play(self):
        zone = "semarang"
        vip, other = (self.addr(50, 1), 8443), (self.addr(50, 2), 8443)
        self.sent = {}
        self.store.configure(3, {vip: "desk", other: "library"}, ["desk", "library"])
        nodes = [Node(self, "balancer", "frontend-%d" % i, self.addr(20, i), zone) for i in (1, 2)]
        endpoints = []
        for i, service in ((1, "desk"), (2, "desk"), (3, "library"), (4, "library")):
            nodes.append(Node(self, "agent", "side-%d" % i, self.addr(30, i), zone, service))
            endpoints.append(Endpoint(self, "i-%d" % i, service, self.addr(30, i), zone))
        for n in nodes:
            await n.run()
        for e in endpoints:
            await e.run()
        self.router.run()
        await self.wait_ready(2)
        await asyncio.sleep(3)
        client = Client(self, 1, zone)
        await client.run()

        await self.requests(client, vip, "first")
        closed_at = self.now()
        if self.runs < len(PORTS) // 2:
            raise Unable("only %d requests ran before the change" % self.runs)
        await asyncio.sleep(5)
        if TROUBLE:
            self.store.configure(7, {vip: "library", other: "library"}, ["desk", "library"])
            self.moved_at = self.now()

        # All first flows are closed and older than flow_ttl_s.
        await asyncio.sleep(closed_at + FLOW_TTL_S + 5 - self.now())
        before = self.runs
        await self.requests(client, vip, "second")
        await self.requests(client, vip, "fresh", FRESH_PORTS)
        if self.runs - before < len(PORTS) // 2:
            raise Unable("only %d requests ran after the change" % (self.runs - before))

    async def requests(self, client, vip, label, ports=PORTS):
        for port in ports:
            attempt = "%s-%d" % (label, port)
            self.sent[attempt] = self.now()
            flow = Flow(client, port, *vip)
            opened = await flow.open()
            reply = await flow.request(attempt) if opened else None
            self.record("client: %s: %s" % (attempt, "opened, %s" % (
                reply.split(b"\r\n\r\n")[-1].decode() if reply else "no answer") if opened else flow.state))
            await flow.close()
            await asyncio.sleep(0.02)


main(Moved, HERE)
