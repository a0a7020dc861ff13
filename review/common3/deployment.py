"""A small deployment for the cases of the third review.

The store, the backend servers and the ordinary callers are those of
`tests/platform/standin.py`. The gateways are started with the command of the
deploy file and with settings like those of the pages' example.
"""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
os.environ["BRONZEDEAL_BUILD"] = str(REPOSITORY / "target")
sys.path.insert(0, str(REPOSITORY / "tests" / "platform"))

import standin  # noqa: E402

# The servers of the pages set no limit of their own to the number of fields.
http.client._MAXHEADERS = 100000

HELD, BROKEN, NOT_RUN = 0, 1, 2
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000,
    "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 3000, "rollback-slack-ms": 250, "max-skew-ms": 12000,
    "retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-slack": 52,
    "warmup-overshoot": 1.5, "warmup-slack": 5, "evacuation-ms": 5000,
    "recovery-s": 12, "ttl_max_s": 5}
MACHINE = {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
           "link-mbps": 1000.0, "disk-mb": 0}
CALLER_LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 262144,
                 "header-timeout-ms": 3000, "idle-timeout-ms": 15000}


class LastingProxy(standin.Proxy):
    """A proxy that accepts again on the port that it had before it refused.

    A listener that is shut down gives back a port that the system chose, and
    would listen on another one.
    """

    def refuse(self):
        if self.refusing:
            return
        super().refuse()
        self.socket.close()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", self.port))


class DeployedInstance(standin.Instance):
    """A gateway process, started as the deploy file says."""

    def write_settings(self, **changes):
        super().write_settings(**{
            "role": "gateway", "machine-class": "front",
            "serves": ["front", "directory", "control"], "region": "r",
            "zones": {it: "r" for it in self.world.zones},
            "seeds": ["127.0.%d.%d:%d" % (self.world.subnet, n + 2,
                                          self.world.ports["control"])
                      for n in range(3)],
            "bootstrap": True, "limits": MACHINE, "data-dir": None,
            "discovery": "platform", "entry": "directory",
            "heartbeat-ms": 1200, "bounds": BOUNDS, **changes})

    def start(self, log=None):
        self.world.history.add("started", instance=self.name)
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG")
                       if it in os.environ}
        environment["BRONZEDEAL_NODE_FILE"] = str(self.settings)
        self.process = subprocess.Popen(
            ["target/bronzedeal-gateway", "--metrics-port",
             str(self.world.metrics_port)],
            cwd=REPOSITORY, env=environment, stdout=log or self.log,
            stderr=self.log)


class Deployment(standin.World):
    """`instances` gateways that are ready, with the callers' limits of the
    pages' example."""

    def __init__(self, instances=3, timeout_ms=8000, **options):
        if not (REPOSITORY / "target" / "bronzedeal-gateway").exists():
            raise CannotRun("target/bronzedeal-gateway isn't built")
        self.temporary = tempfile.TemporaryDirectory()
        standin.Instance = DeployedInstance
        standin.Proxy = LastingProxy
        self.metrics_port = free_port()
        super().__init__(self.temporary.name, instances=instances, **options)
        try:
            self.timeout_ms = timeout_ms
            self.publish()
            for it in self.instances:
                if not self.wait(it.ready):
                    raise CannotRun("%s isn't ready" % it.name)
            time.sleep(3)  # The configuration is in force everywhere.
        except BaseException:
            self.close()
            raise

    def republish(self):
        self.config["limits"] = dict(CALLER_LIMITS)
        super().republish()

    def close(self):
        super().close()
        self.temporary.cleanup()


class CannotRun(Exception):
    pass


class Record:
    """Lines of `record.txt`, with seconds since the record began."""

    def __init__(self, folder):
        self.begun_at = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")

    def write(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write("%8.3f %s\n" % (at - self.begun_at, text))
        self.file.flush()

    def write_history(self, history, kinds):
        for it in sorted(history.events, key=lambda it: it["at"]):
            if it["kind"] in kinds:
                fields = {k: v for k, v in it.items()
                          if k not in ("kind", "at", "body", "headers")}
                self.write("%s %s" % (it["kind"], json.dumps(fields)),
                           it["at"])


def free_port():
    with standin.socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_case(folder, play):
    """Runs `play(record)`, which returns HELD or BROKEN, and exits."""
    def end(number, frame):
        raise CannotRun("ended by signal %d" % number)

    for it in (signal.SIGTERM, signal.SIGINT):
        signal.signal(it, end)
    record = Record(folder)
    record.write("trouble: %s" % ("on" if WITH_TROUBLE else "off"))
    try:
        verdict = play(record)
    except (CannotRun, OSError) as e:
        record.write("the case couldn't run: %s" % e)
        verdict = NOT_RUN
    record.write("exit %d" % verdict)
    print("exit %d, see record.txt" % verdict)
    sys.stdout.flush()
    os._exit(verdict)  # Threads of stand-ins may still wait on closed sockets.
