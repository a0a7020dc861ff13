"""Callers that use open connections, one request at a time."""

import http.client
import threading
import time


class Caller(threading.Thread):
    """Sends a request of `kind` to an instance each `pause_s` on one kept
    connection, and opens another one after a failure."""

    def __init__(self, world, instance, kind, until, pause_s=0.2):
        super().__init__(daemon=True)
        self.world, self.instance, self.kind = world, instance, kind
        self.until, self.pause_s = until, pause_s
        self.calls = []  # Sent at, status, ended at.

    def run(self):
        host, port = self.instance.address("front").split(":")
        connection = None
        while time.monotonic() < self.until:
            if connection is None:
                connection = http.client.HTTPConnection(
                    host, int(port), self.world.timeout_ms / 1000 + 1.5)
            sent_at = time.monotonic()
            answer = self.world.call(self.kind, self.instance, connection)
            self.calls.append((sent_at, answer.status, time.monotonic()))
            if answer.status == 0 or answer.headers.get(
                    "Connection", "").lower() == "close":
                connection.close()
                connection = None
            time.sleep(self.pause_s)
