"""Crowds of callers that keep no limits, and the memory and descriptors of the process before them.

    with Peak(process.pid) as peak:
        crowd = Crowd(("127.0.0.1", port), 160)
        crowd.send_all(lambda i: head, [PIECE] * 16)
    print(peak.mb, peak.descriptors)

Connections stay open until leave(). Python's standard library only.
"""

import os
import pathlib
import socket
import threading
import time

SEND_SECONDS = 20  # for all that one connection sends; a refused or paused one sends less
PIECE = b"x" * 65536
CHUNKED = "Transfer-Encoding: chunked\r\n"


def length(size):
    return f"Content-Length: {size}\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def short_of(size):
    """Returns the pieces of a body of this size, all but its last byte."""
    return [PIECE] * (size // len(PIECE) - 1) + [PIECE[:-1]]


class Peak:
    """Samples the memory and the descriptors of a process while a crowd is connected."""

    def __init__(self, pid):
        self._pid = pid
        self.mb = self.descriptors = 0
        self._ends = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def _unread_bytes(self, descriptors):
        """Returns the bytes that the system has received for the sockets of the process."""
        sockets = {name[len("socket:["):-1] for name in descriptors if name.startswith("socket:")}
        unread = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[9] in sockets and fields[3] != "0A":  # a listener counts connections
                unread += int(fields[4].split(":")[1], 16)
        return unread

    def sample(self):
        status = pathlib.Path(f"/proc/{self._pid}/status").read_text()
        own_kb = int(status.split("VmRSS:")[1].split()[0])
        folder = pathlib.Path(f"/proc/{self._pid}/fd")
        descriptors = [self._link(path) for path in folder.iterdir()]
        self.mb = max(self.mb, own_kb / 1024 + self._unread_bytes(descriptors) / (1 << 20))
        self.descriptors = max(self.descriptors, len(descriptors))

    @staticmethod
    def _link(path):
        try:
            return os.readlink(path)
        except OSError:
            return ""  # closed since it was listed

    def _run(self):
        try:
            while not self._ends.wait(0.05):
                self.sample()
        except (OSError, IndexError):
            pass  # the process has ended

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._ends.set()
        self._thread.join()


class Crowd:
    """Connections that send pieces and stay open."""

    def __init__(self, address, count):
        self._address = address
        self._count = count
        self._connections = []
        self.join()

    def join(self):
        """Opens the connections."""
        for _ in range(self._count):
            try:
                connection = socket.create_connection(self._address, timeout=SEND_SECONDS)
                self._connections.append(connection)
            except OSError:
                pass  # refused for want of descriptors

    def send_all(self, head, pieces):
        """Each connection sends as fast as it can; head: makes its bytes from a number."""
        self.send_each([(head, pieces)])

    def send_each(self, kinds):
        """The connections send as fast as they can, in turn one of the kinds: (head, pieces)."""
        threads = []
        for i, connection in enumerate(self._connections):
            head, pieces = kinds[i % len(kinds)]
            threads.append(threading.Thread(
                target=self._send, args=(connection, [head(i), *pieces]), daemon=True))
        self._run(threads)

    def send_in_turns(self, head, pieces):
        """The connections send one piece each in turn."""
        for piece in [None, *pieces]:
            for i, connection in enumerate(self._connections):
                connection.settimeout(0.05)
                self._send(connection, [head(i) if piece is None else piece])

    @staticmethod
    def _run(threads):
        for thread in threads:
            thread.start()
        deadline = time.monotonic() + SEND_SECONDS
        for thread in threads:
            thread.join(max(deadline - time.monotonic(), 0))

    @staticmethod
    def _send(connection, pieces):
        try:
            for piece in pieces:
                connection.sendall(piece)
        except OSError:
            pass  # refused, closed or paused

    def leave(self):
        for connection in self._connections:
            connection.close()
        self._connections = []
