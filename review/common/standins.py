"""Stand-ins of the users' platform for the review's scripts: store, plain service, model engine.

    store = Store()
    await store.listen("127.0.0.1")
    store.apply([("op", "", "config", {...})])      # one transaction of the operator
    plain = Plain(store, "plain-1", "gilde-bookings", "zone-a")
    await plain.start("127.0.2.1")                  # listens, registers itself and sends heartbeats

All run on one asyncio loop and speak PROTOCOL.md. A read of the store returns at most 500 rows or 1 MB
as of a single moment, with `truncated`; `ver` is the newest version of the store's only counter; a
transaction holds at most 100 entries. Python's standard library only.
"""

import asyncio
import base64
import bisect
import json
import random
import time
import urllib.parse

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
MAX_ENTRIES = 100
CRLF2 = b"\r\n\r\n"


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_request(reader):
    """Returns the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(CRLF2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get("content-length") or 0))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, fields, body)


def response(status, body=b"", fields=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines).encode() + CRLF2 + body


class HttpServer:
    """Calls handle(request, writer) for each request of a connection, one after the other."""

    async def listen(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port, limit=8 << 20, backlog=256)
        self.ip = ip
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{self.port}"

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store. answer_s: time of an answer."""

    def __init__(self, answer_s=0.004):
        self.answer_s = answer_s
        self.tables = {}  # (table, part) -> ([sorted keys], {key: (base64, version)})
        self.changes = []  # (version, table, part, key)
        self.version = 0
        self.forgotten = 0  # history up to this version is gone
        self.calls = 0
        self._changed = asyncio.Condition()

    def apply(self, writes):
        """One transaction of (table, part, key, value); a value of None removes. Returns its version."""
        self.version += 1
        for table, part, key, value in writes:
            keys, rows = self.tables.setdefault((table, part), ([], {}))
            if value is None:
                if rows.pop(key, None):
                    keys.remove(key)
            else:
                text = value if isinstance(value, str) else json.dumps(value)
                if key not in rows:
                    bisect.insort(keys, key)
                rows[key] = (base64.b64encode(text.encode()).decode(), self.version)
            self.changes.append((self.version, table, part, key))
        asyncio.get_running_loop().create_task(self._notify())
        return self.version

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    def forget_history(self):
        """Drops the history, as in platform_compact; watches that wait are told."""
        self.forgotten = self.version
        asyncio.get_running_loop().create_task(self._notify())

    def _row(self, table, part, key):
        rows = self.tables.get((table, part), ([], {}))[1]
        row = {"table": table, "part": part, "key": key}
        if key in rows:
            row["value"], row["ver"] = rows[key]
        else:
            row["tombstone"] = True
        return row

    def _answer(self, more):
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000), **more}

    def _read(self, query):
        table, part = query["table"], query.get("part", "")
        keys = self.tables.get((table, part), ([], {}))[0]
        first = bisect.bisect_left(keys, query.get("from", ""))
        last = bisect.bisect_left(keys, query["to"]) if query.get("to") else len(keys)
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        page, size = [], 0
        for key in keys[first:min(last, first + limit)]:
            row = self._row(table, part, key)
            size += len(row["value"]) + len(key) + 80
            if page and size > PAGE_BYTES:
                break
            page.append(row)
        return self._answer({"rows": page, "truncated": first + len(page) < last})

    def _transact(self, call):
        expected, puts = call.get("expected", []), call.get("put", [])
        removes = call.get("remove", [])
        if len(expected) + len(puts) + len(removes) > MAX_ENTRIES:
            return 400, self._answer({})
        for row in expected:
            rows = self.tables.get((row["table"], row["part"]), ([], {}))[1]
            if rows.get(row["key"], (None, 0))[1] != row["ver"]:
                now = [self._row(r["table"], r["part"], r["key"]) for r in expected]
                return 412, self._answer({"rows": [r for r in now if "ver" in r]})
        self.apply([(r["table"], r["part"], r["key"], base64.b64decode(r["value"]).decode())
                    for r in puts]
                   + [(r["table"], r["part"], r["key"], None) for r in removes])
        return 200, self._answer({})

    def _changes_after(self, table, after):
        names = {}
        for version, *name in reversed(self.changes):
            if version <= after:
                break
            if name[0] == table:
                names.setdefault(tuple(name), version)
        return [{**self._row(*name), "ver": version}
                for name, version in sorted(names.items(), key=lambda item: item[1])]

    async def _feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            rows = self._changes_after(query["table"], after)
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, self._answer({"rows": rows})
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, request, writer):
        self.calls += 1
        await asyncio.sleep(self.answer_s)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/rows-get":
            status, body = 200, self._read(query)
        elif url.path == "/-/rows-feed":
            status, body = await self._feed(query)
        elif url.path == "/-/rows-tx":
            status, body = self._transact(json.loads(request.body))
        else:
            status, body = 404, {}
        writer.write(response(status, body, [("Content-Type", "application/json")]))


class Server(HttpServer):
    """What plain services and engines share: the record in the store and the heartbeats."""

    def __init__(self, store, instance, service, zone, heartbeat_s=1.2, slots=6):
        self.store, self.instance, self.service = store, instance, service
        self.zone, self.heartbeat_s, self.slots = zone, heartbeat_s, slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, request id, fields) of the requests that were run
        self._beats = None

    def record(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "seq": 0, "born": self.born}

    async def start(self, ip, port=0):
        await self.listen(ip, port)
        self.publish()
        self._beats = asyncio.create_task(self._beat())

    def publish(self):
        self.store.apply([("servers", "", self.instance, self.record())])

    async def _beat(self):
        await asyncio.sleep(random.random() * self.heartbeat_s)
        while True:
            self.publish()
            await asyncio.sleep(self.heartbeat_s)

    def _misdirected(self, request, writer):
        if request.get("Expect-Instance") in (None, self.instance):
            return False
        writer.write(response(421, b"", [("Instance-Id", self.instance),
                                         ("Request-Id", request.get("Request-Id", ""))]))
        return True


class Plain(Server):
    """A plain service: an answer after work_s."""

    work_s = 0.015

    def body_for(self, request):
        return b"x" * 800

    async def handle(self, request, writer):
        if request.target == "/health":
            writer.write(response(200, b"", [("Instance-Id", self.instance)]))
            return
        if self._misdirected(request, writer):
            return
        request_id = request.get("Request-Id", "")
        self.runs.append((time.monotonic(), request_id, request.fields))
        await asyncio.sleep(self.work_s)
        writer.write(response(200, self.body_for(request),
                              [("Request-Id", request_id), ("Response-Seal", f"s-{request_id}")]))


class Engine(Server):
    """A model engine that holds its model and no adapters; orders are not needed by these cases."""

    def __init__(self, store, instance, service, zone, model):
        super().__init__(store, instance, service, zone, slots=64)
        self.model = model

    def _models(self):
        return [{"name": self.model, "version": 1, "adapters": []}]

    def record(self):
        return {**super().record(), "stage": "both", "models": self._models()}

    async def handle(self, request, writer):
        if request.target == "/-/report":
            writer.write(response(200, {
                "stage": "both", "models": self._models(), "busy": False, "seq": 0, "queued": 0,
                "running": 0, "kv_used": 0, "kv_total": 232000, "handles": 0, "coming": [],
                "runs": [], "born": self.born, "state": self.state}))
        elif request.target == "/health":
            writer.write(response(200, b"", [("Instance-Id", self.instance)]))
        else:
            writer.write(response(503, b"", [("Not-Executed", "1"),
                                             ("Request-Id", request.get("Request-Id", ""))]))
