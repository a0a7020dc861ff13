"""Simulated platform for tests that run whole gateway processes.

It consists of a metadata store, backend servers that register in it, callers,
and a TCP proxy that injects connection faults, all on loopback addresses. One
history records every request and answer that callers and servers observe.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import socketserver
import struct
import subprocess
import threading
import time
import urllib.parse

BUILD = pathlib.Path(os.environ.get("BRONZEDEAL_BUILD", "build")).resolve()
LINKED_ERA = 1000
NOT_RUN_STATUSES = (408, 421, 429, 503)


class History:
    """The events that callers and servers observed, in order of time."""

    def __init__(self):
        self.lock = threading.Lock()
        self.events = []

    def add(self, kind, **fields):
        with self.lock:
            self.events.append({"kind": kind, "at": time.monotonic(), **fields})

    def of(self, kind):
        with self.lock:
            return [it for it in self.events if it["kind"] == kind]


class QuietHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def reply(self, status, headers, body):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Listener(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # the tests break connections on purpose


class Store:
    """The metadata store: lists, watches, and injected failures.

    `mode` is "ok", "silent" (the connection closes after 3 s without an
    answer), "reset" (the connection is reset) or "busy" (status 503).
    `on_range` replaces `read_page` for the pages of lists.
    """

    MAX_EVENTS = 500

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.log = []
        self.revision = 1
        self.history_from = 0
        self.era = 1
        self.mode = "ok"
        self.on_range = None
        store = self

        class Handler(QuietHandler):
            def do_GET(self):
                store.handle(self)

            def rewrite(self, item):
                pass

        self.listener = Listener(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.listener.server_address[1]
        threading.Thread(target=self.listener.serve_forever,
                         kwargs={"poll_interval": 0.05}, daemon=True).start()

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            item = {"key": key, "value": base64.b64encode(data).decode(),
                    "revision": self.revision, "lease": 0,
                    "created": self.items.get(key, {}).get("created",
                                                           self.revision)}
            self.items[key] = item
            self.log.append(item)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.log.append({"key": key, "revision": self.revision,
                                 "deleted": True})
                self.changed.notify_all()

    def copy(self):
        """What a later `restore` brings back."""
        with self.changed:
            return dict(self.items), list(self.log), self.revision

    def restore(self, copy):
        """Comes back from a copy: what was written since is lost."""
        with self.changed:
            self.items, self.log, self.revision = (
                dict(copy[0]), list(copy[1]), copy[2])
            self.era += 1
            self.changed.notify_all()

    def compact(self):
        with self.changed:
            self.history_from = self.revision
            self.log.clear()
            self.changed.notify_all()

    def handle(self, call):
        if self.mode == "silent":
            time.sleep(3)
            call.close_connection = True
            return
        if self.mode == "reset":
            call.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                       struct.pack("ii", 1, 0))
            call.close_connection = True
            return
        if self.mode == "busy":
            call.reply(503, {"Store-Era": str(self.era)}, b"{}")
            return
        url = urllib.parse.urlparse(call.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        status, body, era = 404, {}, self.era
        if url.path == "/api/kv-range":
            status, body = self.range(query)
        elif url.path == "/api/kv-watch":
            status, body = self.watch(query)
            era = self.era  # a watch may have waited
        for it in body.get("items", []) + body.get("events", []):
            call.rewrite(it)
        call.reply(status, {"Content-Type": "application/json",
                            "Store-Era": str(era)},
                   json.dumps(body).encode())

    def range(self, query):
        return (self.on_range or self.read_page)(query)

    def read_page(self, query):
        with self.changed:
            keys = sorted(it for it in self.items
                          if it.startswith(query["prefix"])
                          and it > query.get("after", ""))
            page = keys[:50]
            return 200, {"items": [dict(self.items[it]) for it in page],
                         "has-more": len(keys) > len(page),
                         "store-revision": self.revision}

    def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(
            query["wait-ms"]) / 1000
        with self.changed:
            while True:
                if not self.history_from <= after <= self.revision:
                    return 410, {}
                events = [it for it in self.log if it["revision"] > after
                          and it["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    events = events[:self.MAX_EVENTS]
                    full = len(events) == self.MAX_EVENTS
                    events = [dict(it) for it in events]
                    return 200, {"events": events, "store-revision":
                                 events[-1]["revision"] if full
                                 else self.revision}
                self.changed.wait(left)

    def close(self):
        self.listener.shutdown()
        self.listener.server_close()


class Server:
    """A backend server that registers in the store and runs requests.

    Times are in seconds: `work_s` is the time that each request takes, and
    answers are held back until `pause_until`. They have `body_bytes`.
    `fail_share` of the answers have status 500; `lose_share` of them are
    replaced by closing the connection.
    `unrun_share` of the requests get the status `unrun_status` without a run,
    and without a statement that they haven't run.
    With `endless`, the named part of each answer never ends. With
    `copy_after_s`, a second copy of each answer follows on the same connection.
    Answers state `request_limit`, the requests per second that the server
    accepts from all instances together, unless it is None. With `leaving`,
    answers announce that the server leaves and have `leaving_status`. With
    `retry_after_s`, requests are turned away with this value of Retry-After.
    A request whose path
    is in `crashing_paths` ends the server `crash_after_s` after it began to run;
    a new run of the server, with another id, begins `down_s` later. Its entry
    goes then, or after `lapse_s` if that is given. With `ends_silently`, the
    connections stay open without an answer, and the new run has another port.
    """

    def __init__(self, store, history, ident, group, zone):
        self.store, self.history = store, history
        self.id, self.group, self.zone = ident, group, zone
        self.work_s = 0.004
        self.body_bytes = 48
        self.great_body = b""
        self.pause_until = 0.0
        self.fail_share = 0.0
        self.lose_share = 0.0
        self.unrun_share = 0.0
        self.unrun_status = 500
        self.endless = None
        self.copy_after_s = None
        self.request_limit = None
        self.leaving = False
        self.leaving_status = 200
        self.retry_after_s = None
        self.crashing_paths = frozenset()
        self.crash_after_s = 0.0
        self.down_s = 1.0
        self.lapse_s = None
        self.ends_silently = False
        self.run_count = 1
        self.is_up = False
        self.sequence = 0
        self.state = "ready"
        self.listener = None
        self.port = 0
        self.proxy = None
        self.random = random.Random(ident)
        self.start()

    def start(self):
        server = self

        class Handler(QuietHandler):
            def setup(self):
                super().setup()
                self.server_run = server.id
                connections.add(self.connection)

            def finish(self):
                connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                server.run(self)

            do_POST = do_GET

        connections = self.connections = set()
        self.listener = Listener(("127.0.0.1", self.port), Handler)
        self.port = self.listener.server_address[1]
        self.is_up = True
        threading.Thread(target=self.listener.serve_forever,
                         kwargs={"poll_interval": 0.05}, daemon=True).start()

    def address(self):
        return self.proxy.address if self.proxy else "127.0.0.1:%d" % self.port

    def register(self, state="ready"):
        self.state = state
        self.sequence += 1
        if state == "draining":
            self.history.add("draining", server=self.id)
        self.write()

    def write(self):
        """Writes the server's entry as it is."""
        self.store.put("servers/" + self.id, {
            "service": self.group, "address": self.address(),
            "zone": self.zone, "version": "v1", "slots": 4,
            "state": self.state, "warmup-left-ms": 0,
            "sequence": self.sequence})

    def crash(self):
        """Ends the run with all its connections; a new one begins later."""
        with self.history.lock:
            if not self.is_up:
                return
            self.is_up = False
        self.history.add("crash", server=self.id, group=self.group)
        if self.lapse_s is not None:
            threading.Timer(self.lapse_s, self.store.delete,
                            ("servers/" + self.id,)).start()
        if self.ends_silently:
            self.port = 0
        else:
            for it in list(self.connections):
                try:
                    it.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # The peer has closed it.
            self.listener.socket.close()
        self.listener.shutdown()
        threading.Timer(self.down_s, self.start_again).start()

    def start_again(self):
        former = self.id
        self.run_count += 1
        self.id = "%s.%d" % (former.split(".")[0], self.run_count)
        self.start()
        self.register()
        self.store.delete("servers/" + former)

    def unregister(self):
        self.history.add("draining", server=self.id)
        self.store.delete("servers/" + self.id)

    def run(self, call):
        length = int(call.headers.get("Content-Length") or 0)
        sent = call.rfile.read(length) if length else b""
        ident = call.headers.get("Request-Id", "")
        if not self.is_up or call.server_run != self.id:
            self.end_call(call)
            return
        if call.headers.get("Expected-Instance") not in (None, self.id):
            call.reply(421, {"Instance-Id": self.id, "Request-Id": ident}, b"")
            return
        self.history.add("arrival", server=self.id, id=ident, path=call.path)
        announced = {"Server-Leaving": "1"} if self.leaving else {}
        if self.leaving and self.leaving_status == 503 or (
                self.retry_after_s is not None):
            if self.retry_after_s is not None:
                announced["Retry-After"] = "%g" % self.retry_after_s
                self.history.add("turned_away", server=self.id, id=ident,
                                 seconds=self.retry_after_s)
            if self.leaving:
                self.history.add("leaving", server=self.id, id=ident)
            call.reply(503, {"Request-Id": ident, "Not-Executed": "1",
                             **announced}, b"")
            return
        if self.random.random() < self.unrun_share:
            call.reply(self.unrun_status, {"Request-Id": ident}, b"")
            return
        self.history.add("run", server=self.id, group=self.group, id=ident,
                         method=call.command, path=call.path, body=sent)
        if call.path in self.crashing_paths:
            time.sleep(self.crash_after_s)
            self.crash()
            self.end_call(call)
            return
        wait = max(self.work_s, self.pause_until - time.monotonic())
        time.sleep(min(wait, 3))
        stamp = "%s.%s.%06x" % (self.id, ident, self.random.randrange(1 << 24))
        headers = {"Server-Stamp": stamp, "Request-Id": ident, **announced}
        if self.request_limit is not None:
            headers["Server-Limit"] = "%.1f" % self.request_limit
            self.history.add("limit", server=self.id, rate=self.request_limit)
        if self.random.random() < self.lose_share:
            call.close_connection = True
            return
        if self.endless:
            self.send_without_end(call)
            return
        if self.leaving:
            self.history.add("leaving", server=self.id, id=ident)
        if self.random.random() < self.fail_share or (
                self.leaving and self.leaving_status == 500):
            call.reply(500, headers, b"")
            return
        body = self.make_body()
        self.history.add("part", server=self.id, group=self.group, id=ident,
                         stamp=stamp, body=body)
        call.reply(200, headers, body)
        if self.copy_after_s is not None:
            time.sleep(self.copy_after_s)
            try:
                call.reply(200, headers, body)
            except OSError:
                pass  # The gateway has closed the connection.

    def make_body(self):
        """Random records; a great body is the same each time, as the history
        keeps it."""
        if self.body_bytes <= 4096:
            return self.random.randbytes(self.body_bytes)
        if len(self.great_body) != self.body_bytes:
            self.great_body = self.random.randbytes(self.body_bytes)
        return self.great_body

    def end_call(self, call):
        """Ends a call of a run that has ended."""
        call.close_connection = True
        if self.ends_silently:
            call.rfile.read()  # Until the peer closes.

    def send_without_end(self, call):
        """Sends an answer whose part `endless` goes on until the peer closes."""
        start, again = {
            "head": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x" * 65536),
            "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
            "chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       b"8000\r\n" + b"x" * 0x8000 + b"\r\n"),
            "extension": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                          b"\r\n\r\n1;", b"x" * 65536),
            "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000),
        }[self.endless]
        call.close_connection = True
        try:
            call.wfile.write(start)
            while True:
                call.wfile.write(again)
        except OSError:
            pass

    def close(self):
        if self.listener and self.is_up:
            self.listener.shutdown()
            self.listener.server_close()
        self.listener = None


