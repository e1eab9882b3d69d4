"""Tests of crowds of callers that keep no limits, before the processes of the gRPC deployment.

Usage: crowds_test.py BUILD_FOLDER [TEST...]

A test fails if an entry or agent ends, exceeds its memory less a fifth (its own pages and the bytes
that the system holds for it to read) or its descriptors, or if ordinary requests are not answered
while the crowd is connected and after it has left. The environment variables CROWD (connections),
MEMORY_MB, MAX_CONNECTIONS and BODY_LIMIT (bytes) change the crowd and the bounds for runs by hand;
WITHOUT names settings, with commas, that the build does not know.
"""

import json
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import known_red  # noqa: E402
from crowd import CHUNKED, PIECE, Crowd, Peak, chunk, length, short_of  # noqa: E402
from fleet import Fleet, call  # noqa: E402

BUILD = "build"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CROWD = int(os.environ.get("CROWD", "160"))
MEMORY_MB = int(os.environ.get("MEMORY_MB", "160"))
MAX_CONNECTIONS = int(os.environ.get("MAX_CONNECTIONS", "200"))
MOST_DESCRIPTORS = MAX_CONNECTIONS + 200  # files, links and calls of the process's own
BODY_LIMIT = int(os.environ.get("BODY_LIMIT", str(1 << 20)))
TRIES = 10  # of an ordinary caller that is refused
KEY = "demo-key-restorers"
OTHER_KEY = "demo-key-stalls"  # of the ordinary callers
SLOW_MS = 3000  # a service that takes this long keeps all requests of a crowd in progress
CHAT = "/v1/chat/completions"
JSON = "Content-Type: application/json\r\n"


def head_text(fields, path="/bookings", key=KEY):
    """Returns a function that makes the head of the request with a number."""
    return lambda i: (f"POST {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {key}\r\n"
                      f"Idempotency-Key: crowd-{i}\r\n{fields}\r\n").encode()


