"""A client address and port that was used before is sent to the machine that
served it then, though another service has that address by now."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from world import (Case, Client, Endpoint, Flow, Node, REUSE_AFTER_S, FLOW_TTL_S, TROUBLE, Unable,
                   main)

PORTS = range(20000, 20048)


class Reused(Case):
    runs = 0

    def on_run(self, endpoint, key, attempt, p):
        self.runs += 1
        self.record("%s (%s) runs %s from port %d to %s:%d" % (
            endpoint.name, endpoint.service, attempt, key[1], key[2], key[3]))
        allowed = self.allowed[(key[2], key[3])]
        if endpoint.service not in allowed:
            self.violation("ROUTE: %s runs at %s of %s; the route went only to %s" % (
                attempt, endpoint.name, endpoint.service, ", ".join(sorted(allowed))))

    async def play(self):
        zone = "semarang"
        desk, library = (self.addr(50, 1), 8443), (self.addr(50, 2), 8443)
        self.allowed = {desk: {"desk"}, library: {"library"}}
        self.store.configure(3, {desk: "desk", library: "library"}, ["desk", "library"])
        balancers = [Node(self, "balancer", "frontend-%d" % i, self.addr(20, i), zone) for i in (1, 2)]
        agents, endpoints = [], []
        for i, service in ((1, "desk"), (2, "desk"), (3, "desk"), (4, "desk"), (5, "library")):
            agents.append(Node(self, "agent", "side-%d" % i, self.addr(30, i), zone, service))
            endpoints.append(Endpoint(self, "i-%d" % i, service, self.addr(30, i), zone))
        for n in balancers + agents:
            await n.run()
        for e in endpoints:
            await e.run()
        self.router.run()
        await self.wait_ready(2)
        await asyncio.sleep(3)
        client = Client(self, 1, zone)
        await client.run()

        await self.requests(client, desk, "first")
        closed_at = self.now()
        if self.runs < len(PORTS) // 2:
            raise Unable("only %d requests ran before the disruption" % self.runs)

        if TROUBLE:
            # One of four endpoints crashes for good; its node receives SIGTERM, and the
            # machine goes. Later the address belongs to a machine of the other
            # service.
            endpoints[0].vanish()
            await agents[0].term()
            agents[0].remove()
            await asyncio.sleep(REUSE_AFTER_S + 8)
            agent = Node(self, "agent", "side-6", self.addr(30, 1), zone, "library")
            await agent.run()
            await Endpoint(self, "i-6", "library", self.addr(30, 1), zone).run()

        # All first flows are closed and older than flow_ttl_s.
        await asyncio.sleep(closed_at + FLOW_TTL_S + 5 - self.now())
        before = self.runs
        await self.requests(client, desk, "second")
        if self.runs - before < len(PORTS) // 2:
            raise Unable("only %d requests ran after the disruption" % (self.runs - before))

    async def requests(self, client, vip, label):
        for port in PORTS:
            attempt = "%s-%d" % (label, port)
            flow = Flow(client, port, *vip)
            opened = await flow.open()
            reply = await flow.request(attempt) if opened else None
            self.record("client: %s: %s" % (attempt, "opened, %s" % (
                reply.split(b"\r\n\r\n")[-1].decode() if reply else "no answer") if opened else flow.state))
            await flow.close()
            await asyncio.sleep(0.02)


main(Reused, HERE)