class Proxy:
    """Forwards TCP connections and injects faults.

    `mode` is "pass", "silent" (no data in either direction, and no connection
    to the target), "abort" (connections are reset when data comes) or "one-way"
    (no data from the target). `delay_s` is added to each chunk of data.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"
        self.delay_s = 0.0
        self.links = set()
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.socket.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.refusing = False
        self.hanging = []
        threading.Thread(target=self.accept, args=(self.socket,),
                         daemon=True).start()

    def hang(self):
        """Nothing passes, and new connections stay without an answer."""
        self.mode = "silent"
        if not self.hanging:
            self.refuse()
            # The kernel doesn't answer once the queue of a listener is full.
            self.hanging = [socket.create_server(("127.0.0.1", self.port),
                                                 backlog=0)]
            for _ in range(2):
                it = socket.socket()
                it.setblocking(False)
                it.connect_ex(("127.0.0.1", self.port))
                self.hanging.append(it)

    def refuse(self):
        """New connections are refused; open ones live on."""
        if not self.refusing:
            self.refusing = True
            self.socket.shutdown(socket.SHUT_RDWR)
            self.socket.close()
            # A listener that was shut down gives back a port that the system
            # chose. The new socket stays bound, so that nobody else gets it.
            self.socket = socket.socket()
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.bind(("127.0.0.1", self.port))

    def accept_again(self):
        for it in self.hanging:
            it.close()
        self.hanging = []
        if self.refusing:
            self.socket.listen(128)
            self.refusing = False
            threading.Thread(target=self.accept, args=(self.socket,),
                             daemon=True).start()

    def accept(self, listening):
        while True:
            try:
                client_socket, _ = listening.accept()
            except OSError:
                return
            if self.mode == "silent":
                self.links.add(client_socket)  # accepted, but never forwarded
                continue
            if self.mode == "abort":
                threading.Thread(target=self.abort_on_data,
                                 args=(client_socket,), daemon=True).start()
                continue
            try:
                target_socket = socket.create_connection(
                    ("127.0.0.1", self.target_port), timeout=2)
            except OSError:
                self.abort(client_socket)
                continue
            self.links.update((client_socket, target_socket))
            for source, sink, answers in (
                    (client_socket, target_socket, False),
                    (target_socket, client_socket, True)):
                threading.Thread(target=self.pump,
                                 args=(source, sink, answers),
                                 daemon=True).start()

    def pump(self, source, sink, answers):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if self.mode == "silent" or (self.mode == "one-way" and answers):
                    continue
                if self.delay_s:
                    time.sleep(self.delay_s)
                sink.sendall(data)
        except OSError:
            pass
        for it in (source, sink):
            self.links.discard(it)
            try:
                it.close()
            except OSError:
                pass

    def abort_on_data(self, link):
        try:
            link.recv(1)
        except OSError:
            pass  # The peer has closed it.
        self.abort(link)

    @staticmethod
    def abort(link):
        try:
            link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
            # A thread that waits for data would delay the reset.
            link.shutdown(socket.SHUT_RD)
        except OSError:
            pass
        link.close()

    def reset(self):
        for it in list(self.links):
            self.abort(it)
            self.links.discard(it)

    def close(self):
        for it in self.hanging:
            it.close()
        self.socket.close()
        self.reset()


class Links:
    """The links of one instance to all servers, which can be cut together.

    The instance reads the store through `address`, where each server has the
    address of a proxy of this instance. The store states a later era there, so
    that the instance takes no addresses from others, which aren't cut. Modes:
    "silent" (nothing passes, new connections hang), "reset" (connections are
    reset and new ones refused), "refuse" (open connections live on and new ones
    are refused), "mute" (nothing passes, new connections are accepted) or
    "abort" (connections are reset, and new ones when a request comes).
    """

    def __init__(self, store):
        self.store, self.mode = store, "pass"
        self.proxies = {}
        self.lock = threading.Lock()
        links = self

        class Handler(QuietHandler):
            def do_GET(self):
                store.handle(self)

            def reply(self, status, headers, body):
                era = int(headers.get("Store-Era", 0)) + LINKED_ERA
                super().reply(status, {**headers, "Store-Era": str(era)}, body)

            def rewrite(self, item):
                links.rewrite(item)

        self.listener = Listener(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.listener.server_address[1]
        threading.Thread(target=self.listener.serve_forever,
                         kwargs={"poll_interval": 0.05}, daemon=True).start()

    def rewrite(self, item):
        if not item["key"].startswith("servers/") or "value" not in item:
            return
        entry = json.loads(base64.b64decode(item["value"]))
        port = int(entry["address"].split(":")[1])
        with self.lock:
            if port not in self.proxies:
                self.proxies[port] = Proxy(port)
                self.apply(self.proxies[port])
            entry["address"] = self.proxies[port].address
        item["value"] = base64.b64encode(json.dumps(entry).encode()).decode()

    def apply(self, proxy):
        if self.mode == "silent":
            proxy.hang()
            return
        if self.mode in ("mute", "abort"):
            proxy.accept_again()
            proxy.mode = "silent" if self.mode == "mute" else "abort"
            if self.mode == "abort":
                proxy.reset()
            return
        if self.mode != "reset":
            proxy.mode = "pass"
        if self.mode == "pass":
            proxy.accept_again()
        else:
            proxy.refuse()
        if self.mode != "refuse":
            proxy.reset()

    def cut(self, mode):
        with self.lock:
            self.mode = mode
            if mode in ("silent", "reset"):
                # No answer passes while the links are cut one by one.
                for it in self.proxies.values():
                    it.mode = "silent"
            for it in self.proxies.values():
                self.apply(it)

    def heal(self):
        self.cut("pass")

    def close(self):
        self.listener.shutdown()
        self.listener.server_close()
        for it in self.proxies.values():
            it.close()


class Instance:
    """A gateway process with its own loopback address."""

    def __init__(self, world, number):
        self.world = world
        self.ip = "127.0.%d.%d" % (world.subnet, number + 2)
        self.name = "gw-%d" % number
        self.zone = world.zones[number % len(world.zones)]
        self.settings = world.folder / (self.name + ".json")
        self.process = None
        self.links = Links(world.store) if number in world.linked else None
        self.arguments = ()  # Of the command line, beside the settings file.
        self.log = open(world.folder / (self.name + ".log"), "ab")

    def address(self, role):
        return "%s:%d" % (self.ip, self.world.ports[role])

    def write_settings(self, **changes):
        self.settings.write_text(json.dumps({
            "node": self.name, "ip": self.ip, "zone": self.zone, "region": "r",
            "bind-addresses": {it: self.address(it) for it in
                               ("front", "ready", "control", "directory")},
            "internal-port-range": [self.world.ports["inner"]] * 2,
            "seeds": ["127.0.%d.2:1" % self.world.subnet],
            "limits": {"cpu-share": 1, "cores": 1, "max-fds": 4096},
            "bounds": {"drain-ms": 3000, "grace-s": 6, "ttl_max_s": 1},
            "platform": {"address": self.links.address if self.links else
                         self.world.store_address}, **changes}))

    def start(self, log=None):
        """Starts the process; its output goes to `log`, or to its file."""
        self.world.history.add("started", instance=self.name)
        build = self.world.build_choice.choice(self.world.builds)
        self.process = subprocess.Popen(
            [str(build / "bronzedeal-gateway"), "--config",
             str(self.settings), *self.arguments],
            stdout=log or self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)

    def ready(self):
        return ask(self.address("ready"), "/api/readiness").status == 200

    def peak_memory_mb(self):
        status = pathlib.Path("/proc/%d/status" % self.process.pid).read_text()
        line = next(it for it in status.splitlines() if it.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def descriptor_count(self):
        return len(list(pathlib.Path("/proc/%d/fd" % self.process.pid
                                     ).iterdir()))

    def connection_rows(self, role):
        """The kernel's rows of the connections that the process holds open."""
        host, port = self.address(role).split(":")
        local = "%s:%04X" % (bytes(reversed(socket.inet_aton(host))).hex(
            ).upper(), int(port))
        rows = [it.split() for it in pathlib.Path("/proc/net/tcp").read_text(
            ).splitlines()[1:]]
        return [it for it in rows
                if it[1] == local and it[3] != "0A" and it[9] != "0"]

    def connection_count(self, role):
        return len(self.connection_rows(role))

    def unread_bytes(self, role):
        """Bytes that have arrived and that the process has not read."""
        return sum(int(it[4].split(":")[1], 16)
                   for it in self.connection_rows(role))

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class FormerInstance:
    """Takes part in gossip as an instance of version 405930d does.

    It states what that version states, passes on what it knows of the states of
    others, and answers requests of instances that it doesn't know as that
    version does.
    """

    FLAGS = 1 + 4 + 8  # ready, serving, in contact with the metadata service
    FIELDS = 8  # Those of a state that it knows.
    NEWNESS = slice(3, 5)  # Incarnation and heartbeat.

    def __init__(self, world, number):
        self.ip = "127.0.%d.%d" % (world.subnet, number + 2)
        self.world, self.name, self.heartbeat = world, "gw-%d" % number, 0
        self.incarnation = int(time.time() * 1000)
        self.asked = 0  # Number of requests that were handed over.
        self.heard = {}  # Newest states of other instances by address.
        instance = self

        class Handler(QuietHandler):
            def do_GET(self):
                instance.asked += "X-Bronzedeal-Handover" in self.headers
                length = int(self.headers.get("Content-Length") or 0)
                self.rfile.read(length)
                self.reply(400, {}, b"no partial query")

            do_POST = do_GET

        port = world.ports["inner"]
        self.listener = Listener((self.ip, port), Handler)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.ip, port))
        self.socket.settimeout(0.3)  # So that `hear` ends after `close`.
        self.stopping = threading.Event()
        for it in (self.listener.serve_forever, self.tell, self.hear):
            threading.Thread(target=it, daemon=True).start()

    def tell(self):
        while not self.stopping.wait(0.3):
            self.heartbeat += 1
            row = [self.ip, self.name, "former", self.incarnation,
                   self.heartbeat, 1.0, self.FLAGS, 100]
            text = json.dumps([row, *self.heard.copy().values()]).encode()
            for it in self.world.instances:
                self.socket.sendto(text, (it.ip, self.world.ports["inner"]))

    def hear(self):
        while not self.stopping.is_set():
            try:
                rows = json.loads(self.socket.recv(1 << 16))
            except OSError:
                continue
            # Crash notices are not known to that version.
            for row in rows if isinstance(rows, list) else ():
                known = self.heard.get(row[0])
                if row[0] != self.ip and (
                        not known or row[self.NEWNESS] > known[self.NEWNESS]):
                    self.heard[row[0]] = row[:self.FIELDS]

    def close(self):
        self.stopping.set()
        self.listener.shutdown()
        self.listener.server_close()
        self.socket.close()


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def ask(address, path, method="GET", headers=None, body=None, timeout=3,
        connection=None):
    """Sends one request; the status is 0 when no complete answer arrives."""
    owns_connection = connection is None
    if owns_connection:
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return Answer(answer.status, answer.headers, answer.read())
    except (OSError, http.client.HTTPException):
        return Answer(0, {}, b"")
    finally:
        if owns_connection:
            connection.close()


