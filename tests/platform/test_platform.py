"""Runs whole gateway processes on a simulated platform."""

import http.client
import json
import random
import signal
import socket
import threading
import time
import unittest

import standin
from world_test_case import WorldTestCase


class PlatformTest(WorldTestCase):
    def test_serves_all_kinds(self):
        """Guards against a kind of request that an instance doesn't serve."""
        world = self.world
        for it in world.instances:
            for kind in ("all", "read", "write"):
                self.assertEqual(200, world.call(kind, it).status, kind)
        answer = world.call("all")
        self.assertEqual("0", answer.headers["Missing-Parts"])
        self.assert_no_violations()

    def test_address_answers_hold_both_instances(self):
        """Guards against an address answer that lacks one of two instances."""
        world = self.world
        expected = {it.address("front") for it in world.instances}
        for it in world.instances:
            self.assertTrue(
                world.wait(lambda it=it: set(world.addresses(it)) == expected))

    def test_unknown_route_is_404(self):
        self.assertEqual(404, self.world.call("nothing").status)

    def test_reads_what_has_arrived_before_it_closes_an_idle_connection(self):
        """Guards against requests that are cut when a timer comes before what
        has arrived while the process was paused."""
        world = self.world
        world.config["limits"]["idle-timeout-ms"] = 2000
        world.config["version"] = world.version = world.version + 2
        world.republish()
        time.sleep(2)  # Until the version is in force.
        instance = world.instances[0]
        ip, port = instance.address("front").split(":")
        connections = [http.client.HTTPConnection(ip, int(port), 5)
                       for _ in range(20)]
        for it in connections:
            self.addCleanup(it.close)
            self.assertEqual(200, world.call("read", connection=it).status)
        answered = time.monotonic()
        time.sleep(1)
        instance.signal(signal.SIGSTOP)
        idle_s = time.monotonic() - answered
        statuses = []
        callers = [threading.Thread(target=lambda it=it: statuses.append(
            world.call("write", connection=it).status)) for it in connections]
        for it in callers:
            it.start()
        time.sleep(1.5)
        instance.signal(signal.SIGCONT)
        for it in callers:
            it.join()
        self.assertEqual([200] * len(connections), statuses,
                         "idle for %.3f s at the pause" % idle_s)
        self.assert_no_violations()

    def test_activates_published_configurations(self):
        """Guards against a configuration version that isn't activated."""
        world = self.world
        self.assertEqual(404, world.call("x0").status)
        world.publish(extra=1)
        self.assertTrue(world.wait(lambda: world.call("x0").status == 200))
        world.publish(shards=world.shards[:2])
        self.assertTrue(world.wait(lambda: world.call("all").headers.get(
            "Part-Stamps", "").count(",") == 1))
        self.assert_no_violations()

    def test_avoids_withdrawn_zones_and_draining_servers(self):
        """Guards against requests to withdrawn zones and draining servers."""
        world = self.world
        world.store.put("op/evacuate/a", {})
        leaving = next(it for it in world.servers
                       if it.group == "ledger" and it.zone != "a")
        time.sleep(3)
        before = len(world.history.of("run"))
        for _ in range(10):
            world.call("all")
        zones = {it.id: it.zone for it in world.servers}
        for it in world.history.of("run")[before:]:
            self.assertNotEqual("a", zones[it["server"]])
        world.store.delete("op/evacuate/a")
        leaving.register("draining")
        time.sleep(3)
        before = len(world.history.of("run"))
        for _ in range(10):
            self.assertEqual(200, world.call("read").status)
        for it in world.history.of("run")[before:]:
            self.assertNotEqual(leaving.id, it["server"])
        self.assert_no_violations()

    def test_ignores_malformed_entries(self):
        """Guards against malformed entries that affect valid ones."""
        world = self.world
        for n, value in enumerate((b"\xff\xfe", b"[]", b"{}", b'{"service":7}')):
            world.store.put("servers/forged-%d" % n, value)
        world.store.put("op/config", b"{\"version\": \"new\"}")
        time.sleep(1.5)
        for kind in ("all", "read", "write"):
            self.assertEqual(200, world.call(kind).status)

    def test_follows_the_store_beside_odd_entries(self):
        """Guards against odd entries of another writer that end the process or
        stop it from following the store.
        """
        world = self.world
        entry = {"service": "ledger", "address": "127.0.0.1:1", "zone": "a",
                 "version": "v1", "slots": 4, "state": "ready",
                 "warmup-left-ms": 0, "sequence": 1}
        deep = b'{"service": ' + b"[" * 100000 + b"]" * 100000 + b"}"
        odd = [json.dumps({**entry, **it}).encode() for it in (
            {"address": "127.0.0.1:70000"}, {"address": "127.0.0.1:0"},
            {"slots": 10 ** 400}, {"slots": 1e300}, {"slots": 2 ** 32},
            {"warmup-left-ms": 1e300}, {"warmup-left-ms": 2 ** 63 - 1},
            {"sequence": 10 ** 30}, {"born": 2 ** 64})] + [deep]
        for round_number in range(3):
            for n, value in enumerate(odd):
                world.store.put("servers/odd-%d" % n, value)
            world.publish(extra=round_number + 1)
            route = "x%d" % round_number
            for it in world.instances:
                self.assertTrue(world.wait(
                    lambda it=it: world.call(route, it).status == 200))
                for kind in ("all", "read", "write"):
                    self.assertEqual(200, world.call(kind, it).status)
        self.assertTrue(all(it.process.poll() is None
                            for it in world.instances))
        self.assert_no_violations()

    def restart_all(self):
        for it in self.world.instances:
            it.signal(signal.SIGKILL)
            it.process.wait()
        for it in self.world.instances:
            it.start()
        for it in self.world.instances:
            self.assertTrue(self.world.wait(it.ready), it.name)

    def test_starts_beside_any_key_at_the_end_of_a_page(self):
        """Guards against keys of another writer that keep instances from
        reading the list of servers to its end.
        """
        world = self.world
        for n in range(49):
            world.store.put("servers/A%02d" % n, b"x")
        for key in ("servers/R&D", "servers/R D", "servers/R+D", "servers/R%2",
                    "servers/R#D", "servers/R\u00e9\u4e16", "servers/R?D=1"):
            world.store.put(key, b"\xff")  # The last key of the first page.
            self.restart_all()
            self.assertEqual(200, world.call("all").status, key)
            world.store.delete(key)

    def test_starts_although_a_list_does_not_end(self):
        """Guards against a walk over pages that leads nowhere: an instance must
        use what it knows, and not ask without a pause.
        """
        world = self.world
        pages, read_page = [], world.store.read_page

        def first_page(query):
            pages.append(query)
            status, body = read_page({"prefix": query["prefix"]})
            return status, {**body, "has-more": True}

        def empty_page(query):
            pages.append(query)
            status, body = read_page(query)
            return status, {**body, "has-more": True}

        for world.store.on_range in (first_page, empty_page):
            self.restart_all()
            for it in world.instances:
                self.assertEqual(200, world.call("all", it).status)
            before = len(pages)
            time.sleep(2)
            self.assertLess(len(pages) - before, 40)

    def test_serves_while_the_store_is_unavailable(self):
        """Guards against failing requests while the store is unavailable.

        Afterwards, a version must be read although the history is compacted.
        """
        world = self.world
        for mode in ("busy", "reset"):
            world.store.mode = mode
            time.sleep(1)
            self.assertEqual(200, world.call("all").status, mode)
        world.store.mode = "ok"
        world.store.compact()
        world.publish(extra=2)
        self.assertTrue(world.wait(lambda: world.call("x1").status == 200))

    def test_finishes_requests_before_it_stops(self):
        """Guards against requests that fail in a planned stop."""
        world = self.world
        stopped, other = world.instances
        for it in world.servers:
            it.work_s = 0.3
        statuses = []
        connection = http.client.HTTPConnection(
            *stopped.address("front").split(":"), timeout=4)

        def call():
            statuses.append(world.call("read", stopped,
                                       connection=connection).status)

        call()
        caller = threading.Thread(target=call)
        caller.start()
        time.sleep(0.1)
        stopped.signal(signal.SIGTERM)
        caller.join()
        self.assertEqual([200, 200], statuses)
        self.assertEqual(503, standin.ask(stopped.address("ready"),
                                          "/api/readiness").status)
        self.assertTrue(world.wait(
            lambda: world.addresses(other) == [other.address("front")]))
        self.assertEqual(0, stopped.process.wait(7))
        connection.close()
        self.assert_no_violations()

    def test_serves_while_servers_answer_without_end(self):
        """Guards against one server's endless answers that fill the memory."""
        world = self.world
        instance = world.instances[0]
        limit_mb = 160
        instance.stop()
        instance.write_settings(limits={"cpu-share": 1, "cores": 1,
                                        "max-fds": 4096,
                                        "memory-mb": limit_mb})
        instance.start()
        self.assertTrue(world.wait(instance.ready))
        kinds = ("head", "body", "chunks", "extension", "interim")
        for number, server in enumerate(it for it in world.servers
                                        if it.id.endswith("-0")):
            server.endless = kinds[number % len(kinds)]
        answers = []

        end = time.monotonic() + 5

        def call():
            while time.monotonic() < end:
                for kind in ("all", "read"):
                    answers.append(world.call(kind, instance).status)
        callers = [threading.Thread(target=call) for _ in range(4)]
        for it in callers:
            it.start()
        for it in callers:
            it.join()
        self.assertIsNone(instance.process.poll())
        self.assertLess(instance.peak_memory_mb(), limit_mb / 2)
        self.assertGreaterEqual(answers.count(200), 0.99 * len(answers))
        self.assert_no_violations()

    def test_drops_second_copies_of_answers(self):
        """Guards against answers of another request on a reused connection."""
        world = self.world
        for delay in (0.0, 0.003, 0.02):
            for number, server in enumerate(world.servers):
                server.copy_after_s = delay if number % 2 == 0 else None
            statuses = []

            def call(delay=delay):
                for kind in ("all", "read", "write") * 10:
                    statuses.append(world.call(
                        kind, random.choice(world.instances)).status)
                    time.sleep(delay / 4)
            callers = [threading.Thread(target=call) for _ in range(4)]
            for it in callers:
                it.start()
            for it in callers:
                it.join()
            self.assertGreater(statuses.count(200), len(statuses) / 2, delay)
        self.assert_no_violations()

    def test_survives_malformed_messages(self):
        """Guards against one malformed message that ends a process."""
        world = self.world
        instance = world.instances[0]
        choice = random.Random(1)
        starts = (b"", b"[[", b'[["10.0.0.1","x","z",1,2,0.5,3,100]]',
                  b'[["10.0.0.1","x","z",-1,1e999,0.5,3,100]]',
                  b"GET /all/1 HTTP/1.1\r\nHost: shop.example\r\n",
                  b"POST /all/1 HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                  b"GET /metadata HTTP/1.1\r\nX-Bronzedeal-Metadata-After: "
                  b"0 0 0 0 9223372036854775807\r\n\r\n",
                  b"GET / HTTP/1.1\r\nX-Bronzedeal-Shards: a=b\r\n"
                  b"X-Bronzedeal-Partial: 99999999999999999 0 "
                  b"9223372036854775807 9223372036854775807 0\r\n\r\n")
        for _ in range(60):
            data = choice.choice(starts) + choice.randbytes(
                choice.choice((0, 3, 200)))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                host, port = instance.address("inner").split(":")
                sender.sendto(data, (host, int(port)))
            for role in ("front", "ready", "directory", "inner"):
                host, port = instance.address(role).split(":")
                with socket.create_connection((host, int(port)), 3) as sender:
                    sender.sendall(data)
        for kind in ("all", "read", "write"):
            self.assertEqual(200, world.call(kind, instance).status, kind)
        self.assertIsNone(instance.process.poll())
        self.assert_no_violations()

    def test_keeps_valid_settings_on_an_invalid_reload(self):
        """Guards against invalid settings that replace valid ones on SIGHUP."""
        world = self.world
        it = world.instances[0]
        it.settings.write_text("{")
        it.signal(signal.SIGHUP)
        time.sleep(0.5)
        self.assertEqual(200, world.call("all", it).status)
        it.write_settings(bounds={"grace-s": 4})
        it.signal(signal.SIGHUP)
        time.sleep(0.5)
        self.assertEqual(200, world.call("all", it).status)
        text = (world.folder / (it.name + ".log")).read_text()
        self.assertIn("settings_refused", text)
        self.assertIn("settings_reloaded", text)

    def test_is_not_ready_without_a_configuration(self):
        """Guards against an instance that is ready without a configuration.

        It must answer 503 with Retry-After, since 404 would be final.
        """
        world = self.world
        world.store.mode = "busy"
        it = world.instances[0]
        it.stop()
        it.start()
        self.assertTrue(world.wait(lambda: standin.ask(
            it.address("ready"), "/api/readiness").status == 503))
        answer = world.call("read", it)
        self.assertEqual(503, answer.status)
        self.assertIn("Retry-After", answer.headers)
        world.store.mode = "ok"
        self.assertTrue(world.wait(it.ready))


