"""Small stand-ins of the platform for the scripts of the review.

They follow the users' pages: the metadata store, backend servers that register
in it, and callers. Gateways are started with the command of the deploy file.
All addresses are loopback addresses, and ports are chosen by the system, but
for the metrics port, which the command of the deploy file states.

`record.txt` receives one JSON line for each event that a caller, a server or
the platform sees. `t` is the time in seconds since the start of the script.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "shop.example"
HEARTBEAT_S = 1.2
#: The bounds of the deployment `gaonsan-hide`.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000,
    "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 3000, "rollback-slack-ms": 250, "max-skew-ms": 12000,
    "retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-slack": 52,
    "warmup-overshoot": 1.5, "warmup-slack": 5, "evacuation-ms": 5000,
    "recovery-s": 12, "ttl_max_s": 5}
ZONES = ("daejeon-a", "sejong-b", "cheongju-c")


class Record:
    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")
        self.events = []

    def add(self, event, **fields):
        at = time.monotonic() - self.start
        self.events.append({"t": at, "event": event, **fields})
        self.file.write(json.dumps({"t": round(at, 4), "event": event,
                                    **fields}) + "\n")
        self.file.flush()
        return at

    def of(self, event):
        return [it for it in self.events if it["event"] == event]


async def read_message(reader):
    """Reads one HTTP message: start line, headers and body.

    A message without a length ends with the connection if it is an answer, and
    has no body if it is a request. Raises on an incomplete message.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for it in lines:
        name, _, value = it.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif start.startswith("HTTP/") and start.split()[1] not in ("204", "304"):
        body = await reader.read()
    else:
        body = b""
    return start, headers, body