class World:
    """The gateways, store, backend servers and routes of one test.

    Each start of an instance runs the gateway of one of `builds`.
    """

    zones = ("a", "b", "c")

    def __init__(self, folder, instances=2, shards=4, replicas=2, seed=1,
                 proxied=False, linked=(), builds=(BUILD,)):
        self.folder = pathlib.Path(folder)
        self.timeout_ms = 2500  # Of routes and callers.
        self.linked = linked  # Numbers of the instances that have `links`.
        self.random = random.Random(seed)
        self.builds, self.build_choice = builds, random.Random(seed)
        # Keeps tests that run at the same time on different loopback addresses.
        self.subnet = 2 + os.getpid() % 250
        self.history = History()
        self.store = Store()
        self.store_proxy = None
        self.store_address = self.store.address
        if proxied:
            self.store_proxy = Proxy(int(self.store.address.split(":")[1]))
            self.store_address = self.store_proxy.address
        self.ports = self.free_ports()
        self.version = 0
        self.shards = ["shard-%d" % n for n in range(shards)]
        self.servers = []
        for number, group in enumerate(self.shards + ["ledger"]):
            for replica in range(replicas):
                self.add_server("i-%s-%d" % (group, replica), group,
                                self.zones[(number + replica) % 3], proxied)
        self.publish()
        self.instances = [Instance(self, n) for n in range(instances)]
        for it in self.instances:
            it.write_settings()
            it.start()
        self.count = 0

    def free_ports(self):
        names, ports, probes = ("front", "ready", "control", "directory",
                                "inner"), {}, []
        for name in names:
            probe = socket.socket()
            probe.bind(("127.0.%d.2" % self.subnet, 0))
            probes.append(probe)
            ports[name] = probe.getsockname()[1]
        for it in probes:
            it.close()
        return ports

    def add_server(self, ident, group, zone, proxied=False):
        server = Server(self.store, self.history, ident, group, zone)
        if proxied:
            server.proxy = Proxy(server.port)
        server.register()
        self.servers.append(server)
        return server

    def publish(self, shards=None, extra=0):
        if shards:
            self.shards = shards
        self.version += 2
        host = {"host": "shop.example", "timeout-ms": self.timeout_ms,
                "target-latency-ms": 300, "priority": 1, "max-attempts": 2}
        routes = [
            {"name": "all", "prefix": "/all/", "route-type": "safe",
             "fanout-services": self.shards, "top-k": 5,
             "min-success-share": 0.5, **host},
            {"name": "read", "prefix": "/read/", "route-type": "safe",
             "service": "ledger", **host},
            {"name": "write", "prefix": "/write/", "route-type": "unsafe",
             "service": "ledger", **host}]
        routes += [{"name": "x%d" % n, "prefix": "/x%d/" % n, "route-type":
                    "safe", "service": "ledger", **host} for n in range(extra)]
        self.history.add("config", shards=list(self.shards))
        self.config = {
            "version": self.version, "routes": routes,
            "services": [{"name": it, "max-connections": 30, "warmup-per-s": 1}
                         for it in self.shards + ["ledger"]],
            "limits": {"max-header-bytes": 8192, "max-body-bytes": 65536,
                       "header-timeout-ms": 2000, "idle-timeout-ms": 10000}}
        self.republish()

    def write_again(self):
        """Writes what operators and servers have written, after a restore."""
        self.republish()
        for it in self.servers:
            it.sequence += 1
            it.write()

    def republish(self):
        """Writes the newest configuration again."""
        self.store.put("op/config", self.config)

    def wait(self, condition, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.05)
        return False

    def call(self, kind, instance=None, connection=None, address=None,
             target=None, patience_s=None):
        """Sends a caller's request and records it and its answer.

        Each request has a path and a body of its own, unless `target` gives the
        path. With `patience_s`, the caller leaves after that time.
        """
        with self.history.lock:
            self.count += 1
            ident = "r%06d" % self.count
        instance = instance or self.instances[0]
        path = target or "/%s/%s" % (kind, ident)
        method = "POST" if kind == "write" else "GET"
        body = path.split("/")[-1].encode() if kind == "write" else None
        self.history.add("sent", id=ident, path=path, instance=instance.name)
        answer = ask(address or instance.address("front"), path, method,
                     {"Host": "shop.example", "Request-Id": ident,
                      "Request-Deadline": str(self.timeout_ms)}, body,
                     patience_s or self.timeout_ms / 1000 + 1.5, connection)
        self.history.add("answer", id=ident, request=kind, path=path,
                         status=answer.status, body=answer.body,
                         headers={k.lower(): v for k, v in
                                  dict(answer.headers).items()})
        return answer

    def addresses(self, instance):
        answer = ask(instance.address("directory"),
                     "/api/resolution?name=shop.example&region=r&zone=a",
                     timeout=1)
        return json.loads(answer.body)["addrs"] if answer.status == 200 else []

    def close(self):
        for it in self.instances:
            it.stop()
            it.log.close()
            if it.links:
                it.links.close()
        for it in self.servers:
            it.close()
            if it.proxy:
                it.proxy.close()
        if self.store_proxy:
            self.store_proxy.close()
        self.store.close()


