"""Clients outside the limits: what they can hold in a gateway process.

The crowds and bounds are fixed. The tests check the life of the process, its
memory and descriptors, and one ordinary request while the crowd is connected;
they depend on no times. The time limits of requests and idle connections are
long, so that they don't end a crowd.
"""

import json
import os
import socket
import threading
import time
import unittest

import crowd
import standin
from world_test_case import WorldTestCase

MEMORY_MB = 64
MAX_DESCRIPTORS = 256
MEBIBYTE = 1 << 20
LIMITS = {"max-header-bytes": 65536, "max-body-bytes": MEBIBYTE,
          "header-timeout-ms": 60000, "idle-timeout-ms": 60000}
PORTS = ("front", "ready", "directory", "inner", "metrics")
CHUNKED = ("Transfer-Encoding: chunked",)
WHOLE_BODY = ("Content-Length: %d" % MEBIBYTE,)


class MisbehavingClientsTest(WorldTestCase):
    instances = 1
    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS
    head_count = 0

    def setUp(self):
        super().setUp()
        self.instance = self.world.instances[0]
        self.metrics_port = self.world.free_ports()["front"]
        self.set_limits(LIMITS)
        self.restart()

    def set_limits(self, limits):
        """Publishes limits of callers and waits until they are in force."""
        world = self.world
        world.config["limits"] = dict(limits)
        world.config["version"] = world.version = world.version + 2
        world.republish()
        line = '"config_accepted","instance":"%s","version":%d,' % (
            self.instance.name, world.version)
        log = world.folder / (self.instance.name + ".log")
        self.assertTrue(world.wait(lambda: line in log.read_text()))

    def restart(self, log=None):
        """Starts the process again with the limits of a small machine."""
        self.instance.stop()
        self.instance.arguments = ("--metrics-port", str(self.metrics_port))
        self.instance.write_settings(limits={
            "cpu-share": 1, "cores": 1, "max-fds": self.max_descriptors,
            "memory-mb": self.memory_mb})
        self.instance.start(log)
        self.assertTrue(self.world.wait(self.instance.ready))

    def answer_with(self, size):
        """Sets the size of the answers of the group `ledger`."""
        for it in self.servers_of("ledger"):
            it.body_bytes = size

    def address(self, port):
        if port == "metrics":
            return "%s:%d" % (self.instance.ip, self.metrics_port)
        return self.instance.address(port)

    def crowd(self, port, count, receive_buffer=None):
        clients = crowd.Crowd(self.address(port), count, receive_buffer)
        self.addCleanup(clients.close)
        return clients

    def heads(self, count, path="/read/", method="GET", fields=()):
        """Heads of requests, each with an id of its own."""
        heads = []
        for _ in range(count):
            self.head_count += 1
            ident = "crowd%06d" % self.head_count
            self.world.history.add("sent", id=ident, path=path + ident,
                                   instance=self.instance.name)
            lines = ["%s %s%s HTTP/1.1" % (method, path, ident),
                     "Host: shop.example", "Request-Id: " + ident,
                     "Request-Deadline: 2500", *fields]
            heads.append(("\r\n".join(lines) + "\r\n\r\n").encode())
        return heads

    def exchange_one_by_one(self, clients, size, requests=1):
        """Each client sends its requests and reads `size` bytes of replies."""
        for it in clients.sockets:
            one = crowd.Crowd.of([it])
            one.send([b"".join(self.heads(requests))])
            one.read(size)

    def assert_within_bounds(self):
        """The process lives, within the limits of its machine."""
        self.world.wait(self.has_settled)
        self.assertIsNone(self.instance.process.poll())
        self.assertLess(self.instance.peak_memory_mb(), self.memory_mb)
        self.assertLessEqual(self.instance.descriptor_count(),
                             self.max_descriptors)

    def has_settled(self):
        """True if what clients have sent doesn't change the process further."""
        before = self.instance.peak_memory_mb()
        time.sleep(0.5)
        return self.instance.peak_memory_mb() == before

    def assert_holds(self):
        """The process lives within its bounds and serves an ordinary caller.

        A caller comes again after a refusal.
        """
        self.assert_within_bounds()
        self.assertTrue(self.world.wait(
            lambda: self.world.call("read").status == 200))
        self.assertIsNone(self.instance.process.poll())
        self.assert_no_violations()

    def test_trailers_without_end(self):
        """Guards against trailers behind a chunked body that fill the memory."""
        for port in PORTS:
            clients = self.crowd(port, 8)
            heads = self.heads(8, "/read/", "POST", CHUNKED)
            clients.send([it + b"0\r\n" for it in heads],
                         b"X-Filler: x\r\n" * 4096, 600)
            self.assert_holds()

    def test_a_trailer_without_end(self):
        """Guards against one trailer line that fills the memory."""
        for port in PORTS:
            clients = self.crowd(port, 8)
            heads = self.heads(8, "/read/", "POST", CHUNKED)
            clients.send([it + b"0\r\nX-Filler: " for it in heads],
                         b"x" * 65536, 500)
            self.assert_holds()

    def test_chunk_extensions_without_end(self):
        """Guards against the extension of one chunk that fills the memory."""
        for port in PORTS:
            clients = self.crowd(port, 8)
            heads = self.heads(8, "/read/", "POST", CHUNKED)
            clients.send([it + b"1;" for it in heads], b"x" * 65536, 500)
            self.assert_holds()

    def test_serves_one_request_at_the_limits(self):
        """Guards against a limit that an ordinary client meets in calm."""
        fields = ("X-Filler: " + "x" * 60000,)
        body = b"x" * MEBIBYTE
        chunk = b"%x\r\n%s\r\n0\r\nX-Trailer: %s\r\n\r\n" % (
            MEBIBYTE, body, b"x" * 60000)
        for framing, data in ((WHOLE_BODY, body), (CHUNKED, chunk)):
            clients = self.crowd("front", 1)
            clients.send(self.heads(1, "/read/", "POST", fields + framing),
                         data, 1)
            self.assertTrue(self.world.wait(
                lambda: self.world.history.of("part")))
            clients.sockets[0].settimeout(5)
            self.assertIn(b" 200 ", clients.sockets[0].recv(100))
        self.assert_holds()

    def test_bodies_that_do_not_end(self):
        """Guards against unfinished bodies that together fill the memory."""
        for port in ("front", "inner"):
            clients = self.crowd(port, 120)
            clients.send(self.heads(120, "/read/", "POST", WHOLE_BODY),
                         b"x" * (MEBIBYTE - 1), 1)
            self.assert_holds()

    def test_heads_of_many_fields(self):
        """Guards against many short fields, which take far more memory than
        their bytes."""
        fields = ("a:",) * 14000 + ("Content-Length: 2",)
        for port in ("front", "inner"):
            clients = self.crowd(port, 120)
            clients.send(self.heads(120, "/read/", "POST", fields), b"x", 1)
            self.assert_holds()

    def test_bodies_of_requests_in_progress(self):
        """Guards against requests that wait for servers with their bodies."""
        for it in self.servers_of("ledger"):
            it.work_s = 2
        clients = self.crowd("front", 60)
        for it in clients.sockets:
            crowd.Crowd.of([it]).send(
                self.heads(1, "/read/", "POST", WHOLE_BODY),
                b"x" * MEBIBYTE, 1)
            self.world.wait(lambda: self.instance.unread_bytes("front") == 0)
        self.assert_within_bounds()
        for it in self.servers_of("ledger"):
            it.work_s = 0
        self.assert_holds()

    def test_bodies_that_many_servers_get(self):
        """Guards against a copy of a body for each server that gets it, kept
        by the connections after the request."""
        world = self.world
        shards = ["wide-%d" % n for n in range(24)]
        for n, group in enumerate(shards):
            world.add_server("i-" + group, group, world.zones[n % 3])
        world.publish(shards)
        self.set_limits(LIMITS)
        self.assertTrue(world.wait(lambda: world.call("all").headers.get(
            "Missing-Parts") == "0"))
        for it in world.servers:
            it.work_s = 0.3
        clients = self.crowd("front", 40)
        clients.send(self.heads(40, "/all/", "POST", WHOLE_BODY),
                     b"x" * MEBIBYTE, 1)
        clients.read(20)
        for it in world.servers:
            it.work_s = 0.004
        self.assert_holds()

    def test_replies_that_are_not_read(self):
        """Guards against replies that clients don't read."""
        self.answer_with(MEBIBYTE)
        self.exchange_one_by_one(
            self.crowd("front", 80, receive_buffer=4096), 20, requests=8)
        self.answer_with(48)
        self.assert_holds()

    def test_requests_behind_one_in_progress(self):
        """Guards against further requests that wait behind one in progress."""
        for n in range(2, 8):
            self.world.add_server("i-ledger-%d" % n, "ledger", "a")
        self.memory_mb, self.max_descriptors = 16, 1024
        self.restart()
        for it in self.servers_of("ledger"):
            it.work_s = 2
        clients = self.crowd("front", 300)
        clients.send(self.heads(300), b"x" * 65536, 1)
        self.assert_within_bounds()
        for it in self.servers_of("ledger"):
            it.work_s = 0
        self.assert_holds()

    def test_idle_connections_after_great_replies(self):
        """Guards against buffers that idle connections keep."""
        self.answer_with(MEBIBYTE)
        self.exchange_one_by_one(self.crowd("front", 100), MEBIBYTE)
        self.answer_with(48)
        self.assert_holds()

    def test_connections_to_all_ports(self):
        """Guards against connections that leave no descriptors for servers."""
        for port in PORTS:
            self.crowd(port, 100)
        self.assert_holds()

    def test_idle_connections(self):
        """Guards against idle connections that keep ordinary callers out."""
        for port in PORTS:
            self.crowd(port, 300)
            self.assert_holds()
            self.assertTrue(self.world.wait(self.instance.ready))
            self.assertTrue(self.world.wait(
                lambda: self.world.addresses(self.instance)))

    def test_unfinished_requests(self):
        """Guards against unfinished requests that keep ordinary callers out."""
        for port in PORTS:
            clients = self.crowd(port, 300)
            clients.send([b"GET /read/1 HTTP/1.1\r\n"] * 300)
            self.assert_holds()
            self.assertTrue(self.world.wait(self.instance.ready))
            self.assertTrue(self.world.wait(
                lambda: self.world.addresses(self.instance)))

    def test_replies_that_are_taken_slowly(self):
        """Guards against connections that a client holds for good by reading
        little at a time."""
        self.set_limits({**LIMITS, "idle-timeout-ms": 1000})
        self.answer_with(MEBIBYTE)
        clients = self.crowd("front", 4, receive_buffer=65536)
        self.exchange_one_by_one(clients, 20, requests=8)
        self.answer_with(48)

        def are_closed():
            clients.read(4096)
            return self.instance.connection_count("front") == 0

        self.assertTrue(self.world.wait(are_closed))
        self.assert_holds()

    def test_forged_gossip(self):
        """Guards against datagrams that fill the table of instances, with
        their text or by their number."""
        host, port = self.address("inner").split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for n in range(1500):
                state = ["127.%d.%d.1" % (100 + n // 250, n % 250),
                         "x" * 60000, "z", n + 1, 1, 0.5, 0, 0]
                sender.sendto(json.dumps([state]).encode(), (host, int(port)))
                if n % 2 == 0:
                    self.instance.ready()  # What was sent has been read.
        self.assert_holds()

    def test_queries_for_unknown_groups(self):
        """Guards against names in queries of instances that are kept for good.
        """
        clients = self.crowd("inner", 4)
        for n in range(100):
            fields = [(
                "X-Bronzedeal-Partial: 5 1 100 100 0",
                "X-Bronzedeal-Shards: " + " ".join(
                    "%d-%d-%d=x" % (n, client, it) for it in range(5000)))
                for client in range(4)]
            clients.send([self.heads(1, fields=it)[0] for it in fields])
            clients.read(20)
        self.assert_holds()

    def test_long_ids_while_nobody_reads_the_log(self):
        """Guards against log lines that fill the memory, as their text comes
        from clients and nobody reads them."""
        unread, log = os.pipe()
        self.addCleanup(os.close, unread)
        self.addCleanup(os.close, log)
        self.restart(log)
        head = (b"GET /none/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
                + b"\xff" * 60000 + b"\r\n\r\n")
        clients = self.crowd("front", 4)
        for _ in range(100):
            clients.send([head] * 4)
            clients.read(20)
        self.assert_holds()

    def test_requests_that_open_connections_to_servers(self):
        """Guards against requests that use up all descriptors for connections
        to servers."""
        for it in self.world.servers:
            it.work_s = 0.5
        clients = self.crowd("front", 120)
        clients.send(self.heads(120, "/all/"))
        reader = threading.Thread(target=clients.read, args=(20,))
        reader.start()
        highest = 0
        while reader.is_alive():
            highest = max(highest, self.instance.descriptor_count())
            time.sleep(0.01)
        reader.join()
        for it in self.world.servers:
            it.work_s = 0.004
        self.assertLessEqual(highest, MAX_DESCRIPTORS)
        self.assert_holds()


if __name__ == "__main__":
    unittest.main()