def chat_body(size, filler):
    """Returns a chat of this size; filler: JSON text that is repeated in a list."""
    start = b'{"model": "restorersr1", "max_tokens": 4, "messages": ' \
            b'[{"role": "user", "content": "a"}], "stop": ["x"'
    end = b"]}"
    room = size - len(start) - len(end)
    return start + (b"," + filler) * (room // (len(filler) + 1)) + end


def pieces_of(body):
    return [body[i:i + len(PIECE)] for i in range(0, len(body), len(PIECE))]


# What each connection sends: (header fields, pieces of the body, path, key).
BODIES = {
    "large chunks": (CHUNKED, [chunk(piece) for piece in short_of(BODY_LIMIT)]),
    "chunks of one byte": (CHUNKED, [chunk(b"x") * 16384] * 24),
    "announced over the limit": (length(100 * BODY_LIMIT), [PIECE] * 48),
    "over the limit in chunks": (CHUNKED, [chunk(PIECE)] * 128),
    "legal size": (length(BODY_LIMIT), short_of(BODY_LIMIT)),
    "legal size on chat": (JSON + length(BODY_LIMIT), short_of(BODY_LIMIT), CHAT),
    "extension without end": (CHUNKED, [b"1;", *[PIECE] * 48]),
    "trailers without end": (CHUNKED, [b"1\r\nx\r\n0\r\n", *[b"A: bbbbbbb\r\n" * 5000] * 48]),
    "expecting to continue": (length(BODY_LIMIT) + "Expect: 100-continue\r\n",
                              short_of(BODY_LIMIT)),
    "no key": (length(BODY_LIMIT), short_of(BODY_LIMIT), "/bookings", "none"),
    "no route": (length(BODY_LIMIT), short_of(BODY_LIMIT), "/none"),
}


def configuration():
    """The demo's configuration, with quotas that let large bodies pass."""
    with open(os.path.join(ROOT, "examples", "demo.json"), encoding="utf-8") as file:
        text = "\n".join(line for line in file if not line.lstrip().startswith("//"))
    config = json.loads(text)
    for workspace in config["workspaces"]:
        workspace["parameters"].update(rate=1_000_000_000, burst=1_000_000_000)
    return config


def settings(values):
    left_out = os.environ.get("WITHOUT", "").split(",")
    return {name: value for name, value in values.items() if name not in left_out}


class _Crowded(unittest.TestCase):
    entry_memory_mb = MEMORY_MB
    tls = False  # between the processes

    def setUp(self):
        self.fleet = Fleet(BUILD, entries=1, engines=1, services=1, tls=self.tls,
                           daemon_settings=settings({"memory_mb": MEMORY_MB}),
                           entry_settings=settings({"memory_mb": self.entry_memory_mb,
                                                    "max_body_bytes": BODY_LIMIT,
                                                    "max_connections": MAX_CONNECTIONS}))
        self.fleet.__enter__()
        self.addCleanup(self.fleet.stop)
        path = os.path.join(self.fleet.folder.name, "crowds.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(configuration(), file)
        self.fleet.apply(path)
        self.fleet.wait_serving()
        self.address = ("127.0.0.1", self.fleet.ports["entry-1"])
        self.requests = 0

    def assert_bears(self, send, count=CROWD):
        daemons = {name: self.fleet.processes[name] for name in self.fleet.daemons()}
        peaks = {name: Peak(process.pid) for name, process in daemons.items()}
        for peak in peaks.values():
            peak.__enter__()
        crowd = Crowd(self.address, count)
        send(crowd)
        self.assert_answers("beside")
        crowd.leave()
        for peak in peaks.values():
            peak.__exit__()
        for name, process in daemons.items():
            self.assertTrue(process.is_running(), name)
            peaks[name].mb = max(peaks[name].mb, high_water_mb(process.pid))
            print(f"{self.id()}: {name} {peaks[name].mb:.0f} MB, "
                  f"{peaks[name].descriptors} descriptors", file=sys.stderr)
        for name, peak in peaks.items():
            memory_mb = self.entry_memory_mb if name.startswith("entry") else MEMORY_MB
            self.assertLess(peak.mb, memory_mb * 4 // 5, name)
            self.assertLess(peak.descriptors, MOST_DESCRIPTORS, name)
        self.assert_answers("afterwards")

    def assert_answers(self, when):
        """An ordinary booking and a chat are answered; their caller comes again after a 503."""
        for path, body in (("/bookings", {"slot": "9:00"}),
                           (CHAT, {"model": "stallsr1", "max_tokens": 4,
                                   "messages": [{"role": "user", "content": "hello"}]})):
            for i in range(TRIES):
                answer = self.post(path, body, f"ordinary-{when}-{i}")
                if answer.status != 503:
                    break
                time.sleep(float(answer.headers["Retry-After"]))
            self.assertIn(answer.status, (200, 201), answer.body)

    def post(self, path, body, key, timeout=60):
        return self.fleet.post(0, path, body, OTHER_KEY, {"Idempotency-Key": key}, timeout)


def high_water_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return int(file.read().split("VmHWM:")[1].split()[0]) / 1024


class Bodies(_Crowded):
    def bears_bodies(self, kind):
        fields, pieces, *more = BODIES[kind]
        self.assert_bears(lambda crowd: crowd.send_all(head_text(fields, *more), pieces))

    def test_piece_by_piece(self):
        fields, pieces = BODIES["legal size"]
        self.assert_bears(lambda crowd: crowd.send_in_turns(head_text(fields), pieces))

    def test_all_kinds_together(self):
        kinds = list(BODIES.values())
        self.assert_bears(lambda crowd: crowd.send_each(
            [(head_text(kind[0], *kind[2:]), kind[1]) for kind in kinds]))

    def test_one_caller_that_does_not_end(self):
        self.assert_bears(
            lambda crowd: crowd.send_all(head_text(CHUNKED), [chunk(PIECE)] * 3200), count=1)

    def test_connections_that_leave_and_come_again(self):
        fields, pieces = BODIES["legal size"]

        def send(crowd):
            for _ in range(4):
                crowd.send_all(head_text(fields), pieces)
                crowd.leave()
                crowd.join()
        self.assert_bears(send)

    # Guards against a bound that refuses a caller inside the limits.
    def test_single_body_in_calm(self):
        for i in range(5):
            answer = self.post("/bookings", "x" * BODY_LIMIT, f"calm-{i}")
            self.assertIn(answer.status, (200, 201), answer.body)
            chat = chat_body(BODY_LIMIT, b'"%s"' % (b"x" * 1000)).replace(b"restorers", b"stalls")
            answer = self.post(CHAT, chat, f"calm-chat-{i}")
            self.assertIn(answer.status, (200, 201), answer.body)


class WholeBodies(_Crowded):
    """Requests inside the limits, all at once."""

    def bears_requests(self, body, path):
        head = head_text(JSON + length(len(body)), path)
        self.assert_bears(lambda crowd: crowd.send_all(head, pieces_of(body)))

    def test_bookings_in_progress(self):
        service = self.fleet.ports["service-1"]
        call(service, "POST", "/fault", {"slow_ms": SLOW_MS})
        self.bears_requests(b"x" * BODY_LIMIT, "/bookings")

    def test_chats(self):
        self.bears_requests(chat_body(BODY_LIMIT, b'"%s"' % (b"x" * 1000)), CHAT)

    # Each value of JSON has costs beyond its bytes.
    def test_chats_of_many_lists(self):
        self.bears_requests(chat_body(BODY_LIMIT, b"[]"), CHAT)

    def test_chats_of_many_objects(self):
        self.bears_requests(chat_body(BODY_LIMIT, b"{}"), CHAT)

    # An escape makes the entry look for keys in the parsed body.
    def test_bookings_of_many_lists(self):
        escaped = chat_body(BODY_LIMIT - 100, b"[]").replace(b'"a"', b'"\\u0061"')
        self.bears_requests(escaped, "/bookings")


class SmallAgents(WholeBodies):
    """Agents with less memory than what the entry passes on."""

    entry_memory_mb = 20 * MEMORY_MB


class Heads(_Crowded):
    def test_heads_without_end(self):
        self.assert_bears(lambda crowd: crowd.send_all(head_start, [b"A: bbbbbbb\r\n" * 5000] * 80))

    def test_field_without_end(self):
        self.assert_bears(lambda crowd: crowd.send_all(lambda i: head_start(i) + b"A: ",
                                                       [PIECE] * 80))

    def test_heads_byte_by_byte(self):
        self.assert_bears(lambda crowd: crowd.send_in_turns(head_start, [b"A"] * 50))

    def test_heads_of_many_fields(self):
        self.assert_bears(lambda crowd: crowd.send_all(head_start, [b"a:\r\n" * 1000] * 10))

    def test_idle_connections(self):
        self.assert_bears(lambda crowd: None, count=3 * MAX_CONNECTIONS)


def head_start(_):
    return b"POST /bookings HTTP/1.1\r\nHost: a.example\r\n"


class Answers(_Crowded):
    # Each connection asks again and again and reads nothing.
    def test_answers_that_nobody_reads(self):
        body = json.dumps({"model": "restorersr1", "stream": True, "max_tokens": 1000,
                           "messages": [{"role": "user", "content": "a"}]}).encode()
        request = head_text(JSON + length(len(body)), CHAT)(0) + body
        self.assert_bears(lambda crowd: crowd.send_all(lambda i: request, [request * 20]))

    def test_large_answers_that_nobody_reads(self):
        call(self.fleet.ports["service-1"], "POST", "/fault", {"answer_bytes": 4 * BODY_LIMIT})
        request = b"GET /registers/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"
        self.assert_bears(lambda crowd: (crowd.send_all(lambda i: request, []), time.sleep(5)))

    # Guards against a bound that cuts an answer inside the limits.
    def test_large_answer_in_calm(self):
        call(self.fleet.ports["service-1"], "POST", "/fault", {"answer_bytes": 4 * BODY_LIMIT})
        for _ in range(5):
            answer = call(self.fleet.ports["entry-1"], "GET", "/registers/1")
            self.assertEqual(answer.status, 200)
            self.assertGreater(len(answer.body), 4 * BODY_LIMIT)

    def test_refusals_that_nobody_reads(self):
        request = head_text(length(0), "/none")(0)
        self.assert_bears(lambda crowd: crowd.send_all(lambda i: request, [request * 400] * 40))


class _OtherPorts:
    """A crowd at another port of a process."""

    def test_bodies_over_the_limit(self):
        fields, pieces = BODIES["announced over the limit"]
        head = head_text(fields, "/withdraw")
        self.assert_bears(lambda crowd: crowd.send_all(head, pieces))

    def test_bodies_over_the_limit_in_chunks(self):
        fields, pieces = BODIES["over the limit in chunks"]
        head = head_text(fields, "/withdraw")
        self.assert_bears(lambda crowd: crowd.send_all(head, pieces))

    def test_heads_without_end(self):
        self.assert_bears(lambda crowd: crowd.send_all(head_start, [b"A: bbbbbbb\r\n" * 5000] * 80))

    def test_idle_connections(self):
        self.assert_bears(lambda crowd: None, count=3 * MAX_CONNECTIONS)


class EntryAdminPort(_OtherPorts, _Crowded):
    def setUp(self):
        super().setUp()
        self.address = ("127.0.0.1", self.fleet.admin_ports["entry-1"])

    def assert_answers(self, when):
        super().assert_answers(when)
        answer = call(self.fleet.admin_ports["entry-1"], "GET", "/readyz", timeout=60)
        self.assertEqual(answer.status, 200)


class AgentAdminPort(_OtherPorts, _Crowded):
    def setUp(self):
        super().setUp()
        self.address = ("127.0.0.1", self.fleet.admin_ports["agent-service-1"])

    def assert_answers(self, when):
        super().assert_answers(when)
        answer = call(self.fleet.admin_ports["agent-service-1"], "GET", "/healthz", timeout=60)
        self.assertEqual(answer.status, 200)


HTTP2_START = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\4\0\0\0\0\0"


def frame(kind, flags, stream, payload):
    """Returns a frame of HTTP/2 (RFC 9113, section 4.1)."""
    return len(payload).to_bytes(3, "big") + bytes([kind, flags]) + stream.to_bytes(4, "big") \
        + payload


class EntryPeerPort(_Crowded):
    port = "entry-1.peer"

    def setUp(self):
        super().setUp()
        self.address = ("127.0.0.1", self.fleet.ports[self.port])

    def test_bytes_without_end(self):
        self.assert_bears(lambda crowd: crowd.send_all(lambda i: b"GET / ", [PIECE] * 80))

    def test_field_blocks_without_end(self):
        fields = frame(9, 0, 1, b"\0\1a\x7f\x81\x7f" + b"b" * 16000)
        start = HTTP2_START + frame(1, 0, 1, b"\x83")
        self.assert_bears(lambda crowd: crowd.send_all(lambda i: start, [fields * 4] * 80))

    def test_settings_and_pings_without_end(self):
        pings = frame(6, 0, 0, b"12345678") * 2000
        self.assert_bears(lambda crowd: crowd.send_all(lambda i: HTTP2_START, [pings] * 80))

    def test_idle_connections(self):
        self.assert_bears(lambda crowd: None, count=3 * MAX_CONNECTIONS)


class AgentPeerPort(EntryPeerPort):
    port = "agent-service-1.peer"


class EntryPeerPortWithTls(EntryPeerPort):
    tls = True


class AgentPeerPortWithTls(AgentPeerPort):
    tls = True


for _kind in BODIES:
    setattr(Bodies, "test_" + _kind.replace(" ", "_"),
            lambda self, kind=_kind: self.bears_bodies(kind))


if __name__ == "__main__":
    BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
    sys.exit(not known_red.main())
