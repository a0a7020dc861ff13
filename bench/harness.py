"""Starts stand-ins, instances of bronzedeald and load as child processes.

Everything listens on loopback ports that the system chooses. Processes are
ended by their own process id, and `Cluster` ends all of them when its `with`
block ends.
"""

import copy
import ctypes
import json
import os
import pathlib
import select
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BRONZEDEAL_BUILD", ROOT / "build"))
DOMAINS = ("fd-a", "fd-b", "fd-c")

# Sizes of section 3 of the design page.
PRESETS = {
    "gaonsan": {
        "customer": "gaonsan",
        "groups": {
            "lots": {
                "services": 50, "kinds": ["search", "sorting"],
                "limits": {"slots": 2, "connections": 25, "connect_ms": 6,
                           "cold_allowance": 1, "warm_completions": 8}},
            "orders": {
                "services": 4, "kinds": ["order", "intake"],
                "limits": {"slots": 6, "connections": 100, "connect_ms": 1,
                           "cold_allowance": 2, "warm_completions": 8}},
        },
    },
    "office": {
        "customer": "office",
        "groups": {
            "quotes": {
                "services": 50, "kinds": ["quote", "artisan"],
                "limits": {"slots": 2, "connections": 25, "connect_ms": 6,
                           "cold_allowance": 1, "warm_completions": 8}},
            "archives": {
                "services": 4, "servers": 7, "kinds": ["archive", "dispute"],
                "limits": {"slots": 6, "connections": 50, "connect_ms": 1,
                           "cold_allowance": 2, "warm_completions": 8}},
        },
    },
}


def now_us():
    """The clock of all histories."""
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1000


def http(method, address, path, body=None, timeout=5):
    """Returns the status and the decoded answer; None when it has no body."""
    data = None if body is None else (
        body if isinstance(body, bytes) else json.dumps(body).encode())
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method,
        headers={"Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            status, text = answer.status, answer.read()
    except urllib.error.HTTPError as error:
        with error:
            status, text = error.code, error.read()
    try:
        return status, json.loads(text) if text else None
    except ValueError:
        return status, text.decode(errors="replace")


def wait_until(condition, timeout, what, interval=0.05):
    """Polls until the condition gives a true value, which it returns."""
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"no {what} within {timeout} s")
        time.sleep(interval)


_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1


