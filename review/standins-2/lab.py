"""Stand-ins for a small deployment on loopback addresses, for review/7 to 10.

One asyncio process plays the platform's store, the routers, the endpoints and the
clients, as PROTOCOL.md describes them, and starts the project's own balancers and
agents as the deploy file does. Only the Python standard library is used.
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

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPO, "target", "persimmonwinch")
SYN, ACK, FIN, RST, BOUNCED = 64, 2, 16, 8, 4
HEADER = struct.Struct("<IIIIHHIHB3sI")
DATAGRAMS, CONTROL, READY, OUTBOUND, INNER, APP, STORE = (
    8172, 8166, 8167, 8162, 7720, 8165, 8169)
SUM_KEY = b"known to the two ends alone"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"",
                 pad=b"\0\0\0", echo=0, total=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq, ack, data
        self.pad, self.echo = pad, echo
        self.total = self.checksum() if total is None else total

    def checksum(self):
        fields = struct.pack("<IIIHHIHB", self.seq, self.ack, self.dst, self.sport,
                             self.dport, self.src, len(self.data), self.flags & ~BOUNCED)
        return zlib.crc32(SUM_KEY + fields + self.data)

    def encode(self):
        return HEADER.pack(self.seq, self.ack, self.total, self.dst, self.sport,
                           self.dport, self.src, len(self.data), self.flags, self.pad,
                           self.echo) + self.data

    @staticmethod
    def decode(raw):
        seq, ack, total, dst, sport, dport, src, length, flags, pad, echo = \
            HEADER.unpack_from(raw)
        return Packet(src, sport, dst, dport, flags, seq, ack,
                      raw[HEADER.size:HEADER.size + length], pad, echo, total)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, addr):
        self.receive(data, addr)

    def error_received(self, exc):
        pass


async def open_datagrams(ip, port, receive):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(receive), local_addr=(ip, port))
    return transport


async def read_http(reader):
    """One request or response: (first line, headers, body); None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = dict((k.lower(), v.strip()) for k, _, v in
                   (line.partition(":") for line in lines[1:] if line))
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def http_call(ip, port, method, path, body=None, timeout=1.0):
    """The status of one call; 0 when there was no answer in time."""
    async def call():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            raw = b"" if body is None else json.dumps(body).encode()
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\n"
                         "Content-Type: application/json\r\nConnection: close\r\n"
                         f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
            first, _, _ = await read_http(reader)
            return int(first.split()[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0


class Store:
    """The platform's metadata store."""

    PAGE_ITEMS, PAGE_BYTES = 500, 1000000

    def __init__(self, lab):
        self.lab = lab
        self.revision = 100
        self.objects = {}   # kind -> name -> object
        self.events = []    # (revision, kind, event)
        self.dropped = 0    # history up to this revision is gone
        self.changed = asyncio.Event()

    async def open(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, STORE)

    def write(self, kind, name, spec):
        """A write of the operator; returns once it is acknowledged."""
        return self.put(kind, name, {"spec": spec})

    def put(self, kind, name, body):
        old = self.objects.setdefault(kind, {}).get(name)
        new = {"meta": {"name": name, "revision": 0, "created_at": 0, "finalizers": [],
                        "delete_requested": False},
               "spec": body.get("spec"), "status": old["status"] if old else None}
        if old:
            new["meta"].update(old["meta"])
            if old["spec"] == new["spec"]:
                return old
        self.revision += 1
        new["meta"]["revision"] = self.revision
        if not old:
            new["meta"]["created_at"] = self.revision
        self.objects[kind][name] = new
        self.record(kind, False, new)
        return new

    def record(self, kind, deleted, obj):
        self.events.append((self.revision, kind, {"deleted": deleted, "object": obj}))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        self.events.clear()
        self.dropped = self.revision

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_http(reader)
                method, path, _ = first.split()
                status, answer = await self.handle(method, path, body)
                raw = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, body):
        await asyncio.sleep(0.004)
        path, _, query = path.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET":
            if name is not None:
                obj = self.objects.get(kind, {}).get(name)
                return (200, obj) if obj else (404, {})
            return await self.watch(kind, args) if "watch" in args else self.list(kind, args)
        sent = json.loads(body) if body else {}
        old = self.objects.get(kind, {}).get(name or sent["meta"]["name"])
        wanted = int(args.get("revision", sent.get("meta", {}).get("revision", 0)) or 0)
        if method == "POST":
            return (409, old) if old else (200, self.put(kind, sent["meta"]["name"], sent))
        if old is None:
            return 404, {}
        if wanted and wanted != old["meta"]["revision"]:
            return 409, old
        if method == "PUT":
            return 200, self.put(kind, name, sent)
        self.revision += 1
        del self.objects[kind][name]
        self.record(kind, True, old)
        return 200, {}

    def list(self, kind, args):
        items, size, more = [], 0, False
        for name in sorted(self.objects.get(kind, {})):
            if name <= args.get("after", ""):
                continue
            obj = self.objects[kind][name]
            size += len(json.dumps(obj))
            if items and (len(items) == self.PAGE_ITEMS or size > self.PAGE_BYTES):
                more = True
                break
            items.append(obj)
        return 200, {"items": items, "has_more": more, "as_of": self.revision}

    async def watch(self, kind, args):
        since = int(args["watch"])
        end = time.monotonic() + min(int(args.get("wait_ms", 0)), 30000) / 1000
        while True:
            if since < self.dropped:
                return 410, {}
            found = [e for r, k, e in self.events if k == kind and r > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Endpoint:
    """A server on a `side` machine, beside an agent."""

    RETRIES = 8

    def __init__(self, lab, machine, service, name):
        self.lab, self.ip, self.service, self.name = lab, machine, service, name
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.flows = {}
        self.alive = False
        self.last_ack = 0

    async def start(self):
        self.udp = await open_datagrams(self.ip, APP, self.receive)
        self.tcp = await asyncio.start_server(self.health, self.ip, APP)
        self.alive = True
        self.task = asyncio.create_task(self.beat())
        self.lab.note(f"endpoint {self.name} of {self.service} starts at {self.ip}")

    async def health(self, reader, writer):
        try:
            await read_http(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def beat(self):
        while self.alive:
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.ip}:{APP}",
                    "zone": "semarang", "version": "v1", "slots": 4, "state": "ready",
                    "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
            began = time.monotonic()
            if await http_call(self.ip, CONTROL, "PUT", f"/v1/instances/{self.name}",
                               body) == 200:
                self.last_ack = time.monotonic()
            await asyncio.sleep(max(0, 1.2 - (time.monotonic() - began)))

    def send(self, flow, flags, data=b""):
        src, sport, dst, dport = flow["key"]
        p = Packet(dst, dport, src, sport, flags, flow["seq"], flow["ack"], data)
        self.udp.sendto(p.encode(), (self.ip, OUTBOUND))

    def receive(self, raw, _):
        p = Packet.decode(raw)
        if p.total != p.checksum():
            self.lab.note(f"endpoint {self.name}: a packet that nobody wrote so")
            self.lab.forged += 1
            return
        key = (p.src, p.sport, p.dst, p.dport)
        flow = self.flows.get(key)
        if p.flags & SYN:
            if flow is None or flow["opening"] != p.seq:
                flow = {"key": key, "opening": p.seq, "seq": random.getrandbits(32),
                        "ack": (p.seq + 1) & 0xffffffff, "open": False, "answer": None,
                        "begun": None}
                self.flows[key] = flow
            self.send(flow, SYN | ACK)
            return
        if flow is None or (not flow["open"] and p.ack != (flow["seq"] + 1) & 0xffffffff):
            p.flags |= BOUNCED
            p.pad = b"\0\0\0"
            self.udp.sendto(p.encode(), (self.ip, OUTBOUND))
            return
        if not flow["open"]:
            flow["open"] = True
            flow["seq"] = (flow["seq"] + 1) & 0xffffffff
            self.lab.opened(self, flow)
        if p.flags & RST:
            del self.flows[key]
        elif p.data and p.seq == flow["ack"]:
            flow["ack"] = (p.seq + len(p.data)) & 0xffffffff
            self.lab.ran(self, flow, p.data)
            body = b"ran " + p.data.split(b"\r\n")[0]
            flow["answer"] = (b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
                              b"Content-Length: %d\r\n\r\n" % len(body)) + body
            flow["begun"] = flow["seq"]
            self.send(flow, ACK, flow["answer"])
            asyncio.create_task(self.retransmit(flow, flow["answer"]))
        elif p.data:
            self.send(flow, ACK)
        if flow["answer"] and p.ack == (flow["seq"] + len(flow["answer"])) & 0xffffffff:
            flow["seq"], flow["answer"] = p.ack, None

    async def retransmit(self, flow, answer):
        pause = 0.2
        for _ in range(self.RETRIES):
            await asyncio.sleep(pause)
            if not self.alive or flow["answer"] is not answer:
                return
            self.send(flow, ACK, answer)
            pause = min(pause * 2, 1.6)


class Flow:
    """A client's end of a flow."""

    def __init__(self, lab, service, via):
        self.lab, self.service, self.via = lab, service, via
        lab.port += 1
        self.sport = lab.port
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.state = "opening"
        self.answer = b""
        self.event = asyncio.Event()
        lab.client_flows[self.sport] = self

    def send(self, flags, data=b"", copy=None):
        p = Packet(ip_number(self.lab.client), self.sport, ip_number(self.service[0]),
                   self.service[1], flags, self.seq, self.ack if copy is None else copy, data)
        to = self.via() if callable(self.via) else self.via
        if to is not None:
            self.lab.client_udp.sendto(p.encode(), (to, DATAGRAMS))

    async def wait(self, seconds):
        try:
            await asyncio.wait_for(self.event.wait(), seconds)
        except asyncio.TimeoutError:
            pass
        self.event.clear()

    async def open(self):
        """'open', 'reset' or 'no answer'."""
        for copy, seconds in ((0, 0.2), (1, 0.4), (2, 0.8)):
            self.send(SYN, copy=copy)
            end = time.monotonic() + seconds
            while self.state == "opening" and time.monotonic() < end:
                await self.wait(end - time.monotonic())
            if self.state != "opening":
                break
        if self.state == "opening":
            self.state = "no answer"
        if self.state == "open":
            self.seq = (self.seq + 1) & 0xffffffff
            self.send(ACK)
        return self.state

    async def ask(self, text, deadline=1.2):
        """'served', 'reset' or 'no answer'."""
        data = f"GET /{text} HTTP/1.1\r\n\r\n".encode()
        self.answer = b""
        end, pause = time.monotonic() + deadline, 0.2
        while self.state == "open" and not self.answer and time.monotonic() < end:
            self.send(ACK, data)
            stop = min(end, time.monotonic() + pause)
            while self.state == "open" and not self.answer and time.monotonic() < stop:
                await self.wait(stop - time.monotonic())
            pause = min(pause * 2, 1.6)
        if self.state != "open":
            return "reset"
        if not self.answer:
            return "no answer"
        self.seq = (self.seq + len(data)) & 0xffffffff
        return "served"

    def receive(self, p):
        if p.flags & RST:
            near = (p.seq - self.ack + 76800) & 0xffffffff <= 2 * 76800
            if self.state == "opening" or (self.state == "open" and near):
                self.lab.note(f"client port {self.sport}: a reset "
                              f"({'of its own' if p.total == 0 else 'of an endpoint'}) "
                              f"while {self.state}")
                self.own_reset = p.total == 0
                self.state = "reset"
        elif p.flags & SYN:
            if self.state == "opening":
                self.ack = (p.seq + 1) & 0xffffffff
                self.state = "open"
        elif p.data and p.seq == self.ack:
            self.ack = (self.ack + len(p.data)) & 0xffffffff
            self.answer = p.data
            self.send(ACK)
        self.event.set()


class Lab:
    def __init__(self, case_dir):
        name = sys.argv[1] if len(sys.argv) > 1 else "record.txt"
        self.record = open(os.path.join(case_dir, name), "w")
        self.began = time.monotonic()
        self.dir = tempfile.mkdtemp(prefix="persimmonwinch-review-")
        self.processes = {}
        self.client_flows, self.port = {}, 20000
        self.forged = 0
        self.runs, self.open_flows = [], []
        self.rotation, self.misses = {}, {}
        self.net = None

    def note(self, text):
        print(f"{time.monotonic() - self.began:8.3f} {text}", file=self.record, flush=True)

    # ---- addresses: one net of loopback addresses, chosen free ----

    def choose_net(self):
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            probes = []
            try:
                for last in (1, 2, 11, 12, 31, 32, 61):
                    for port in (DATAGRAMS, CONTROL, READY, INNER, APP, STORE, 9464):
                        s = socket.socket()
                        probes.append(s)
                        s.bind((f"{net}.{last}", port))
                self.net = net
                return
            except OSError:
                continue
            finally:
                for s in probes:
                    s.close()
        raise CannotRun("no free loopback addresses")

    def at(self, last):
        return f"{self.net}.{last}"

    async def begin(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/persimmonwinch is not built")
        self.choose_net()
        self.client = self.at(61)
        self.store = Store(self)
        await self.store.open(self.at(1))
        self.client_udp = await open_datagrams(self.client, DATAGRAMS, self.receive)

    def receive(self, raw, _):
        p = Packet.decode(raw)
        flow = self.client_flows.get(p.dport)
        if flow is not None:
            flow.receive(p)

    def opened(self, endpoint, flow):
        self.open_flows.append((time.monotonic(), endpoint.name, flow["key"]))

    def ran(self, endpoint, flow, data):
        self.runs.append((time.monotonic(), endpoint.name, flow["key"], data))
        src, sport, dst, dport = flow["key"]
        self.note(f"endpoint {endpoint.name} runs {data.split(b' ')[1].decode()} of client "
                  f"port {sport} to {ip_text(dst)}:{dport}")

    # ---- settings, rendered from the templates of the deploy file ----

    def fields(self, name, kind, ip, zone, service=None, bounds=None, seeds=()):
        f = {
            "node_name": name, "ip": ip, "zone": zone, "heartbeat_ms": 1200,
            "internal_port_range": [INNER, INNER + 15],
            "seeds": [f"{s}:{CONTROL}" for s in seeds],
            "listen_addrs": {"datagram_addr": f"{ip}:{DATAGRAMS}",
                             "readiness_addr": f"{ip}:{READY}",
                             "control": f"{ip}:{CONTROL}"},
            "limits": {"cpu_share": 0.25},
            "bounds": {"flow_ttl_s": 60, **(bounds or {})},
            "platform": {"address": f"{self.at(1)}:{STORE}"}}
        if kind == "agent":
            f["listen_addrs"]["outbound"] = f"{ip}:{OUTBOUND}"
            f.update(service=service, app=f"{ip}:{APP}")
        return f

    @staticmethod
    def render(text, fields):
        def value(path, item):
            if path == ".":
                return item
            at = fields
            for part in path.split("."):
                at = at[int(part)] if isinstance(at, list) else at.get(part, "")
            return at

        def show(v):
            return ",".join(map(str, v)) if isinstance(v, list) else str(v)

        def section(m):
            v = value(m.group(1), None)
            items = v if isinstance(v, list) else [] if v in ("", False) else [v]
            out = []
            for i, item in enumerate(items):
                body = m.group(2).replace("{{,}}", "," if i + 1 < len(items) else "")
                out.append(body.replace("{{.}}", show(item)))
            return "".join(out)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: show(value(m.group(1), None)), text)

    def write_settings(self, kind, fields):
        with open(os.path.join(REPO, "deploy", f"{kind}.json.in")) as f:
            text = self.render(f.read(), fields)
        path = os.path.join(self.dir, f"{fields['node_name']}.json")
        with open(path, "w") as f:
            f.write(text)
        return path

    # ---- the project's processes ----

    async def start(self, kind, name, settings):
        out = open(os.path.join(self.dir, f"{name}.log"), "ab")
        p = await asyncio.create_subprocess_exec(
            PROGRAM, kind, "--flows", "--settings", settings, cwd=REPO,
            stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out)
        out.close()
        self.processes[name] = p
        self.note(f"{kind} {name} starts")
        return p

    async def end(self, name, sig, within=6.0):
        p = self.processes[name]
        self.note(f"{signal.Signals(sig).name} to {name}")
        if p.returncode is None:
            p.send_signal(sig)
        try:
            await asyncio.wait_for(p.wait(), within)
        except asyncio.TimeoutError:
            p.kill()
            await p.wait()
        self.note(f"{name} has ended")

    # ---- routers ----

    async def route(self, ips):
        """Polls readiness twice a second; two misses take a balancer out."""
        for ip in ips:
            self.misses[ip] = 2

        async def poll(ip):
            while ip in self.misses:
                ok = await http_call(ip, READY, "GET", "/v1/ready", timeout=0.45) == 200
                self.misses[ip] = 0 if ok else min(self.misses[ip] + 1, 2)
                await asyncio.sleep(0.5)
        self.pollers = getattr(self, "pollers", []) + [
            asyncio.create_task(poll(ip)) for ip in ips]

    def unroute(self, ips):
        for ip in ips:
            self.misses.pop(ip, None)

    def in_rotation(self):
        return [ip for ip, n in self.misses.items() if n < 2]

    def pick(self, sport):
        """The balancer to which the routers send a client port's packets."""
        ready = self.in_rotation()
        if 2 * len(ready) < len(self.misses):
            ready = list(self.misses)
        return max(ready, key=lambda ip: zlib.crc32(f"{ip} {sport}".encode()), default=None)

    async def wait_ready(self, ips, seconds=20):
        end = time.monotonic() + seconds
        while not all(self.misses.get(ip, 2) == 0 for ip in ips):
            if time.monotonic() > end:
                raise CannotRun("the balancers are not ready at the start")
            await asyncio.sleep(0.1)

    def flow(self, service, via=None):
        f = Flow(self, service, via)
        if via is None:
            f.via = lambda: self.pick(f.sport)
        return f

    async def finish(self):
        for p in self.processes.values():
            if p.returncode is None:
                try:
                    p.send_signal(signal.SIGCONT)
                    p.kill()
                except ProcessLookupError:
                    pass
                await p.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.dir, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


def route(name, at, **where):
    """A route of the configuration to an address."""
    return {"name": name, "host": at[0], "path_prefix": f"/{at[1]}/", "type": "idempotent",
            "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "max_attempts": 2,
            **where}


def configuration(version, routes, services):
    """The spec of config/main."""
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health_path": "/health", "max_connections": 2000,
                          "protocol": "h1", "tls": False} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def run_case(case_dir, play, limit=115):
    """Plays a case. `play` returns the number of times that the rule was broken."""
    async def main():
        lab = Lab(case_dir)
        lab.note(f"TROUBLE={1 if TROUBLE else 0}")
        try:
            await lab.begin()
            broken = await asyncio.wait_for(play(lab), limit)
            lab.note(f"the rule was broken {broken} times" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as e:
            lab.note(f"the case could not run: {e!r}")
            return 2
        finally:
            await lab.finish()
    async def play_and_exit():
        code = await main()
        print({0: "held", 1: "broken", 2: "could not run"}[code], flush=True)
        os._exit(code)   # the stand-ins' open connections need no orderly end
    asyncio.run(play_and_exit())
