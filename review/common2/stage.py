"""A small deployment on loopback addresses for the cases of the second review.

It runs `bronzedeal-gateway` as deploy/system.toml does, one process for each
machine, each with its own loopback address and settings like those of the
users' pages. The platform's store, the servers and the clients are stand-ins
in this file. They do what PROTOCOL.md says; where it is silent they behave
like sound ones. Each case adds the disruption that it is about.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import shlex
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
ZONES = ("daejeon-a", "sejong-b", "cheongju-c")
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
# Figures of the sheet of gaonsan-hide in SYSTEM.md.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000,
    "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 3000, "rollback-slack-ms": 250, "max-skew-ms": 12000,
    "retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-slack": 52,
    "warmup-overshoot": 1.5, "warmup-slack": 5, "evacuation-ms": 5000,
    "recovery-s": 12, "ttl_max_s": 5}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self):
        self.lock = threading.Lock()
        self.begun = time.monotonic()
        self.events = []

    def add(self, kind, **fields):
        with self.lock:
            at = time.monotonic() - self.begun
            self.events.append({"at": at, "kind": kind, **fields})
            return at

    def of(self, kind):
        with self.lock:
            return [it for it in self.events if it["kind"] == kind]

    def write(self, path, head):
        with self.lock, open(path, "w") as out:
            for line in head:
                out.write(line + "\n")
            for it in sorted(self.events, key=lambda it: it["at"]):
                fields = " ".join("%s=%s" % (key, it[key]) for key in it
                                  if key not in ("at", "kind"))
                out.write("%9.3f %-12s %s\n" % (it["at"], it["kind"], fields))


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def reply(self, status, headers, body=b""):
        lines = ["HTTP/1.1 %d %s" % (status, self.responses.get(
            status, ("Status",))[0])]
        lines += ["%s: %s" % it for it in headers.items()]
        lines.append("Content-Length: %d" % len(body))
        self.connection.sendall(
            ("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Listener(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def server_bind(self):
        socketserver.TCPServer.server_bind(self)  # No look-up of the name.
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request, client_address):
        pass  # Peers may close connections at any time.


def serve(listener):
    threading.Thread(target=listener.serve_forever,
                     kwargs={"poll_interval": 0.02}, daemon=True).start()


class Store:
    """The platform's store: keys, ranges and watches.

    `loses_answer` tells whether the answer to a call is lost.
    """

    def __init__(self):
        self.loses_answer = lambda handler, path: False
        self.changed = threading.Condition()
        self.items, self.log, self.revision = {}, [], 1
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                url = urllib.parse.urlparse(self.path)
                query = {key: value[0] for key, value
                         in urllib.parse.parse_qs(url.query).items()}
                status, body = {
                    "/api/kv-key": store.key, "/api/kv-range": store.range,
                    "/api/kv-watch": store.watch}[url.path](query)
                if store.loses_answer(self, url.path):
                    # Nothing further comes on this connection.
                    self.close_connection = True
                    while self.connection.recv(4096):
                        pass
                    return
                self.reply(status, {"Content-Type": "application/json",
                                    "Store-Era": "1"},
                           json.dumps(body).encode())

        self.listener = Listener(("127.0.0.1", 0), StoreHandler)
        self.address = "127.0.0.1:%d" % self.listener.server_address[1]
        serve(self.listener)

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            former = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(
                        json.dumps(value).encode()).decode(),
                    "revision": self.revision, "lease": 0,
                    "created": former["created"] if former else self.revision}
            self.items[key] = item
            self.log.append(item)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.log.append({"key": key, "revision": self.revision,
                                 "deleted": True})
                self.changed.notify_all()

    def key(self, query):
        with self.changed:
            item = self.items.get(query["key"])
            return (200, {**item, "store-revision": self.revision}) \
                if item else (404, {})

    def range(self, query):
        with self.changed:
            keys = sorted(it for it in self.items
                          if it.startswith(query["prefix"])
                          and it > query.get("after", ""))
            return 200, {"items": [self.items[it] for it in keys[:500]],
                         "has-more": len(keys) > 500,
                         "store-revision": self.revision}

    def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        with self.changed:
            while True:
                events = [it for it in self.log if it["revision"] > after
                          and it["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events,
                                 "store-revision": self.revision}
                self.changed.wait(left)


class Server:
    """A backend server: `slots` requests run at a time, `queue` more wait.

    It registers in the store and writes its entry again every heartbeat while
    `reports` is set. `turn_away` may answer a request before it runs, `decorate`
    adds headers to an answer, and `after_answer` is called after each answer.
    """

    def __init__(self, stage, ident, service, zone, slots=6, queue=24,
                 work_s=0.02):
        self.stage, self.id, self.service, self.zone = (
            stage, ident, service, zone)
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.lock = threading.Lock()
        self.free = threading.Semaphore(slots)
        self.present = 0
        self.state, self.sequence, self.warmup_until = "ready", 0, 0.0
        self.reports = True
        self.turn_away = lambda handler, ident: None
        self.decorate = lambda headers: None
        self.after_answer = lambda handler, data, status: None
        self.connections = set()
        self.port = 0
        self.begin_run()
        threading.Thread(target=self.report_regularly, daemon=True).start()

    def begin_run(self, cold_s=0.0):
        """Starts to listen, at the port of the former run if there was one."""
        server = self
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.warmup_until = time.monotonic() + cold_s

        class ServerHandler(Handler):
            def setup(self):
                super().setup()
                server.connections.add(self.connection)

            def finish(self):
                server.connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                server.handle(self)

            do_POST = do_GET

        self.listener = Listener(("127.0.0.1", self.port), ServerHandler)
        self.port = self.listener.server_address[1]
        serve(self.listener)
        self.is_up = True

    def end_run(self):
        """Crashes: the port refuses, and all connections are reset."""
        self.is_up = False
        self.listener.socket.close()
        for it in list(self.connections):
            reset(it)
        self.listener.shutdown()

    def is_cold(self):
        return time.monotonic() < self.warmup_until

    def entry(self):
        left_ms = 1000 * max(0.0, self.warmup_until - time.monotonic())
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "warmup-left-ms": int(left_ms),
                "sequence": self.sequence, "born": self.born}

    def report(self):
        self.sequence += 1
        self.stage.store.put("servers/" + self.id, self.entry())
        self.stage.record.add("entry", server=self.id, state=self.state,
                              sequence=self.sequence)

    def report_regularly(self):
        while True:
            time.sleep(HEARTBEAT_S)
            if self.reports and self.is_up and self.stage.is_open:
                self.report()

    def handle(self, handler):
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        if not self.is_up:
            handler.close_connection = True
            return
        if handler.path == "/health":
            handler.reply(200, {"Instance-Id": self.id})
            return
        ident = handler.headers.get("Request-Id", "")
        if handler.headers.get("Expected-Instance") not in (None, self.id):
            self.answer(handler, ident, 421, {"Instance-Id": self.id})
            return
        self.stage.record.add("arrival", server=self.id, id=ident,
                              **({"cold": True} if self.is_cold() else {}))
        if self.turn_away(handler, ident):
            return
        with self.lock:
            is_full = self.present >= self.slots + self.queue
            self.present += not is_full
        if is_full:
            self.answer(handler, ident, 503, {"Not-Executed": "1"})
            return
        with self.free:
            self.stage.record.add("run", server=self.id, id=ident,
                                  method=handler.command, path=handler.path)
            time.sleep(self.work_s() if callable(self.work_s)
                       else self.work_s)
        with self.lock:
            self.present -= 1
        stamp = "%s.%s" % (self.id, ident)
        self.answer(handler, ident, 200, {"Server-Stamp": stamp},
                    b"done by " + self.id.encode() + b" " + body)

    def answer(self, handler, ident, status, headers, body=b""):
        headers = {"Request-Id": ident, **headers}
        self.decorate(headers)
        self.stage.record.add("answered", server=self.id, id=ident,
                              status=status, **said(headers))
        try:
            handler.reply(status, headers, body)
            self.after_answer(handler, (status, headers, body), status)
        except OSError:
            handler.close_connection = True  # The gateway has closed it.


def said(headers):
    """What an answer announces, for the record."""
    names = [it for it in ("Not-Executed", "Server-Limit", "Server-Leaving",
                           "Retry-After") if it in headers]
    return {"said": ",".join(names)} if names else {}


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              b"\1\0\0\0\0\0\0\0")
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()
    except OSError:
        pass


class Gateway:
    """One machine's process, run with the words of deploy/system.toml."""

    def __init__(self, stage, number, zone):
        self.stage, self.number, self.zone = stage, number, zone
        self.name = "front-%s-%d" % (zone, number)
        self.ip = stage.ip(number)
        self.settings = stage.folder / (self.name + ".json")
        self.log = open(stage.folder / (self.name + ".log"), "wb")
        self.process = None

    def address(self, role):
        return "%s:%d" % (self.ip, self.stage.ports[role])

    def start(self):
        stage = self.stage
        self.settings.write_text(json.dumps({
            "node": self.name, "role": "gateway", "machine-class": "front",
            "serves": ["front", "directory", "control"], "ip": self.ip,
            "zone": self.zone, "region": "kr-central",
            "zones": {it: "kr-central" for it in ZONES},
            "bind-addresses": {it: self.address(it) for it in
                               ("front", "ready", "control", "directory")},
            "internal-port-range": [stage.ports["inner"]] * 2,
            "seeds": ["%s:%d" % (stage.ip(it), stage.ports["control"])
                      for it in range(min(3, stage.gateway_count))],
            "bootstrap": True, "loss-counted": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260,
                       "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "directory",
            "heartbeat-ms": 1200, "bounds": BOUNDS,
            "platform": {"address": stage.store.address, "form": "read",
                         "writes-per-s": 400, "reads-per-s": 2000,
                         "history-s": 20, "value-bytes": 1048576,
                         "min-ttl-ms": 1000}}))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())[
            "roles"]["gateway"]
        environment = {"PATH": os.environ.get("PATH", ""),
                       "HOME": os.environ.get("HOME", "/"),
                       "LANG": os.environ.get("LANG", "C"),
                       "BRONZEDEAL_NODE_FILE": str(self.settings)}
        self.process = subprocess.Popen(
            shlex.split(role["run"]), cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        stage.record.add("started", gateway=self.name)

    def is_ready(self):
        try:
            return ask(self.address("ready"), "GET", "/api/readiness")[0] == 200
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


def ask(address, method, path, headers=None, body=None, timeout=3):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.headers), answer.read()
    except http.client.HTTPException as e:
        raise OSError(str(e)) from e
    finally:
        connection.close()