class ForgedMarkTest(WorldTestCase):
    """Queries whose parts go to instances of other failure domains."""

    instances = 3
    SHARDS = 12
    QUERIES = 10
    MARK = '0 0 {"crashes":[],"servers":{"part-0":["i-part-0"]}}'

    def test_passes_no_mark_of_a_caller_to_other_instances(self):
        """Guards against callers who pretend that another instance hands their
        request over, with what it would state about contents and servers."""
        world = self.world
        shards = ["part-%d" % n for n in range(self.SHARDS)]
        for n, it in enumerate(shards):
            world.add_server("i-" + it, it, world.zones[n % 3])
        world.publish(shards=shards)
        time.sleep(4)  # Until the version is in force.
        for n in range(self.QUERIES):
            ident = "forged-%d" % n
            world.history.add("sent", id=ident, path="/all/" + ident,
                              instance="gw-0")
            answer = standin.ask(
                world.instances[0].address("front"), "/all/" + ident,
                headers={"Host": "shop.example", "Request-Id": ident,
                         "Request-Deadline": "2500",
                         "X-Bronzedeal-Handover": self.MARK})
            self.assertEqual(200, answer.status)
            self.assertEqual("0", answer.headers["Missing-Parts"])
        runs = [it for it in world.history.of("run")
                if it["id"].startswith("forged-")]
        # Some shards may have been hedged.
        self.assertLess(len(runs), 1.5 * self.QUERIES * self.SHARDS)
        self.assert_no_violations()


if __name__ == "__main__":
    unittest.main()
