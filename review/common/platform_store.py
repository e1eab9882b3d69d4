"""Stand-in of the platform's store, with the paging and the versions of PROTOCOL.md.

    store = PagedStore()                 # listens on a free loopback port
    store.put("op", "config", {...})     # the operator's or a server's write
    store.apply([(table, part, key, value), ...])   # one transaction

A read returns at most 500 rows or 1 MB as of a single moment, with `truncated`; `ver` is the newest
version of the store's single counter. An answer takes ANSWER_SECONDS. Python's standard library only.
"""

import base64
import http.server
import json
import socketserver
import threading
import time
import urllib.parse

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
MAX_ENTRIES = 100  # of one transaction
ANSWER_SECONDS = 0.004  # "4 ms an answer"


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # clients are killed during the tests


class PagedStore:
    def __init__(self, ip="127.0.0.1"):
        self.rows = {}  # (table, part) -> {key: (value, version)}
        self.changes = []  # (version, table, part, key)
        self.version = 0
        self.forgotten = 0
        self.changed = threading.Condition()
        self._server = _Server((ip, 0), _Handler)
        self._server.owner = self
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def stop(self):
        self._server.shutdown()
        self._server.server_close()

    def put(self, table, key, value, part=""):
        self.apply([(table, part, key, value)])

    def remove(self, table, key, part=""):
        self.apply([(table, part, key, None)])

    def put_config(self, config):
        self.put("op", "config", config)

    def apply(self, writes):
        """One transaction; returns its version. A value of None removes the row."""
        coded = [(t, p, k, None if v is None else base64.b64encode(
            (v if isinstance(v, str) else json.dumps(v)).encode()).decode())
            for t, p, k, v in writes]
        with self.changed:
            return self._apply(coded)

    def _apply(self, coded):
        self.version += 1
        for table, part, key, value in coded:
            rows = self.rows.setdefault((table, part), {})
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = (value, self.version)
            self.changes.append((self.version, table, part, key))
        self.changed.notify_all()
        return self.version

    def _row(self, table, part, key):
        found = self.rows.get((table, part), {}).get(key)
        row = {"table": table, "part": part, "key": key}
        if found:
            row["value"], row["ver"] = found
        else:
            row["tombstone"] = True
        return row

    def transact(self, call):
        with self.changed:
            expected = call.get("expected", [])
            puts, removes = call.get("put", []), call.get("remove", [])
            if len(expected) + len(puts) + len(removes) > MAX_ENTRIES:
                return 400, {"error": "too many entries"}
            for row in expected:
                found = self.rows.get((row["table"], row["part"]), {}).get(row["key"])
                if (found[1] if found else 0) != row["ver"]:
                    now = [self._row(r["table"], r["part"], r["key"]) for r in expected
                           if r["key"] in self.rows.get((r["table"], r["part"]), {})]
                    return 412, {"ver": self.version, "now_ms": self.now_ms(), "rows": now}
            version = self._apply(
                [(r["table"], r["part"], r["key"], r["value"]) for r in puts]
                + [(r["table"], r["part"], r["key"], None) for r in removes])
            return 200, {"ver": version, "now_ms": self.now_ms()}

    def read(self, table, part, first, last, limit):
        with self.changed:
            keys = sorted(k for k in self.rows.get((table, part), {})
                          if k.encode() >= first.encode() and (not last or k < last))
            page, size = [], 0
            for key in keys[:min(limit, PAGE_ROWS)]:
                row = self._row(table, part, key)
                size += len(row["value"]) + len(key) + 80
                if page and size > PAGE_BYTES:
                    break
                page.append(row)
            return {"rows": page, "truncated": len(page) < len(keys), "ver": self.version,
                    "now_ms": self.now_ms()}

    def feed(self, table, after, wait):
        deadline = time.monotonic() + wait
        with self.changed:
            while True:
                if after < self.forgotten:
                    return None
                names = {}
                for version, *name in reversed(self.changes):
                    if version <= after:
                        break
                    if name[0] == table and tuple(name) not in names:
                        names[tuple(name)] = version
                left = deadline - time.monotonic()
                if names or left <= 0:
                    break
                self.changed.wait(left)
            rows = []
            for name, version in sorted(names.items(), key=lambda item: item[1]):
                row = self._row(*name)
                row["ver"] = version
                rows.append(row)
            return {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}

    def forget_history(self):
        with self.changed:
            self.forgotten = self.version
            self.changed.notify_all()

    @staticmethod
    def now_ms():
        return int(time.monotonic() * 1000)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1  # one write an answer

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        pass

    def _answer(self, status, value):
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def do_GET(self):
        store = self.server.owner
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        time.sleep(ANSWER_SECONDS)
        if url.path == "/-/rows-get":
            self._answer(200, store.read(query["table"], query.get("part", ""),
                                         query.get("from", ""), query.get("to", ""),
                                         int(query.get("limit", PAGE_ROWS))))
        elif url.path == "/-/rows-feed":
            answer = store.feed(query["table"], int(query["after"]),
                                int(query["wait_ms"]) / 1000)
            self._answer(410 if answer is None else 200, answer or {})
        else:
            self._answer(404, {})

    def do_POST(self):
        call = json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)))
        time.sleep(ANSWER_SECONDS)
        self._answer(*self.server.owner.transact(call))