def violations(history):
    """The guarantees that a history violates, one text each.

    A write runs at most once, and not at all when the status states so; each
    answer is one that a server gave for that request; a merged answer holds the
    greatest records of parts from one configuration version.
    """
    found = []
    parts = {it["stamp"]: it for it in history.of("part")}
    sent = {it["id"]: it["path"] for it in history.of("sent")}
    shard_sets = [set(it["shards"]) for it in history.of("config")]
    runs = {}
    for it in history.of("run"):
        runs.setdefault(it["id"], []).append(it)
        if sent.get(it["id"]) != it["path"]:
            found.append("%s: run with path %s" % (it["id"], it["path"]))
    for it in history.of("answer"):
        ident, status = it["id"], it["status"]
        run_count = len(runs.get(ident, []))
        if it["request"] == "write" and run_count > 1:
            found.append("%s: ran %d times" % (ident, run_count))
        if it["request"] == "write" and status in NOT_RUN_STATUSES and run_count:
            found.append("%s: answered %d and ran" % (ident, status))
        if status == 200 and it["request"] == "all":
            found += check_merged(it, parts, shard_sets)
        elif status == 200:
            part = parts.get(it["headers"].get("server-stamp"))
            if not part or part["id"] != ident or part["body"] != it["body"]:
                found.append("%s: not a server's answer" % ident)
    return found


