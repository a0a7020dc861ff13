"""Records what instances of one build say to other instances.

    bench/record_messages.py BUILD FOLDER

Runs two gateways of BUILD and an instance that takes part in gossip, and writes
one file for each kind of message to FOLDER: datagrams of gossip, requests as
they arrive, replies as they come. tests/platform/versions_test.cpp reads them.
"""

import argparse
import json
import pathlib
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests/platform"))

import standin  # noqa: E402

HEAD_END = b"\r\n\r\n"
# A third failure domain, in which no gateway runs: queries over its servers are
# sent to the recorder.
DOMAIN = "c"
SETTLE_S = 2.0
CRASH_S = 5.0
RELAY_HEADER = "X-Bronzedeal-Metadata-After"


def receive_message(connection):
    """Reads one message with the body that Content-Length states."""
    text = b""
    while HEAD_END not in text:
        part = connection.recv(1 << 16)
        if not part:
            return b""
        text += part
    head, body = text.split(HEAD_END, 1)
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, value = line.split(b":", 1)
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += connection.recv(1 << 16)
    return head + HEAD_END + body


class Recorder:
    """An instance that keeps what it hears and answers each request 503."""

    def __init__(self, world):
        self.world, self.port = world, world.ports["inner"]
        self.ip = "127.0.%d.%d" % (world.subnet, len(world.instances) + 2)
        self.gossip = []
        self.requests = []
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind((self.ip, self.port))
        self.listener = socket.create_server((self.ip, self.port))
        for it in (self.tell, self.hear, self.accept):
            threading.Thread(target=it, daemon=True).start()

    def tell(self):
        incarnation = int(time.time() * 1000)
        for heartbeat in range(1, 1000):
            row = [self.ip, "recorder", DOMAIN, incarnation, heartbeat, 1.0,
                   standin.FormerInstance.FLAGS, 100]
            for it in self.world.instances:
                self.datagrams.sendto(json.dumps([row]).encode(),
                                      (it.ip, self.port))
            time.sleep(0.3)

    def hear(self):
        while True:
            self.gossip.append(self.datagrams.recv(1 << 16))

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        while request := receive_message(connection):
            self.requests.append(request)
            connection.sendall(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n"
                               b"Not-Run: 1\r\n\r\n")


def exchange(address, request):
    with socket.create_connection(address, 3) as connection:
        connection.sendall(request)
        return receive_message(connection)


def first(messages, mark):
    return next(it for it in messages if mark in it)


def record_crash(world, recorder):
    """A datagram about a content that ends two servers one after the other."""
    for it in world.servers:
        it.crashing_paths = {"/read/crashing"}
    end = time.monotonic() + CRASH_S
    while time.monotonic() < end:
        world.call("read", target="/read/crashing")
        time.sleep(0.2)
    return max((it for it in recorder.gossip if it.startswith(b"{")), key=len)


def record(build, folder):
    with tempfile.TemporaryDirectory() as work:
        world = standin.World(work, shards=6, replicas=1, builds=(build,))
        try:
            for it in world.instances:
                assert world.wait(it.ready), it.name
            recorder = Recorder(world)
            end = time.monotonic() + SETTLE_S
            while time.monotonic() < end:
                world.call("all")
            instance = (world.instances[0].ip, recorder.port)
            partial_query = first(recorder.requests, b"X-Bronzedeal-Partial")
            messages = {
                "gossip.json": max(recorder.gossip, key=len),
                "partial-query.http": partial_query,
                "partial-reply.http": exchange(instance, partial_query)}
            for number, topic in enumerate(("servers", "operators")):
                query = b"GET /metadata HTTP/1.1\r\nHost: instance\r\n" + (
                    "%s: %d 0 0 0 0\r\n\r\n" % (RELAY_HEADER, number)).encode()
                messages["relay-%s.http" % topic] = exchange(instance, query)
            messages["crash-notices.json"] = record_crash(world, recorder)
        finally:
            world.close()
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in messages.items():
        (folder / name).write_bytes(text)
        print(name, len(text), "bytes")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    options = parser.parse_args()
    record(options.build, options.folder)
