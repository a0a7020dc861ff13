"""Callers that choose their instance by the directory, as the pages say.

A caller asks the directory of an instance of its zone first and keeps the answer
for `ttl_s`, or three times as long. It keeps one connection open for its
requests, also after a refusal, until its address is missing from a new answer,
the instance closes it or an answer doesn't come. For a new connection it picks
an address at random, other than those that have failed it.
"""

import http.client
import json
import random
import threading
import time

import standin


class Caller(threading.Thread):
    def __init__(self, world, number, home, patience, until, pause_s,
                 target=None):
        super().__init__(daemon=True)
        self.world, self.home, self.patience = world, home, patience
        self.until, self.pause_s, self.target = until, pause_s, target
        self.random = random.Random(number)
        self.by_address = {it.address("front"): it for it in world.instances}
        self.addresses, self.kept_until = [], 0.0
        self.failed = set()
        self.address = self.connection = None
        self.calls = []  # Instance, sent at, status.

    def ask_directory(self):
        others = [it for it in self.world.instances if it is not self.home]
        self.random.shuffle(others)
        for it in [self.home, *others][:3]:
            answer = standin.ask(
                it.address("directory"), "/api/resolution?name=shop.example"
                "&region=r&zone=" + self.home.zone, timeout=1)
            if answer.status == 200:
                body = json.loads(answer.body)
                self.addresses = body["addrs"]
                self.kept_until = time.monotonic() + self.patience * min(
                    body["ttl_s"], 5)
                self.failed.clear()
                return

    def close(self):
        if self.connection:
            self.connection.close()
        self.connection = None

    def run(self):
        time.sleep(self.random.uniform(0, self.pause_s))
        while time.monotonic() < self.until:
            if time.monotonic() >= self.kept_until:
                self.ask_directory()
                if self.address not in self.addresses:
                    self.close()
            if self.connection is None:
                usable = [it for it in self.addresses if it not in self.failed]
                self.address = self.random.choice(usable or self.addresses)
                host, port = self.address.split(":")
                self.connection = http.client.HTTPConnection(
                    host, int(port), self.world.timeout_ms / 1000 + 1.5)
            instance = self.by_address[self.address]
            sent_at = time.monotonic()
            answer = self.world.call("read", instance, self.connection,
                                     target=self.target)
            self.calls.append((instance.name, sent_at, answer.status))
            if answer.status == 0 or answer.headers.get("Connection"):
                self.failed.add(self.address)
                self.close()
            time.sleep(self.pause_s)