class LimitsHeard:
    """When each process of the instances heard of a server's limit, by its log.

    Faults may keep the answers that state a limit from one instance, which then
    has no part in the promise. Servers can't tell which instance sent a part of a
    query.
    """

    HEARD_S = 0.5  # From so long after an answer, its limit counts.

    def __init__(self, world):
        self.starts, self.changes = {}, {}
        offset = time.time() - time.monotonic()
        for it in world.instances:
            log = world.folder / (it.name + ".log")
            for line in log.read_text(errors="replace").splitlines():
                if not line.startswith("{"):
                    continue
                event = json.loads(line)
                at = event["time_ms"] / 1000 - offset
                if event["event"] == "start":
                    self.starts.setdefault(it.name, []).append(at)
                elif event["event"] == "server_limit":
                    self.changes.setdefault((it.name, event["server"]), []
                                            ).append((at, event["state"]))

    def by_all(self, server, at, contact_s):
        """Whether all processes older than `contact_s` have heard of it."""
        for instance, starts in self.starts.items():
            start = max((it for it in starts if it <= at), default=None)
            if start is None or at - start < contact_s:
                continue
            states = [state for when, state
                      in self.changes.get((instance, server), ())
                      if start <= when <= at - self.HEARD_S]
            if not states or states[-1] == "ends":
                return False
        return True


