"""Randomized soak of hand-overs, by hand: `handover_soak.py SEED SECONDS`.

Two of five instances are cut off from all servers and healed again and again,
beside faults of processes, servers and the configuration. Checked is what
`standin.violations` checks. `BUILDS` are folders with gateways, separated by
colons; each start of an instance runs one of them (default: `target`).
"""

import collections
import os
import random
import signal
import sys
import threading
import time

import deployment
import standin

CUT_OFF = (0, 1)
CALLERS = 24
BUILDS = os.environ.get("BUILDS", "target").split(":")


class MixedInstance(deployment.DeployedInstance):
    def start(self, log=None):
        self.world.history.add("started", instance=self.name)
        self.process = standin.subprocess.Popen(
            [random.choice(BUILDS) + "/bronzedeal-gateway", "--config",
             str(self.settings)], cwd=deployment.REPOSITORY,
            stdout=log or self.log, stderr=self.log)


class Soak:
    def __init__(self, seed):
        self.random = random.Random(seed)
        deployment.DeployedInstance = MixedInstance
        self.world = deployment.Deployment(
            instances=5, timeout_ms=2500, linked=CUT_OFF, seed=seed)
        for it in self.world.servers:
            it.work_s = self.random.choice((0.01, 0.05, 0.2))
        self.stopping = threading.Event()
        self.trace = []

    def wait(self, least, most):
        self.stopping.wait(self.random.uniform(least, most))

    def note(self, text):
        self.trace.append("%.2f %s" % (time.monotonic(), text))

    def cut_links(self):
        while not self.stopping.is_set():
            for n in self.random.sample(CUT_OFF, self.random.choice((1, 2))):
                mode = self.random.choice(
                    ("silent", "reset", "refuse", "mute", "abort"))
                self.world.instances[n].links.cut(mode)
                self.note("cut %d %s" % (n, mode))
            self.wait(3, 6)
            for n in CUT_OFF:
                self.world.instances[n].links.heal()
            self.note("heal")
            self.wait(0.5, 2)

    def disturb_processes(self):
        while not self.stopping.is_set():
            instance = self.random.choice(self.world.instances)
            kind = self.random.choice(("pause", "pause", "kill", "term", "hup"))
            self.note("%s %s" % (kind, instance.name))
            if kind == "pause":
                instance.signal(signal.SIGSTOP)
                self.wait(0.1, 3)
                instance.signal(signal.SIGCONT)
            elif kind == "hup":
                instance.write_settings(extra=self.random.random())
                instance.signal(signal.SIGHUP)
            else:
                self.end(instance, kind)
                instance.start()
            self.wait(0.1, 1.5)

    def end(self, instance, kind):
        if kind == "kill":
            instance.signal(signal.SIGKILL)
            instance.process.wait()
            self.stopping.wait(0.5)
            return
        instance.signal(signal.SIGTERM)
        try:
            code = instance.process.wait(6)
            if code != 0:
                self.note("EXIT %s %d" % (instance.name, code))
        except standin.subprocess.TimeoutExpired:
            self.note("OUTLIVED its grace %s" % instance.name)
            instance.stop()

    def disturb_servers(self):
        while not self.stopping.is_set():
            server = self.random.choice(self.world.servers)
            kind = self.random.choice(("copy", "lose", "fail", "slow", "unrun",
                                       "crash", "pause", "endless"))
            self.note("%s %s" % (kind, server.id))
            if kind == "copy":
                server.copy_after_s = self.random.choice((0.0, 0.01, 0.1))
            elif kind == "lose":
                server.lose_share = 0.3
            elif kind == "fail":
                server.fail_share = 0.4
            elif kind == "slow":
                server.work_s = 0.4
            elif kind == "unrun":
                server.unrun_share = 0.4
                server.unrun_status = self.random.choice((503, 429, 500, 408))
            elif kind == "crash" and server.is_up:
                server.down_s = 0.5
                server.crash()
            elif kind == "pause":
                server.pause_until = time.monotonic() + 1
            elif kind == "endless":
                server.endless = self.random.choice(
                    ("head", "body", "chunks", "interim"))
            self.wait(0.5, 2)
            server.copy_after_s = server.endless = None
            server.lose_share = server.fail_share = server.unrun_share = 0
            server.work_s = 0.05

    def change_configuration(self):
        while not self.stopping.is_set():
            self.wait(1, 3)
            self.world.publish(extra=self.random.randrange(5))

    def call(self, number):
        choice = random.Random(number)
        instances = self.world.instances[:3 if number % 2 else None]
        while not self.stopping.is_set():
            instance = choice.choice(instances)
            host, port = instance.address("front").split(":")
            connection = standin.http.client.HTTPConnection(
                host, int(port), timeout=5)
            while not self.stopping.is_set():
                answer = self.world.call(
                    choice.choice(("all", "read", "write", "write")), instance,
                    connection)
                if answer.status == 0 or (
                        answer.headers.get("Connection") == "close"):
                    break
                time.sleep(choice.uniform(0, 0.05))
            connection.close()
            time.sleep(0.02)

    def run(self, seconds):
        targets = [self.cut_links, self.disturb_processes, self.disturb_servers,
                   self.disturb_servers, self.change_configuration]
        targets += [lambda n=n: self.call(n) for n in range(CALLERS)]
        for it in targets:
            threading.Thread(target=it, daemon=True).start()
        time.sleep(seconds)
        self.stopping.set()
        time.sleep(5)  # Until the last requests have ended.
        return standin.violations(self.world.history)


def main():
    seed = int(sys.argv[1])
    soak = Soak(seed)
    try:
        found = soak.run(float(sys.argv[2]))
        statuses = collections.Counter(
            it["status"] for it in soak.world.history.of("answer"))
        ends = [it for it in soak.trace if "EXIT" in it or "OUTLIVED" in it]
        print("seed %d: answers %s, violations %s, ends %s" % (
            seed, dict(statuses), found[:10], ends))
        sys.stdout.flush()
    finally:
        soak.world.close()
    os._exit(1 if found or ends else 0)


if __name__ == "__main__":
    main()