def _end_with_parent():
    """Runs in a child: a killed harness must not leave processes behind."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One child process that prints a `listening` line."""

    def __init__(self, command, log, listening_timeout=20):
        self.log = open(log, "ab")
        self.child = subprocess.Popen(
            [str(it) for it in command], stdout=subprocess.PIPE,
            stderr=self.log, stdin=subprocess.DEVNULL,
            preexec_fn=_end_with_parent)
        self.addresses = {}
        if listening_timeout:
            try:
                self.addresses = self._listening(listening_timeout)
            except Exception:
                self.stop(timeout=1)
                raise

    def _listening(self, timeout):
        end = time.monotonic() + timeout
        fd, buffer = self.child.stdout.fileno(), b""
        while b"\n" not in buffer:
            left = end - time.monotonic()
            if left <= 0 or not select.select([fd], [], [], left)[0]:
                raise TimeoutError(f"{self.child.args} does not listen")
            chunk = os.read(fd, 65536)
            if not chunk:
                raise RuntimeError(
                    f"{self.child.args} ended with {self.child.wait()}, "
                    f"see {self.log.name}")
            buffer += chunk
        return json.loads(buffer.split(b"\n", 1)[0])

    def running(self):
        return self.child.poll() is None

    def send(self, number):
        if self.running():
            os.kill(self.child.pid, number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def pause(self):
        self.send(signal.SIGSTOP)

    def resume(self):
        self.send(signal.SIGCONT)

    def stop(self, timeout=5):
        """Ends the process: SIGTERM first, SIGKILL after the timeout."""
        self.resume()
        self.send(signal.SIGTERM)
        try:
            self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
        self.child.stdout.close()
        self.log.close()
        return self.child.returncode


def run_load(options, timeout):
    """Runs bronzedeal-load to its end and returns its JSON report."""
    return LoadRun(options).report(timeout)


class LoadRun:
    """A run of bronzedeal-load in the background."""

    def __init__(self, options, log=None):
        command = [str(BUILD / "bronzedeal-load"), "--json"]
        for key, value in options.items():
            for it in value if isinstance(value, (list, tuple)) else [value]:
                command += ["--" + key.replace("_", "-"), str(it)]
        self.history = options.get("history")
        with open(log or os.devnull, "ab") as errors:
            self.child = subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=errors,
                stdin=subprocess.DEVNULL, preexec_fn=_end_with_parent)

    def report(self, timeout):
        try:
            out, _ = self.child.communicate(timeout=timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.communicate()
            raise
        if self.child.returncode != 0:
            raise RuntimeError(f"load ended with {self.child.returncode}")
        return json.loads(out)

    def stop(self):
        if self.child.poll() is None:
            self.child.terminate()
            try:
                self.child.communicate(timeout=5)
            except subprocess.TimeoutExpired:
                self.child.kill()
                self.child.communicate()


class Cluster:
    """A platform, backend servers and instances of one preset.

    services: overrides the number of services of the preset's first group.
    groups:   keeps these groups of the preset only.
    backend:  options of all stand-in servers (see `ApplyOptions`).
    settings: fields of every instance's settings, such as `features`.
    """

    def __init__(self, preset="gaonsan", instances=6, services=None, seed=1,
                 backend=None, settings=None, limits=None, directory=None,
                 domains=DOMAINS, groups=None):
        self.directory = pathlib.Path(
            directory or tempfile.mkdtemp(prefix="bronzedeal-"))
        self._remove = directory is None
        self.directory.mkdir(parents=True, exist_ok=True)
        self.domains = domains
        self.seed = seed
        self.preset = copy.deepcopy(PRESETS[preset])
        if groups:
            self.preset["groups"] = {it: self.preset["groups"][it]
                                     for it in groups}
        self.main_group = next(iter(self.preset["groups"]))
        if services is not None:
            self.preset["groups"][self.main_group]["services"] = services
        self.customer = self.preset["customer"]
        self.backend_options = backend or {}
        self.settings = settings or {}
        self.limits = limits or {}
        self.count = instances
        self.instances = {}
        self.entries = {}
        self.leaving = set()
        self.revision = 0
        self.document = None
        self.loads = []
        self.load_number = 0
        self.platform = self.backends = None
        self.kept_logs = bool(os.environ.get("BRONZEDEAL_KEEP"))

    # Life cycle.

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def start(self):
        self.platform = self._standin("platform", {
            "mode": "platform", "history": str(self.path("platform.jsonl"))})
        self.backends = self._standin("backends", {
            "mode": "backends", "threads": 3, "seed": self.seed,
            "history": str(self.path("servers.jsonl")),
            "defaults": self.backend_options, "servers": self._servers()})
        self.document = self._first_document()
        for n in range(self.count):
            domain = self.domains[n % len(self.domains)]
            self.start_instance(f"entry-{n}", domain, publish=False)
        self.publish_instances()
        self.publish()

    def close(self):
        for load in self.loads:
            load.stop()
        for process in self.instances.values():
            process.resume()
        for process in self.instances.values():
            # The second SIGTERM ends an instance without its linger time.
            process.send(signal.SIGTERM)
            process.send(signal.SIGKILL)
            process.stop()
        self.instances.clear()
        self.stop_standins()
        if self._remove and not self.kept_logs:
            shutil.rmtree(self.directory, ignore_errors=True)

    def stop_standins(self):
        """Ends the stand-ins, which completes their histories."""
        for process in (self.backends, self.platform):
            if process:
                process.stop()
        self.backends = self.platform = None

    def path(self, name):
        return self.directory / name

    def histories(self):
        return sorted(self.directory.glob("*.jsonl"))

    def _standin(self, name, settings):
        config = self.path(f"{name}.json")
        config.write_text(json.dumps(settings))
        return Process([BUILD / "bronzedeal-standin", "--config", config],
                       self.path(f"{name}.log"))

    # Backend servers and documents.

    def _layout(self):
        """Yields group, service, server and failure domain of each server."""
        for group, shape in self.preset["groups"].items():
            left = shape.get("servers", 2 * shape["services"])
            for n in range(shape["services"]):
                for copy_name in "ab"[:min(2, left)]:
                    domain = self.domains[
                        (n + "ab".index(copy_name)) % len(self.domains)]
                    service = f"{group}-{n:02}"
                    yield group, service, f"{service}-{copy_name}", domain
                    left -= 1

    def _servers(self):
        servers = []
        for group, service, server, domain in self._layout():
            servers.append({
                "id": server, "failure_domain": domain,
                "versions": {"1": [self.shard_of(service)]},
                **self.preset["groups"][group]["limits"],
                **self.backend_options})
        return servers

    @staticmethod
    def shard_of(service):
        return f"shard-{service}"

    def shards(self, group=None):
        group = group or self.main_group
        return sorted({self.shard_of(service)
                       for it, service, _, _ in self._layout() if it == group})

    def _first_document(self):
        services, selectors = {}, []
        for group, service, server, domain in self._layout():
            entry = services.setdefault(service, {
                "labels": {"group": group}, "servers": {},
                "limits": self.preset["groups"][group]["limits"]})
            entry["servers"][server] = {
                "address": self.backends.addresses["servers"][server],
                "failure_domain": domain, "labels": {}}
        for group, shape in self.preset["groups"].items():
            selectors.append({
                "name": f"{self.customer}-{group}",
                "callers": f"customer in ({self.customer})",
                "requests": f"kind in ({','.join(shape['kinds'])})",
                "targets": f"group={group},state!=out"})
        return {
            "version": 1, "changed_by": "harness",
            "changed_at": "2026-01-01T00:00:00Z",
            "failure_domains": {it: {"region": "r1", "labels": {"state": "in"}}
                                for it in self.domains},
            "services": services,
            "index": {"serving": 1, "versions": {"1": {"shards": {
                self.shard_of(it): {"service": it, "labels": {}}
                for it in services}}}},
            "selectors": selectors,
            "ownership": {"slices_per_domain": 6},
            "limits": {"max_subrequest_ms": 1000, "hedge_percent": 5,
                       "queue_per_server": 64, "queries_in_progress": 256,
                       **self.limits}}

    def publish(self, rejected=False):
        """Publishes the document; returns the time of the publication."""
        at = now_us()
        path = "/control/config" + ("?expect=rejected" if rejected else "")
        status, answer = http("PUT", self.platform.addresses["http"], path,
                              self.document)
        if status != 200:
            raise RuntimeError(f"platform refused the document: {answer}")
        return at

    def edit(self, change):
        """Changes the document by a function and publishes the next version."""
        change(self.document)
        self.document["version"] += 1
        return self.publish()

    def set_domain(self, domain, state):
        def change(document):
            labels = document["failure_domains"][domain]["labels"]
            labels["state"] = state
        return self.edit(change)

    def control_servers(self, **fields):
        status, answer = http("POST", self.backends.addresses["http"],
                              "/control/server", fields)
        if status != 200:
            raise RuntimeError(f"stand-in refused {fields}: {answer}")
        return answer

    def platform_fault(self, **fields):
        http("POST", self.platform.addresses["http"], "/control/fault", fields)

    def reads(self):
        return http("GET", self.platform.addresses["http"],
                    "/control/reads")[1]

    def note(self, event, instance, **fields):
        """Writes what the harness did to an instance into the history."""
        address = self.entries.get(instance, {}).get("http")
        http("POST", self.platform.addresses["http"], "/control/note",
             {"event": event, "instance": instance, "address": address,
              **fields})

    # Instances.

    def start_instance(self, name, domain, publish=True):
        settings = {
            "instance": name, "http": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "peer": "127.0.0.1:0", "failure_domain": domain, "region": "r1",
            "platform": self.platform.addresses["http"], "threads": 2,
            "log_level": "info", "shutdown_linger_ms": 2500,
            "address_ttl_ms": 1500,
            "features": {"hedging": True, "canary": True, "cold_ramp": True,
                         "quarantine": True},
            "fault_injection": {"seed": self.seed, "links": []}}
        for key, value in self.settings.items():
            if isinstance(value, dict):
                settings[key] = {**settings.get(key, {}), **value}
            else:
                settings[key] = value
        config = self.path(f"{name}.json")
        config.write_text(json.dumps(settings))
        process = Process([BUILD / "bronzedeald", "--config", config],
                          self.path(f"{name}.log"))
        self.instances[name] = process
        self.entries[name] = {
            "id": name, "http": process.addresses["http"],
            "peer": process.addresses["peer"], "failure_domain": domain,
            "region": "r1", "state": "live"}
        if publish:
            self.publish_instances()
        return process

    def publish_instances(self):
        self.revision += 1
        servers = [{"id": server, "state": (
                        "leaving" if server in self.leaving else "live")}
                   for _, _, server, _ in self._layout()]
        status, answer = http(
            "PUT", self.platform.addresses["http"], "/control/instances",
            {"revision": self.revision,
             "instances": list(self.entries.values()), "servers": servers})
        if status != 200:
            raise RuntimeError(f"platform refused the list: {answer}")

    def kill_instance(self, name):
        """kill -9; the instance stays on the published list."""
        self.note("kill", name)
        self.instances.pop(name).kill()

    def forget_instance(self, name):
        """Takes an instance off the published list."""
        self.entries.pop(name, None)
        self.publish_instances()

    def set_server_leaving(self, server, leaving):
        """Publishes a backend server as leaving or as live again."""
        (self.leaving.add if leaving else self.leaving.discard)(server)
        self.publish_instances()

    def restart_instance(self, name):
        domain = self.entries[name]["failure_domain"]
        return self.start_instance(name, domain)

    def pause_instance(self, name):
        self.note("pause", name)
        self.instances[name].pause()

    def resume_instance(self, name):
        self.instances[name].resume()
        self.note("resume", name)

    def stop_instance(self, name, timeout=20):
        """Graceful stop: published as leaving, SIGTERM, wait, unpublished."""
        self.note("stop", name)
        self.entries[name]["state"] = "leaving"
        self.publish_instances()
        process = self.instances.pop(name)
        process.send(signal.SIGTERM)
        try:
            process.child.wait(timeout)
        finally:
            process.stop()
            self.forget_instance(name)
        return process.child.returncode

    def admin(self, name, path, method="GET", body=None, timeout=5):
        return http(method, self.instances[name].addresses["admin"], path,
                    body, timeout)

    def fault_links(self, name, links):
        """Replaces the peer link faults of an instance."""
        status, answer = self.admin(name, "/v1/fault", "POST",
                                    {"seed": self.seed, "links": links})
        if status != 200:
            raise RuntimeError(f"{name} refused link faults: {answer}")

    def ready(self, name):
        try:
            return self.admin(name, "/ready", timeout=1)[0] == 200
        except OSError:
            return False

    def wait_ready(self, names=None, timeout=20):
        for name in list(names or self.instances):
            wait_until(lambda: self.ready(name), timeout, f"ready {name}")

    def wait_serving(self, timeout=20, coverage=1.0):
        """Waits until a query at every instance has the coverage."""
        def whole(name):
            try:
                status, answer = self.query(name)
            except OSError:
                return False
            return (status == 200
                    and answer["coverage"]["ratio"] >= coverage)
        for name in list(self.instances):
            wait_until(lambda: whole(name), timeout,
                       f"whole answer of {name}", 0.2)

    # Callers.

    def query(self, name, content="probe", deadline_ms=1000, kind=None):
        kind = kind or self.preset["groups"][self.main_group]["kinds"][0]
        return http("POST", self.entries[name]["http"], "/v1/query", {
            "caller": {"customer": self.customer}, "request": {"kind": kind},
            "query": {"content_id": content}, "deadline_ms": deadline_ms,
            "min_coverage": 0})

    def load_options(self, name, rate, duration, **options):
        kinds = self.preset["groups"][self.main_group]["kinds"]
        # Contents contain the seed, so each run of a cluster needs its own.
        self.load_number += 1
        return {
            "seeds": [it["http"] for it in self.entries.values()
                      if it["state"] == "live"],
            "rate": rate, "duration": duration,
            "seed": 1000 * self.seed + self.load_number,
            "traffic": [f"{self.customer}/{it}" for it in kinds],
            "history": self.path(f"{name}.jsonl"), **options}

    def operation_options(self, share):
        group = list(self.preset["groups"])[-1]
        kind = self.preset["groups"][group]["kinds"][0]
        return {"operation_share": share,
                "operation_traffic": f"{self.customer}/{kind}",
                "operation_shard": self.shards(group)}

    def start_load(self, name, rate, duration, **options):
        load = LoadRun(self.load_options(name, rate, duration, **options),
                       self.path(f"{name}.log"))
        self.loads.append(load)
        return load

    def load(self, name, rate, duration, **options):
        return self.start_load(name, rate, duration, **options).report(
            duration + 30)

    def direct_file(self, shards=None):
        """Writes the addresses that `bronzedeal-load --direct` reads."""
        servers = {}
        for _, service, server, _ in self._layout():
            servers.setdefault(self.shard_of(service), []).append(
                self.backends.addresses["servers"][server])
        wanted = shards or self.shards()
        path = self.path("direct.json")
        path.write_text(json.dumps({
            "index_version": 1, "slots": self.preset["groups"][
                self.main_group]["limits"]["slots"],
            "shards": {it: servers[it] for it in wanted}}))
        return path