def limit_violations(history, contact_s=4.0, window_s=4.0, heard=None):
    """Servers that got more requests than the limit that they had stated.

    Holds for each window that begins `contact_s` after the server's first
    statement or later, and ends before its last one. Requests that an instance
    took within `contact_s` of its start don't count. With `heard`, windows count
    at whose begin all older processes had heard of the limit.
    """
    found = []
    statements, arrivals, starts = {}, {}, {}
    sent_to = {it["id"]: it["instance"] for it in history.of("sent")}
    for it in history.of("started"):
        starts.setdefault(it["instance"], []).append(it["at"])
    for it in history.of("limit"):
        statements.setdefault(it["server"], []).append(it)
    for it in history.of("run"):
        if not any(0 <= it["at"] - at < contact_s
                   for at in starts.get(sent_to.get(it["id"]), ())):
            arrivals.setdefault(it["server"], []).append(it["at"])
    for server, stated in statements.items():
        begin, end = stated[0]["at"] + contact_s, stated[-1]["at"]
        allowed = 1.5 * max(it["rate"] for it in stated) * window_s + 5
        times = [it for it in arrivals.get(server, ()) if begin <= it <= end]
        for at in times:
            count = sum(at <= it < at + window_s for it in times)
            if count > allowed and (
                    heard is None or heard.by_all(server, at, contact_s)):
                found.append("%s: %d requests in %g s, %g allowed" % (
                    server, count, window_s, allowed))
                break
    return found