def message(start, headers, body=b""):
    lines = [start] + ["%s: %s" % it for it in headers.items()]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The metadata store.

    A page of a list ends with `page_items` items or `PAGE_BYTES` of values.
    """

    MAX_EVENTS = 500
    PAGE_BYTES = 1_000_000

    def __init__(self, ip, page_items=50):
        self.ip, self.page_items = ip, page_items
        self.items, self.log, self.revision = {}, [], 1
        self.changed = asyncio.Condition()
        self.address = None
        self.lists = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            item = {"key": key, "value": base64.b64encode(data).decode(),
                    "revision": self.revision, "lease": 0,
                    "created": self.items.get(key, {}).get("created",
                                                           self.revision)}
            self.items[key] = item
            self.log.append(item)
            self.changed.notify_all()

    async def delete(self, key):
        async with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.log.append({"key": key, "revision": self.revision,
                                 "deleted": True})
                self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                start, _, _ = await read_message(reader)
                url = urllib.parse.urlparse(start.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query,
                                                    keep_blank_values=True))
                if len(start.split(" ")) != 3:
                    status, body = 400, {}
                elif url.path == "/api/kv-range":
                    status, body = self.range(query)
                elif url.path == "/api/kv-watch":
                    status, body = await self.watch(query)
                else:
                    status, body = 404, {}
                writer.write(message("HTTP/1.1 %d -" % status,
                                     {"Content-Type": "application/json"},
                                     json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def range(self, query):
        self.lists += 1
        keys = sorted(it for it in self.items
                      if it.startswith(query.get("prefix", ""))
                      and it > query.get("after", ""))
        page, size = [], 0
        for it in keys:
            if len(page) == self.page_items or size >= self.PAGE_BYTES:
                break
            page.append(it)
            size += len(self.items[it]["value"]) * 3 // 4
        return 200, {"items": [self.items[it] for it in page],
                     "has-more": len(keys) > len(page),
                     "store-revision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        async with self.changed:
            while True:
                events = [it for it in self.log if it["revision"] > after
                          and it["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    events = events[:self.MAX_EVENTS]
                    full = len(events) == self.MAX_EVENTS
                    return 200, {"events": events, "store-revision":
                                 events[-1]["revision"] if full
                                 else self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Server:
    """A backend server: runs `slots` requests at a time and queues a few more.

    `work_s(headers)` gives the time that a request takes. `before_answer(
    connection, headers)` returns bytes that the server sends before its answer.
    A request for which `crashes_on(method, path)` is true ends the server when
    it begins to run it; the server is back `down_s` later.
    """

    down_s = 3

    def __init__(self, world, service, number, zone, slots=2, queue=12,
                 work_s=0.02):
        self.world, self.service, self.zone = world, service, zone
        self.random = random.Random("%s/%d" % (service, number))
        self.slot_count, self.queue = slots, queue
        self.work_s = work_s if callable(work_s) else lambda _: work_s
        self.before_answer = lambda connection, headers: b""
        self.crashes_on = lambda method, path: False
        self.port = 0
        self.is_up = False

    async def start(self):
        """Starts a new run of the server, under a new id."""
        self.id = "i-%08x" % self.random.getrandbits(32)
        self.slots = asyncio.Semaphore(self.slot_count)
        self.waiting = 0
        self.connections = set()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self.serve, self.world.ip(1),
                                                 self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.world.ip(1), self.port)
        self.is_up = True
        await self.register()

    async def crash(self, down_s):
        """Ends the run with all its connections; a new one follows."""
        self.is_up = False
        former, ended_at = self.id, time.monotonic()
        self.server.close()
        for it in self.connections:
            it.transport.abort()
        await asyncio.sleep(down_s)
        await self.start()
        # The entry goes after three heartbeat intervals of silence.
        await asyncio.sleep(max(0, ended_at + 3 * HEARTBEAT_S
                                - time.monotonic()))
        await self.world.store.delete("servers/" + former)

    async def register(self):
        if not self.is_up:
            return
        self.sequence += 1
        await self.world.store.put("servers/" + self.id, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slot_count,
            "state": "ready", "warmup-left-ms": 0, "sequence": self.sequence,
            "born": self.born})

    async def serve(self, reader, writer):
        connection = {"requests": 0}
        connections, run = self.connections, self.id
        connections.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                arrived = time.monotonic()
                if not self.is_up or run != self.id:
                    raise ConnectionAbortedError  # The run has ended.
                connection["requests"] += 1
                early = self.before_answer(connection, headers)
                if early:
                    writer.write(early)
                    await writer.drain()
                status, extra, out = await self.answer(start, headers, body,
                                                       arrived)
                reply = {"Request-Id": headers.get("request-id", ""), **extra}
                writer.write(message("HTTP/1.1 %d -" % status, reply, out))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    async def answer(self, start, headers, body, arrived):
        ident = headers.get("request-id", "")
        method, path, _ = start.split(" ")
        record = self.world.record
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}, b""
        if not ident:
            return 400, {"Not-Executed": "1"}, b""
        if self.slots.locked() and self.waiting >= self.queue:
            return 503, {"Not-Executed": "1"}, b""
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            left = int(headers.get("request-deadline", "60000")) / 1000 - (
                time.monotonic() - arrived)
            if left <= 0:
                return 503, {"Not-Executed": "1"}, b""
            record.add("run", id=ident, server=self.id, service=self.service,
                       method=method, path=path, body=digest(body))
            if self.crashes_on(method, path):
                record.add("crash", id=ident, server=self.id)
                self.world.tasks.append(asyncio.create_task(
                    self.crash(self.down_s)))
                raise ConnectionAbortedError
            await asyncio.sleep(min(self.work_s(headers), left))
        finally:
            self.slots.release()
        out = ("%s ran %s %s\n" % (self.id, ident, digest(body))).encode()
        stamp = digest(("%s %s" % (self.id, ident)).encode() + out)
        record.add("answered by server", id=ident, server=self.id, status=200,
                   stamp=stamp, body=digest(out))
        return 200, {"Server-Stamp": stamp}, out


def digest(data):
    return hashlib.sha256(data).hexdigest()[:16]


class Gateway:
    """One process of the gateway, with its own loopback address."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.ip = world.ip(number + 2)
        self.zone = ZONES[number % len(ZONES)]
        self.name = "front-%s-%d" % (self.zone, number)
        self.settings = world.folder / (self.name + ".json")
        self.process = None

    def address(self, role):
        return "%s:%d" % (self.ip, self.world.ports[role])

    async def start(self):
        self.settings.write_text(json.dumps({
            "node": self.name, "role": "gateway", "machine-class": "front",
            "serves": ["front", "control", "directory"], "ip": self.ip,
            "zone": self.zone, "region": "kr-central",
            "zones": {it: "kr-central" for it in ZONES},
            "bind-addresses": {it: self.address(it) for it in
                               ("front", "ready", "control", "directory")},
            "internal-port-range": [self.world.ports["inner"],
                                    self.world.ports["inner"] + 15],
            "seeds": ["%s:%d" % (self.world.ip(n + 2),
                                 self.world.ports["control"])
                      for n in range(min(3, self.world.gateway_count))],
            "bootstrap": True, "loss-counted": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260,
                       "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "directory",
            "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "scatter", "places", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": self.world.store.address, "form": "read",
                         "writes-per-s": 400, "reads-per-s": 2000,
                         "history-s": 20, "value-bytes": 1048576,
                         "min-ttl-ms": 1000}}))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG")
                       if it in os.environ}
        self.log = open(self.world.folder / (self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(deploy["roles"]["gateway"]["run"]), cwd=ROOT,
            env={**environment, "BRONZEDEAL_NODE_FILE": str(self.settings)},
            stdout=self.log, stderr=self.log)
        self.world.record.add("gateway started", gateway=self.name,
                              address=self.address("front"))
        self.watcher = asyncio.create_task(self.watch())

    async def watch(self):
        code = await self.process.wait()
        self.world.record.add("gateway ended", gateway=self.name, code=code)

    def signal(self, number):
        self.world.record.add("signal", gateway=self.name,
                              signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def ready(self):
        answer = await ask(self.address("ready"), "GET /api/readiness HTTP/1.1",
                           {"Host": self.ip}, timeout=1)
        return answer is not None and answer[0] == 200

    def memory_mb(self):
        """The resident memory of the process."""
        status = pathlib.Path("/proc/%d/status" % self.process.pid).read_text()
        line = next(it for it in status.splitlines() if it.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def ask(address, start, headers, body=b"", timeout=3):
    """One request on a connection of its own; None without a whole answer."""
    try:
        async with asyncio.timeout(timeout):
            ip, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(message(start, {**headers, "Connection": "close"},
                                     body))
                first, headers, body = await read_message(reader)
                return int(first.split()[1]), headers, body
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


class Caller:
    """A caller with one kept connection to a gateway."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.reader = self.writer = None

    async def connect(self):
        ip, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), 1)

    def is_open(self):
        return self.writer is not None and not self.reader.at_eof()

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, path, method="GET", body=b"", budget_ms=8000,
                   headers=None):
        """Sends one attempt; returns its id and the answer.

        The answer is the status, the headers and the body. The status is 0 if
        the connection ended without a whole answer, and None if the caller has
        left at the end of its time budget.
        """
        ident = self.world.next_id()
        record = self.world.record
        if not self.is_open():
            self.close()
            await self.connect()
        self.writer.write(message(
            "%s %s HTTP/1.1" % (method, path),
            {"Host": HOST, "Request-Id": ident,
             "Request-Deadline": str(budget_ms), **(headers or {})}, body))
        try:
            await self.writer.drain()
        except OSError:
            pass
        record.add("sent", id=ident, to=self.address, method=method, path=path,
                   body=digest(body))
        try:
            async with asyncio.timeout(budget_ms / 1000):
                start, headers, out = await read_message(self.reader)
                status = int(start.split()[1])
        except TimeoutError:  # Before OSError, of which it is a subclass.
            status, headers, out = None, {}, b""
        except (OSError, asyncio.IncompleteReadError):
            status, headers, out = 0, {}, b""
        record.add("answer", id=ident, status=status, body=digest(out),
                   stamp=headers.get("server-stamp"))
        if not status or headers.get("connection", "").lower() == "close":
            self.close()
        return ident, (status, headers, out)


class World:
    """Store, servers, gateways and routes of one case."""

    def __init__(self, folder, record, gateways=3):
        self.folder, self.record = pathlib.Path(folder), record
        self.subnet = "127.%d.%d" % (random.randrange(16, 240),
                                     random.randrange(1, 250))
        self.gateway_count = gateways
        self.count = 0
        self.servers, self.gateways, self.routes = [], [], []
        self.services = {}
        self.version = 0
        self.limits = {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
        self.tasks = []

    def ip(self, number):
        return "%s.%d" % (self.subnet, number)

    def next_id(self):
        self.count += 1
        return "%016x" % (0x9c41d07be2a00000 + self.count)

    def pick_ports(self):
        self.ports, probes = {}, []
        for it in ("front", "ready", "control", "directory", "inner"):
            probe = socket.socket()
            probe.bind((self.ip(2), 0))
            self.ports[it] = probe.getsockname()[1]
            probes.append(probe)
        for it in probes:
            it.close()
        self.ports["inner"] = min(self.ports["inner"], 65000)

    async def start_platform(self, page_items=50):
        self.pick_ports()
        self.store = Store(self.ip(1), page_items)
        await self.store.start()

    async def add_service(self, name, servers, max_connections, **options):
        self.services[name] = max_connections
        for n in range(servers):
            server = Server(self, name, n, ZONES[n % len(ZONES)], **options)
            await server.start()
            self.servers.append(server)

    def add_route(self, name, service, kind="unsafe", timeout_ms=8000,
                  target_ms=500, attempts=2):
        self.routes.append({
            "name": name, "host": HOST, "prefix": "/%s/" % name,
            "route-type": kind, "service": service, "timeout-ms": timeout_ms,
            "target-latency-ms": target_ms, "max-attempts": attempts,
            "priority": 1})

    async def publish(self):
        self.version += 2
        await self.store.put("op/config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": it, "max-connections": n, "health-path":
                          "/health", "warmup-per-s": 20, "warmup-s": 3}
                         for it, n in self.services.items()],
            "limits": self.limits})
        self.record.add("configuration acknowledged", version=self.version,
                        limits=self.limits)

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for it in self.servers:
                await it.register()

    async def start_gateways(self):
        """Starts the gateways and waits until they are ready."""
        self.tasks.append(asyncio.create_task(self.heartbeats()))
        self.gateways = [Gateway(self, n) for n in range(self.gateway_count)]
        for it in self.gateways:
            await it.start()
        for it in self.gateways:
            await self.until(it.ready, 15, it.name + " is not ready")

    async def until(self, condition, seconds, reason):
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun(reason)
            await asyncio.sleep(0.1)

    async def directory(self):
        """The addresses that a directory answers with."""
        for it in random.sample(self.gateways, len(self.gateways)):
            answer = await ask(it.address("directory"),
                               "GET /api/resolution?name=%s&region=kr-central"
                               "&zone=%s HTTP/1.1" % (HOST, it.zone),
                               {"Host": it.ip}, timeout=1)
            if answer and answer[0] == 200:
                return json.loads(answer[2])["addrs"]
        return []

    async def close(self):
        for it in self.tasks:
            it.cancel()
        for it in self.gateways:
            await it.stop()
        for it in self.servers:
            it.server.close()
        self.store.server.close()


class CannotRun(Exception):
    """The case can't run here."""


def main(case, gateways=3):
    """Runs `case(world)`, which returns the texts of the broken promises."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record.add("start", trouble=TROUBLE)

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            world = World(temporary, record, gateways)
            await world.start_platform()
            try:
                async with asyncio.timeout(110):
                    return await case(world)
            finally:
                await world.close()

    try:
        broken = asyncio.run(run())
    except (CannotRun, OSError, TimeoutError) as e:
        record.add("cannot run", reason=str(e) or type(e).__name__)
        print("the case can't run: %s" % (e or type(e).__name__))
        sys.exit(NOT_RUN)
    for it in broken:
        record.add("broken", what=it)
        print(it)
    record.add("end", broken=len(broken))
    print("broken: %d" % len(broken))
    sys.exit(BROKEN if broken else HELD)
