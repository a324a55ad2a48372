"""Stand-ins for a small deployment on loopback addresses.

One process plays the platform's store, the routers, the endpoints and the
clients. The balancers and agents are the project's own programs, started as
separate processes with the commands of the deploy file and with settings that
are rendered from the deploy file's templates.

Every machine has an address 127.NET.KIND.N. NET is drawn until all ports that
are needed on it are free.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "persimmonwinch")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds and settings of the small deployment (site bpgj-lb).
DRAIN_MS = 3000
CONFIG_APPLY_MS = 3000
ROLLBACK_SLACK_MS = 250
STABILITY_WINDOW_MS = 4000
REUSE_AFTER_S = 2
FLOW_TTL_S = 60
REORDER_WINDOW_MS = 2000
HEARTBEAT_MS = 1200
GRACE_PERIOD_S = 6
RESTART_DELAY_S = 0.6

SYN, ACK, FIN, RST, BOUNCED = 64, 2, 16, 8, 4
HEAD = struct.Struct("<IIIIHHIHB3s4s")
KEY = b"review"

PORT_DATAGRAM = 8172
PORT_READY = 8167
PORT_CONTROL = 8166
PORT_APP = 8165
PORT_OUTBOUND = 8162
PORT_INTERNAL = 7720
PORT_STORE = 8169


def ip_int(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(n):
    return socket.inet_ntoa(struct.pack(">I", n))


def checksum(seq, ack, dst, sport, dport, src, length, flags, data):
    fields = struct.pack("<IIIHHIHB", seq, ack, dst, sport, dport, src, length, flags & ~BOUNCED)
    return zlib.crc32(KEY + fields + data) & 0xFFFFFFFF


def encode(src, sport, dst, dport, flags, seq, ack, data=b""):
    s, d = ip_int(src), ip_int(dst)
    total = checksum(seq, ack, d, sport, dport, s, len(data), flags, data)
    return HEAD.pack(seq, ack, total, d, sport, dport, s, len(data), flags, b"\0\0\0", b"\0\0\0\0") + data


class Packet:
    def __init__(self, raw):
        (self.seq, self.ack, self.sum, d, self.sport, self.dport, s, self.len, self.flags,
         self.pad, self.echo) = HEAD.unpack(raw[:HEAD.size])
        self.src, self.dst = ip_text(s), ip_text(d)
        self.data = raw[HEAD.size:]
        self.raw = raw
        self.intact = self.len == len(self.data) and self.sum == checksum(
            self.seq, self.ack, d, self.sport, self.dport, s, self.len, self.flags, self.data)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.receive(data, addr)


class World:
    record_name = "record.txt"

    def __init__(self, folder):
        self.folder = folder
        self.start = time.monotonic()
        self.record_file = open(os.path.join(folder, self.record_name), "w")
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.nodes = {}
        self.endpoints = {}
        self.clients = {}
        self.violations = []
        self.rng = random.Random(int(os.environ.get("SEED", "1")))
        self.net = self.pick_net()
        self.store = Store(self)
        self.router = Router(self)
        self.record("trouble %s, addresses 127.%d.0.0/16" % ("on" if TROUBLE else "off", self.net))

    def pick_net(self):
        for _ in range(50):
            net = random.randint(20, 120)
            try:
                for host, port in ((10, PORT_STORE), (20, PORT_DATAGRAM), (30, PORT_CONTROL)):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        s = socket.socket(socket.AF_INET, kind)
                        s.bind(("127.%d.%d.1" % (net, host), port))
                        s.close()
                return net
            except OSError:
                continue
        raise Unable("no free addresses")

    def addr(self, kind, n):
        return "127.%d.%d.%d" % (self.net, kind, n)

    def now(self):
        return time.monotonic() - self.start

    def record(self, text):
        self.record_file.write("%9.3f  %s\n" % (self.now(), text))
        self.record_file.flush()

    def violation(self, text):
        self.violations.append(text)
        self.record("BROKEN  " + text)

    async def close(self):
        for c in list(self.clients.values()):
            c.close()
        for e in list(self.endpoints.values()):
            e.vanish()
        for n in list(self.nodes.values()):
            await n.kill()
        self.router.close()
        await self.store.close()
        shutil.rmtree(self.tmp, ignore_errors=True)


class Unable(Exception):
    pass


# ---- the platform's store ----

class HttpServer:
    """A small HTTP/1.1 server with keep-alive; handle() returns (status, body)."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.silent = set()

    async def open(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def silence(self):
        """All open connections go silent for good; new ones work."""
        self.silent |= self.writers
        return len(self.writers)

    async def close(self):
        if self.server is not None:
            self.server.close()
        for w in list(self.writers):
            w.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target = line.decode().split()[:2]
                length = 0
                while True:
                    header = await reader.readline()
                    if header in (b"\r\n", b""):
                        break
                    name, _, value = header.decode().partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                if writer in self.silent:
                    continue
                status, reply = await self.handle(method, target, body, writer)
                if writer in self.silent:
                    continue
                text = json.dumps(reply).encode() if reply is not None else b""
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.close()


class Store(HttpServer):
    HISTORY_S = 20
    ANSWER_S = 0.004

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    async def run(self):
        self.ip = self.world.addr(10, 1)
        await self.open(self.ip, PORT_STORE)

    def put(self, kind, name, spec, deleted=False):
        self.revision += 1
        kinds = self.objects.setdefault(kind, {})
        old = kinds.get(name)
        obj = {"meta": {"name": name, "revision": self.revision,
                        "created_at": old["meta"]["created_at"] if old else int(time.time() * 1000),
                        "finalizers": [], "delete_requested": False},
               "spec": spec, "status": {}}
        if deleted:
            kinds.pop(name, None)
        else:
            kinds[name] = obj
        self.history.append((self.revision, time.monotonic(), kind, {"object": obj, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()
        return obj

    def forget(self):
        limit = time.monotonic() - self.HISTORY_S
        while self.history and self.history[0][1] < limit:
            self.history.pop(0)

    async def handle(self, method, target, body, writer):
        await asyncio.sleep(self.ANSWER_S)
        path, _, query = target.partition("?")
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        parts = path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        kinds = self.objects.setdefault(kind, {})
        if method == "GET" and name is not None:
            return (200, kinds[name]) if name in kinds else (404, {})
        if method == "GET" and "watch" in args:
            return await self.watch(kind, int(args["watch"]), int(args.get("wait_ms", "0")))
        if method == "GET":
            return 200, {"items": [kinds[k] for k in sorted(kinds)], "has_more": False, "as_of": self.revision}
        doc = json.loads(body) if body else {}
        given = args.get("revision") or doc.get("meta", {}).get("revision")
        if method == "POST":
            name = doc["meta"]["name"]
            if name in kinds:
                return 409, kinds[name]
            return 201, self.put(kind, name, doc.get("spec", {}))
        if name not in kinds:
            return 404, {}
        if given is not None and int(given) != kinds[name]["meta"]["revision"]:
            return 409, kinds[name]
        if method == "PUT":
            return 200, self.put(kind, name, doc.get("spec", {}))
        if method == "DELETE":
            return 200, self.put(kind, name, kinds[name]["spec"], deleted=True)
        return 404, {}

    async def watch(self, kind, since, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            self.forget()
            oldest = self.history[0][0] if self.history else self.revision + 1
            if since + 1 < oldest and since < self.revision:
                return 410, {}
            events = [h[3] for h in self.history if h[0] > since and h[2] == kind]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def configure(self, version, routes, services):
        """The operator writes a version; its acknowledgement is immediate."""
        spec = {"version": version, "limits": {"idle_timeout_ms": 30000},
                "services": [{"name": s, "health_path": "/health"} for s in services],
                "routes": [{"host": ip, "path_prefix": "/%d/" % port, "service": service, "type": "idempotent",
                            "timeout_ms": 2000, "target_latency_ms": 150, "priority": 1, "max_attempts": 3}
                           for (ip, port), service in sorted(routes.items())]}
        self.put("config", "main", spec)
        self.world.record("operator: version %d acknowledged: %s" % (
            version, ", ".join("%s:%d -> %s" % (a[0], a[1], s) for a, s in sorted(routes.items()))))


# ---- routers ----

class Router:
    """Probes readiness twice a second; forwards a client's packets by a steady hash."""

    def __init__(self, world):
        self.world = world
        self.misses = {}
        self.task = None

    def run(self):
        self.task = asyncio.ensure_future(self.probe_all())

    def close(self):
        if self.task is not None:
            self.task.cancel()

    async def probe(self, node):
        try:
            r, w = await asyncio.wait_for(asyncio.open_connection(node.ip, PORT_READY), 0.4)
            w.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(r.readline(), 0.4)
            w.close()
            ok = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            ok = False
        self.misses[node.name] = 0 if ok else self.misses.get(node.name, 2) + 1

    async def probe_all(self):
        while True:
            await asyncio.gather(*(self.probe(n) for n in list(self.world.nodes.values()) if n.role == "balancer"))
            await asyncio.sleep(0.5)

    def ready(self):
        return [n for n in self.world.nodes.values()
                if n.role == "balancer" and self.misses.get(n.name, 2) < 2]

    def pick(self, src, sport, dst, dport, zone=None):
        every = [n for n in self.world.nodes.values() if n.role == "balancer"]
        local = [n for n in every if zone is None or n.zone == zone]
        ready = [n for n in local if self.misses.get(n.name, 2) < 2]
        if ready and 2 * len(ready) < len(local):
            ready = local
        if not ready:
            ready = self.ready() or local or every
        key = "%s:%d %s:%d " % (src, sport, dst, dport)
        return max(ready, key=lambda n: zlib.crc32((key + n.name).encode()) * 2654435761 % 4294967291)


# ---- the project's own programs ----

def render(template, values):
    def look(path, here=None):
        if path == ".":
            return here
        v = values
        for p in path.split("."):
            v = v[int(p)] if isinstance(v, list) else v.get(p, "")
        return v

    def section(m):
        items = look(m.group(1))
        out = []
        for i, item in enumerate(items):
            text = m.group(2).replace("{{.}}", str(item))
            out.append(text.replace("{{,}}", "," if i + 1 < len(items) else ""))
        return "".join(out)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look(m.group(1))), text)


class Node:
    """A balancer or an agent: one process of the project."""

    def __init__(self, world, role, name, ip, zone, service=""):
        self.world, self.role, self.name, self.ip, self.zone = world, role, name, ip, zone
        self.service = service
        self.process = None
        self.starts = 0
        world.nodes[name] = self

    def settings(self):
        with open(os.path.join(ROOT, "deploy", self.role + ".json.in")) as f:
            template = f.read()
        seeds = [n.ip for n in self.world.nodes.values() if n.role == "balancer"][:3]
        return render(template, {
            "node_name": self.name, "ip": self.ip, "zone": self.zone, "service": self.service,
            "internal_port_range": [PORT_INTERNAL, PORT_INTERNAL + 15],
            "seeds": ["%s:%d" % (s, PORT_CONTROL) for s in seeds],
            "platform": {"address": "%s:%d" % (self.world.store.ip, PORT_STORE)},
            "listen_addrs": {"datagram_addr": "%s:%d" % (self.ip, PORT_DATAGRAM),
                             "readiness_addr": "%s:%d" % (self.ip, PORT_READY),
                             "outbound": "%s:%d" % (self.ip, PORT_OUTBOUND),
                             "control": "%s:%d" % (self.ip, PORT_CONTROL)},
            "app": "%s:%d" % (self.ip, PORT_APP), "heartbeat_ms": HEARTBEAT_MS,
            "bounds": {"flow_ttl_s": FLOW_TTL_S},
            "limits": {"cpu_share": 0.055 if self.role == "balancer" else 0.15}})

    async def run(self):
        path = os.path.join(self.world.tmp, self.name + ".json")
        with open(path, "w") as f:
            f.write(self.settings())
        self.log = open(os.path.join(self.world.tmp, self.name + ".log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, self.role, "--flows", "--settings", path, cwd=ROOT, stdout=self.log, stderr=self.log)
        self.starts += 1
        self.world.record("%s: started, process %d" % (self.name, self.process.pid))

    async def end(self, sig):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(sig)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_PERIOD_S)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def term(self):
        self.world.record("%s: SIGTERM" % self.name)
        await self.end(signal.SIGTERM)
        self.world.record("%s: ended with %s" % (self.name, self.process.returncode))

    async def kill(self):
        await self.end(signal.SIGKILL)

    async def restart(self):
        await self.term()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.run()

    def remove(self):
        self.world.nodes.pop(self.name, None)


# ---- endpoints ----

class EndpointFlow:
    def __init__(self, client_seq, seq):
        self.client_seq, self.seq = client_seq, seq
        self.open = False
        self.next_in = (client_seq + 1) & 0xFFFFFFFF
        self.next_out = (seq + 1) & 0xFFFFFFFF
        self.closed = False
        self.opened_at = 0.0
        self.timer = None


class Endpoint:
    def __init__(self, world, name, service, ip, zone, work_ms=10):
        self.world, self.name, self.service, self.ip, self.zone = world, name, service, ip, zone
        self.work_ms = work_ms
        self.flows = {}
        self.ended = {}
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.alive = True
        self.tasks = []
        world.endpoints[name] = self

    async def run(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.receive), local_addr=(self.ip, PORT_APP))
        self.health = Health(self)
        await self.health.open(self.ip, PORT_APP)
        self.tasks.append(asyncio.ensure_future(self.beat_all()))
        self.world.record("%s: endpoint of %s starts at %s:%d" % (self.name, self.service, self.ip, PORT_APP))

    def vanish(self):
        """Crash: all flows are lost, nothing is said."""
        if not self.alive:
            return
        self.alive = False
        self.transport.close()
        for f in self.flows.values():
            if f.timer:
                f.timer.cancel()
        for t in self.tasks:
            t.cancel()
        asyncio.ensure_future(self.health.close())
        self.world.endpoints.pop(self.name, None)
        self.world.record("%s: endpoint of %s ends" % (self.name, self.service))

    async def call(self, method, body):
        text = json.dumps(body).encode() if body is not None else b""
        try:
            r, w = await asyncio.wait_for(asyncio.open_connection(self.ip, PORT_CONTROL), 1)
            w.write(b"%s /v1/instances/%s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (method.encode(), self.name.encode(), len(text)) + text)
            line = await asyncio.wait_for(r.readline(), 1)
            w.close()
            return line.split()[1][:1] == b"2"
        except (OSError, asyncio.TimeoutError, IndexError):
            return False

    async def beat(self):
        self.sequence += 1
        return await self.call("PUT", {
            "service": self.service, "address": "%s:%d" % (self.ip, PORT_APP), "zone": self.zone,
            "version": "v1", "slots": 4, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def beat_all(self):
        while True:
            asyncio.ensure_future(self.beat())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def send(self, key, f, flags, seq, ack, data=b""):
        client, cport, vip, vport = key
        if self.alive:
            self.transport.sendto(encode(vip, vport, client, cport, flags, seq, ack, data), (self.ip, PORT_OUTBOUND))

    def bounce(self, p):
        raw = bytearray(p.raw)
        raw[26] |= BOUNCED
        raw[27:30] = b"\0\0\0"
        self.transport.sendto(bytes(raw), (self.ip, PORT_OUTBOUND))

    def receive(self, raw, addr):
        p = Packet(raw)
        key = (p.src, p.sport, p.dst, p.dport)
        if not p.intact:
            self.world.violation("UNASKED: %s gets a changed packet" % self.name)
            return
        f = self.flows.get(key)
        if p.flags & SYN:
            if f is None or f.client_seq != p.seq:
                f = self.flows[key] = EndpointFlow(p.seq, self.world.rng.getrandbits(32))
            self.world.on_opening(self, key, p)
            self.send(key, f, SYN | ACK, f.seq, f.next_in)
            return
        if f is None or (not f.open and p.ack != (f.seq + 1) & 0xFFFFFFFF):
            self.world.on_packet(self, key, p, own=False)
            self.bounce(p)
            return
        self.world.on_packet(self, key, p, own=True)
        if not f.open:
            f.open = True
            f.opened_at = self.world.now()
            self.world.on_flow_open(self, key, f)
        if f.timer and p.ack == f.next_out:
            f.timer.cancel()
            f.timer = None
        if p.flags & RST:
            self.end_flow(key, f)
            return
        if p.data and p.seq == f.next_in:
            f.next_in = (f.next_in + len(p.data)) & 0xFFFFFFFF
            self.send(key, f, ACK, f.next_out, f.next_in)
            m = re.search(rb"X-Attempt-Id: (\S+)", p.data)
            self.world.on_run(self, key, m.group(1).decode() if m else "?", p)
            asyncio.get_running_loop().call_later(self.work_ms / 1000, self.answer, key, f, m.group(1).decode() if m else "?")
        elif p.data:
            self.send(key, f, ACK, f.next_out, f.next_in)
        if p.flags & FIN:
            self.send(key, f, FIN | ACK, f.next_out, (p.seq + len(p.data) + 1) & 0xFFFFFFFF)
            f.closed = True
            self.end_flow(key, f, keep=True)

    def answer(self, key, f, attempt):
        if not self.alive or self.flows.get(key) is not f:
            return
        body = ("%s %s" % (self.service, attempt)).encode()
        text = (b"HTTP/1.1 200 OK\r\nX-Server-Signature: %s\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n" % (
            self.name.encode(), attempt.encode(), len(body))) + body
        seq = f.next_out
        f.next_out = (f.next_out + len(text)) & 0xFFFFFFFF
        self.transmit(key, f, seq, text, 0.2, 8)

    def transmit(self, key, f, seq, text, wait, left):
        if not self.alive or self.flows.get(key) is not f:
            return
        self.send(key, f, ACK, seq, f.next_in, text)
        if left > 0:
            f.timer = asyncio.get_running_loop().call_later(
                wait, self.transmit, key, f, seq, text, min(wait * 2, 1.6), left - 1)

    def end_flow(self, key, f, keep=False):
        if f.timer:
            f.timer.cancel()
            f.timer = None
        if not keep:
            self.flows.pop(key, None)
        else:
            asyncio.get_running_loop().call_later(
                5, lambda: self.flows.pop(key, None) if self.flows.get(key) is f else None)


class Health(HttpServer):
    def __init__(self, endpoint):
        super().__init__()
        self.endpoint = endpoint

    async def handle(self, method, target, body, writer):
        return (200 if self.endpoint.state == "ready" else 503), {}


# ---- clients ----

class Client:
    def __init__(self, world, n, zone):
        self.world, self.ip, self.zone = world, world.addr(40, n), zone
        self.flows = {}
        world.clients[self.ip] = self

    async def run(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.receive), local_addr=(self.ip, PORT_DATAGRAM))

    def close(self):
        self.transport.close()

    def receive(self, raw, addr):
        p = Packet(raw)
        f = self.flows.get((p.dport, p.src, p.sport))
        own_reset = p.flags & RST and p.sum == 0 and not p.data
        if not p.intact and not own_reset:
            self.world.violation("MIXED: client %s gets a changed packet" % self.ip)
            return
        if f is not None:
            f.receive(p, bool(own_reset))


class Flow:
    """A client's flow: open(), request() any number of times, close()."""

    def __init__(self, client, port, vip, vport):
        self.client, self.port, self.vip, self.vport = client, port, vip, vport
        self.world = client.world
        self.seq = self.world.rng.getrandbits(32)
        self.next_out = (self.seq + 1) & 0xFFFFFFFF
        self.next_in = 0
        self.state = "new"
        self.waiter = None
        self.reply = b""
        self.server_fin = False
        client.flows[(port, vip, vport)] = self

    @property
    def key(self):
        return (self.client.ip, self.port, self.vip, self.vport)

    def send(self, flags, seq, ack, data=b""):
        node = self.world.router.pick(self.client.ip, self.port, self.vip, self.vport, self.client.zone)
        self.client.transport.sendto(
            encode(self.client.ip, self.port, self.vip, self.vport, flags, seq, ack, data),
            (node.ip, PORT_DATAGRAM))
        return node

    def wake(self, value):
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(value)

    def receive(self, p, own_reset):
        if p.flags & RST:
            near = min((p.seq - self.next_in) & 0xFFFFFFFF, (self.next_in - p.seq) & 0xFFFFFFFF) <= 76800
            if self.state == "open" and own_reset and not near:
                return
            if self.state in ("new", "open"):
                self.world.on_client_reset(self, own_reset)
                self.state = "reset"
            self.wake("reset")
            return
        if p.flags & SYN and self.state == "new":
            self.next_in = (p.seq + 1) & 0xFFFFFFFF
            self.state = "open"
            self.send(ACK, self.next_out, self.next_in)
            self.wake("open")
            return
        if p.data and p.seq == self.next_in:
            self.next_in = (self.next_in + len(p.data)) & 0xFFFFFFFF
            self.send(ACK, self.next_out, self.next_in)
            self.reply = p.data
            self.wake("reply")
        elif p.data and self.state == "open":
            self.send(ACK, self.next_out, self.next_in)
        if p.flags & FIN and not p.data:
            self.next_in = (p.seq + 1) & 0xFFFFFFFF
            self.send(ACK, self.next_out, self.next_in)
            self.server_fin = True
            self.wake("fin")

    async def wait(self, seconds):
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(self.waiter, max(0.001, seconds))
        except asyncio.TimeoutError:
            return None

    async def open(self):
        """Send a SYN and its copies after 200 ms and 600 ms; give up after 1.4 s."""
        self.opened_at = self.world.now()
        for copy, pause in ((0, 0.2), (1, 0.4), (2, 0.8)):
            self.send(SYN, self.seq, copy)
            got = await self.wait(pause)
            if got is not None or self.state != "new":
                break
        return self.state == "open"

    async def request(self, attempt, deadline_s=3.0):
        """Send a request, with retransmissions; returns the response or None."""
        data = b"GET / HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: %s\r\n\r\n" % attempt.encode()
        seq, end = self.next_out, time.monotonic() + deadline_s
        self.next_out = (self.next_out + len(data)) & 0xFFFFFFFF
        self.reply, wait = b"", 0.2
        while self.state == "open" and time.monotonic() < end and not self.reply:
            self.send(ACK, seq, self.next_in, data)
            limit = time.monotonic() + wait
            while self.state == "open" and not self.reply and time.monotonic() < min(limit, end):
                await self.wait(min(limit, end) - time.monotonic())
            wait = min(wait * 2, 1.6)
        return self.reply or None

    async def close(self):
        if self.state == "open":
            wait = 0.2
            for _ in range(5):
                self.send(FIN | ACK, self.next_out, self.next_in)
                await self.wait(wait)
                if self.server_fin or self.state != "open":
                    break
                wait = min(wait * 2, 1.6)
            self.state = "closed"


# ---- a case ----

class Case(World):
    """The hooks do nothing; a case overrides those that it judges."""

    def on_opening(self, endpoint, key, p):
        pass

    def on_packet(self, endpoint, key, p, own):
        pass

    def on_flow_open(self, endpoint, key, flow):
        pass

    def on_run(self, endpoint, key, attempt, p):
        pass

    def on_client_reset(self, flow, own_reset):
        pass

    async def wait_ready(self, count, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if len(self.router.ready()) >= count:
                return
            await asyncio.sleep(0.1)
        raise Unable("%d of %d balancers became ready" % (len(self.router.ready()), count))


def main(case_class, folder):
    """Exit 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def play():
        world = case_class(folder)
        for sig in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(sig, asyncio.current_task().cancel)
        try:
            await world.store.run()
            await asyncio.wait_for(world.play(), 115)
            code = 1 if world.violations else 0
        except (Unable, OSError, asyncio.TimeoutError, asyncio.CancelledError) as e:
            world.record("cannot run: %r" % e)
            code = 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                for n in os.listdir(world.tmp):
                    shutil.copy(os.path.join(world.tmp, n), os.environ["KEEP_LOGS"])
            await world.close()
        world.record("%d violations, exit %d" % (len(world.violations), code))
        return code

    if not os.access(PROGRAM, os.X_OK):
        print("no target/persimmonwinch: run the build of the deploy file", file=sys.stderr)
        sys.exit(2)
    sys.exit(asyncio.run(play()))