class Stage:
    """The deployment of one case; use it as a context manager."""

    def __init__(self, record, gateways, routes, services):
        self.record = record
        self.gateway_count = gateways
        self.routes, self.services = routes, services
        self.folder_holder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.folder_holder.name)
        self.is_open = True
        self.servers, self.gateways, self.count = [], [], 0
        self.lock = threading.Lock()

    def ip(self, number):
        return "127.%d.%d.%d" % (self.subnet[0], self.subnet[1], number + 1)

    def choose_addresses(self):
        """A subnet where no other process uses the metrics port."""
        for n in range(200):
            self.subnet = 16 + (os.getpid() // 200 + n) % 200, os.getpid() % 200
            try:
                with socket.socket() as probe:
                    probe.bind((self.ip(0), 9464))
                break
            except OSError:
                continue
        else:
            raise CannotRun("no free addresses")
        probes, self.ports = [], {}
        for name in ("front", "ready", "control", "directory", "inner"):
            probe = socket.socket()
            probe.bind((self.ip(0), 0))
            probes.append(probe)
            self.ports[name] = probe.getsockname()[1]
        for it in probes:
            it.close()

    def __enter__(self):
        if not (ROOT / "target/bronzedeal-gateway").exists():
            raise CannotRun("target/bronzedeal-gateway is not built")
        self.choose_addresses()
        self.store = Store()
        return self

    def __exit__(self, *_):
        self.is_open = False
        for it in self.gateways:
            it.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for it in self.folder.glob("*.log"):
                (pathlib.Path(kept) / it.name).write_bytes(it.read_bytes())
        self.folder_holder.cleanup()

    def add_server(self, *args, **options):
        server = Server(self, *args, **options)
        server.report()
        self.servers.append(server)
        return server

    def publish(self, version=7):
        self.store.put("op/config", {
            "version": version, "routes": self.routes,
            "services": self.services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
        self.record.add("config", version=version)

    def start(self, settle_s=2.0):
        self.publish()
        self.gateways = [Gateway(self, n, ZONES[n % len(ZONES)])
                         for n in range(self.gateway_count)]
        for it in self.gateways:
            it.start()
        end = time.monotonic() + 15
        while not all(it.is_ready() for it in self.gateways):
            if time.monotonic() > end:
                raise CannotRun("a gateway isn't ready after 15 s")
            time.sleep(0.05)
        time.sleep(settle_s)  # Until the gateways know each other.

    def call(self, gateway, method, path, budget_ms=2000, body=None):
        """One client attempt with an id of its own; returns its status, or 0."""
        with self.lock:
            self.count += 1
            ident = "%016x" % (0x9c41d07b00000000 + self.count)
        self.record.add("sent", id=ident, method=method, path=path,
                        gateway=gateway.name)
        try:
            status, headers, _ = ask(
                gateway.address("front"), method, path,
                {"Host": HOST, "Request-Id": ident,
                 "Request-Deadline": str(budget_ms)}, body,
                budget_ms / 1000 + 1)
        except OSError:
            status, headers = 0, {}
        self.record.add("answer", id=ident, status=status,
                        stamp=headers.get("Server-Stamp", "-"),
                        **said(headers))
        return status, ident


def route(name, prefix, kind, service, timeout_ms=2000, aim_ms=500,
          attempts=2):
    return {"name": name, "host": HOST, "prefix": prefix, "route-type": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": aim_ms,
            "priority": 2, "service": service, "max-attempts": attempts}


def service(name, connections=96, warmup_per_s=0.0):
    return {"name": name, "health-path": "/health",
            "max-connections": connections, "protocol": "h1", "tls": False,
            "warmup-s": 3.0, "warmup-per-s": warmup_per_s}


def call_all(calls):
    """Runs the calls at the same time and waits for them."""
    threads = [threading.Thread(target=it, daemon=True) for it in calls]
    for it in threads:
        it.start()
    for it in threads:
        it.join()


def main(file, play):
    """Plays a case. `play(trouble, record)` returns what it has found.

    The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
    could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record()
    try:
        found = play(trouble, record)
        status = 1 if found else 0
    except (CannotRun, OSError, AssertionError) as e:
        found, status = ["could not run: %s" % e], 2
    head = ["trouble: %d" % trouble,
            "result: %s" % {0: "the rule held", 1: "the rule was broken",
                            2: "the case could not run"}[status]]
    head += ["found: " + it for it in found]
    path = pathlib.Path(file).resolve().parent / "record.txt"
    record.write(path, head)
    print("\n".join(head))
    sys.stdout.flush()
    os._exit(status)  # Threads of stand-ins may still wait.
