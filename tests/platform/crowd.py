"""Clients that don't behave, for tests of what they can hold in a process."""

import selectors
import socket
import time


class Crowd:
    """Connections to one address (`ip:port`), all opened at once.

    What the clients do is bounded by what they send and by `seconds`; they
    ignore that the peer refuses or closes. With `receive_buffer`, their kernel
    holds only about so many bytes that they haven't read.
    """

    SECONDS = 20
    # A client is taken to be stuck when nothing moves for this long.
    STUCK_S = 2

    def __init__(self, address, count, receive_buffer=None):
        host, port = address.rsplit(":", 1)
        self.sockets = []
        for _ in range(count):
            it = socket.socket()
            if receive_buffer:
                it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                              receive_buffer)
            it.settimeout(5)
            try:
                it.connect((host, int(port)))
            except OSError:
                it.close()
                continue
            it.setblocking(False)
            self.sockets.append(it)

    @classmethod
    def of(cls, sockets):
        """A part of another crowd."""
        part = cls.__new__(cls)
        part.sockets = list(sockets)
        return part

    def send(self, heads, filler=b"", filler_count=0):
        """Each client sends its head, then `filler` so many times."""
        waiting = {it: [head] + [filler] * filler_count
                   for it, head in zip(self.sockets, heads)}
        with selectors.DefaultSelector() as selector:
            for it in waiting:
                selector.register(it, selectors.EVENT_WRITE)
            end = time.monotonic() + self.SECONDS
            while waiting and time.monotonic() < end:
                ready = selector.select(self.STUCK_S)
                if not ready:
                    return
                for key, _ in ready:
                    it = key.fileobj
                    if self.send_some(it, waiting[it]):
                        selector.unregister(it)
                        del waiting[it]

    @staticmethod
    def send_some(it, parts):
        """Returns whether the client is done or its connection has ended."""
        try:
            n = it.send(parts[0])
        except BlockingIOError:
            return False
        except OSError:
            return True
        parts[0] = parts[0][n:]
        if not parts[0]:
            del parts[0]
        return not parts

    def read(self, size):
        """Each client reads until it has `size` bytes or nothing comes."""
        left = {it: size for it in self.sockets}
        with selectors.DefaultSelector() as selector:
            for it in left:
                selector.register(it, selectors.EVENT_READ)
            end = time.monotonic() + self.SECONDS
            while left and time.monotonic() < end:
                ready = selector.select(self.STUCK_S)
                if not ready:
                    return
                for key, _ in ready:
                    it = key.fileobj
                    try:
                        n = len(it.recv(min(65536, left[it])))
                    except BlockingIOError:
                        continue
                    except OSError:
                        n = 0
                    left[it] -= n
                    if n == 0 or left[it] <= 0:
                        selector.unregister(it)
                        del left[it]

    def close(self):
        for it in self.sockets:
            it.close()