def announcement_violations(history, drain_s=3.0, margin_s=0.5):
    """Requests that reached servers against what these had announced.

    To an instance that a server has told that it leaves: later than `drain_s`
    after that. After a server has turned away an instance's request for some
    time: more than two from `margin_s` on to the end of that time. Requests are
    counted for the instance that got them from the caller, so this holds for
    requests to one server only.
    """
    found = []
    sent_to = {it["id"]: it["instance"] for it in history.of("sent")}
    arrivals, leaving = {}, {}
    for it in history.of("arrival"):
        key = it["server"], sent_to.get(it["id"])
        arrivals.setdefault(key, []).append(it["at"])
    for it in history.of("leaving"):
        leaving.setdefault((it["server"], sent_to.get(it["id"])), it["at"])
    for key, at in leaving.items():
        late = [it for it in arrivals[key] if it > at + drain_s]
        if late:
            found.append("%s: %d requests of %s after it had announced its end"
                         % (key[0], len(late), key[1]))
    for it in history.of("turned_away"):
        key = it["server"], sent_to.get(it["id"])
        window = [at for at in arrivals[key] if
                  it["at"] + margin_s < at < it["at"] + it["seconds"]]
        if len(window) > 2:
            found.append("%s: %d requests of %s within %g s after a refusal" % (
                key[0], len(window), key[1], it["seconds"]))
    return found


def check_merged(answer, parts, shard_sets):
    ident = answer["id"]
    stamps = [it.strip() for it in
              answer["headers"].get("part-stamps", "").split(",")]
    included = [parts.get(it) for it in stamps]
    if not all(it and it["id"] == ident for it in included):
        return ["%s: a part that no server gave for it" % ident]
    groups = [it["group"] for it in included]
    if len(set(groups)) != len(groups):
        return ["%s: two parts of one shard" % ident]
    missing = int(answer["headers"].get("missing-parts", "0"))
    if not any(set(groups) <= it and len(it) == len(groups) + missing
               for it in shard_sets):
        return ["%s: parts of no single version" % ident]
    records = sorted((it["body"][at:at + 16] for it in included
                      for at in range(0, len(it["body"]) - 15, 16)),
                     reverse=True)[:5]
    if answer["body"] != b"".join(records):
        return ["%s: not the greatest records of its parts" % ident]
    return []
