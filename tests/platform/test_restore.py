"""Runs whole gateway processes while the store comes back from a copy."""

import signal
import threading
import time
import unittest

import standin
from world_test_case import WorldTestCase

CONTACT_S = 4.0
APPLY_S = 3.0


class RestoreTest(WorldTestCase):
    def serves(self, kind, instance):
        return lambda: self.world.call(kind, instance).status == 200

    def test_reads_what_was_written_while_it_was_paused(self):
        """Guards against changes that an instance never reads.

        It follows a revision that the restored store has given out again
        before the instance asks.
        """
        world = self.world
        paused = world.instances[1]
        leaving = self.servers_of("ledger")[0]
        copy = world.store.copy()
        for it in world.servers:
            it.register()
        world.publish(extra=1)
        for it in world.instances:
            self.assertTrue(world.wait(self.serves("x0", it)))
        time.sleep(1)
        paused.signal(signal.SIGSTOP)
        world.store.restore(copy)
        world.publish(extra=2)
        leaving.register("draining")
        for _ in range(2):
            for it in world.servers:
                if it is not leaving:
                    it.register()
        time.sleep(2)
        paused.signal(signal.SIGCONT)
        time.sleep(CONTACT_S + APPLY_S)
        before = len(world.history.of("run"))
        for _ in range(10):
            self.assertEqual(200, world.call("x1", paused).status)
        for it in world.history.of("run")[before:]:
            self.assertNotEqual(leaving.id, it["server"])

    def test_keeps_what_is_known_until_it_is_written_again(self):
        """Guards against older states that a restored store brings back.

        The copy lacks a withdrawal and a version, lists a server that has left
        without notice, and shows one as ready that drains.
        """
        world = self.world
        draining, departed = self.servers_of("ledger")
        world.add_server("i-ledger-9", "ledger", "b")
        self.assertTrue(world.wait(lambda: world.call("read").status == 200))
        copy = world.store.copy()
        draining.register("draining")
        departed.unregister()
        world.store.put("op/evacuate/a", {})
        world.publish(extra=1)
        for it in world.instances:
            self.assertTrue(world.wait(self.serves("x0", it)))
        time.sleep(3)
        before = len(world.history.of("run"))
        stop = threading.Event()
        statuses = []

        def call(instance):
            while not stop.is_set():
                for kind in ("all", "read", "x0"):
                    statuses.append((kind, world.call(kind, instance).status))
                time.sleep(0.01)

        callers = [threading.Thread(target=call, args=(it,))
                   for it in world.instances]
        for it in callers:
            it.start()
        time.sleep(0.5)
        world.store.restore(copy)
        time.sleep(1.8)
        draining.register("draining")
        world.store.delete("servers/" + departed.id)
        world.store.put("op/evacuate/a", {})
        world.republish()
        time.sleep(3)
        stop.set()
        for it in callers:
            it.join()
        zones = {it.id: it.zone for it in world.servers}
        for it in world.history.of("run")[before:]:
            self.assertNotEqual("a", zones[it["server"]], it)
            self.assertNotIn(it["server"], (draining.id, departed.id), it)
        self.assertNotIn(404, [status for _, status in statuses])

    def test_follows_the_store_once_all_is_written_again(self):
        """Guards against known states that outlive a restore.

        A withdrawal that the operator takes back and a server that is gone
        while the store is away are not written again.
        """
        world = self.world
        gone = self.servers_of("ledger")[0]
        copy = world.store.copy()
        world.store.put("op/evacuate/c", {})
        added = world.add_server("i-ledger-8", "ledger", "b")
        time.sleep(2)
        world.store.restore(copy)
        world.store.delete("servers/" + gone.id)
        time.sleep(CONTACT_S + 2)
        before = len(world.history.of("run"))
        for _ in range(40):
            for it in world.instances:
                world.call("all", it)
                world.call("read", it)
        zones = {it.id: it.zone for it in world.servers}
        runs = world.history.of("run")[before:]
        for it in runs:
            self.assertNotIn(it["server"], (gone.id, added.id), it)
        self.assertIn("c", {zones[it["server"]] for it in runs})

    def test_restarts_a_list_that_spans_a_restore(self):
        """Guards against entries that are missed between two pages of a list.

        The first page comes from one history, the second from the next one.
        """
        world = self.world
        store = world.store
        for n in range(60):
            store.put("servers/a-%02d" % n, {"service": "other"})
        copy = store.copy()
        for n in range(40):
            store.put("servers/b-%02d" % n, {"service": "other"})
        late = []

        def restore_after_first_page(query):
            if query["prefix"] == "servers/" and not query.get("after"):
                store.on_range = None
                answer = store.read_page(query)
                store.restore(copy)
                late.append(world.add_server("a-00-late", "ledger", "b"))
                for n in range(120):
                    store.put("servers/c-%03d" % n, {"service": "other"})
                return answer
            return store.read_page(query)

        store.on_range = restore_after_first_page
        instance = standin.Instance(world, 3)
        world.instances.append(instance)
        instance.write_settings()
        instance.start()
        self.assertTrue(world.wait(instance.ready))
        self.assertTrue(late)

        def reaches_late():
            world.call("read", instance)
            return any(it["server"] == late[0].id
                       for it in world.history.of("run"))

        for it in self.servers_of("ledger"):
            if it is not late[0]:
                it.register("draining")
        self.assertTrue(world.wait(reaches_late, CONTACT_S + APPLY_S))


if __name__ == "__main__":
    unittest.main()
