"""A small deployment for the scripts of the second review: the processes of the deploy file, and
stand-ins of the platform's store and of a plain service that speak the users' pages (PROTOCOL.md).

    with World(record_path) as world:
        world.add_plain("ledger", count=2)
        world.put_config(routes, services, tenants)
        entry = world.start_entry()
        ...

Python's standard library only. Every address is a loopback address; every process that is started
is ended, by its id, when the block ends.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/build/fleet/foxtailturnd"  # `run` of both roles in deploy/system.toml
HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
DISK_SECONDS = 0.76  # a load of the weights that the server held before

# Bounds of the small deployments (sites/bkvw-gildehuis.toml), as the settings file gives them.
BOUNDS = {"quota_slack": 110000, "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run. Thread-safe."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begin = time.monotonic()

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._begin:9.3f} s  {text}\n")
            self._file.flush()

    def close(self):
        self._file.close()


_given = set()


def free_port(ip=HOST):
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            port = probe.getsockname()[1]
        if port not in _given:
            _given.add(port)
            return port


def own_ip(host):
    """A loopback address of this process's own, so that tests side by side do not meet."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{host}"


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", fields=()):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        head = [f"HTTP/1.1 {status} Status"]
        head += [f"{name}: {value}" for name, value in fields]
        head += [f"Content-Length: {len(body)}", "", ""]
        self.wfile.write("\r\n".join(head).encode() + body)
        self.wfile.flush()


class Store:
    """The platform's store: rows, transactions, feed."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> [text in base64, version]
        self.changes = []  # (version, name, value)
        self.version = 0
        self.changed = threading.Condition()
        store = self

        class Handler(_Handler):
            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/-/rows-get":
                    self.answer(200, store.read(query))
                elif url.path == "/-/rows-feed":
                    self.answer(200, store.feed(query))
                else:
                    self.answer(404)

            def do_POST(self):
                call = json.loads(self.read_body())
                self.answer(*store.transact(call))

        self.server = _Server((HOST, 0), Handler)
        self.address = f"{HOST}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    @staticmethod
    def _now():
        return int(time.monotonic() * 1000)

    def _row(self, name):
        row = {"table": name[0], "part": name[1], "key": name[2]}
        if name in self.rows:
            row["value"], row["ver"] = self.rows[name]
        else:
            row["tombstone"] = True
        return row

    def _set(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = [value, self.version]
        self.changes.append((self.version, name, value))

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self._set((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    def remove(self, table, key):
        with self.changed:
            self.version += 1
            self._set((table, "", key), None)
            self.changed.notify_all()

    def transact(self, call):
        with self.changed:
            expected = [((r["table"], r["part"], r["key"]), r["ver"]) for r in call["expected"]]
            if any(self.rows.get(name, [None, 0])[1] != version for name, version in expected):
                rows = [self._row(name) for name, _ in expected if name in self.rows]
                return 412, {"rows": rows, "ver": self.version, "now_ms": self._now()}
            self.version += 1
            for r in call.get("put", []):
                self._set((r["table"], r["part"], r["key"]), r["value"])
            for r in call.get("remove", []):
                self._set((r["table"], r["part"], r["key"]), None)
            self.changed.notify_all()
            return 200, {"ver": self.version, "now_ms": self._now()}

    def read(self, query):
        with self.changed:
            names = sorted(n for n in self.rows if n[0] == query["table"]
                           and n[1] == query.get("part", "") and n[2] >= query.get("from", ""))
            return {"rows": [self._row(n) for n in names[:500]], "truncated": len(names) > 500,
                    "ver": self.version, "now_ms": self._now()}

    def feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                changed = {}
                for version, name, _ in self.changes:
                    if version > after and name[0] == table:
                        changed[name] = version
                left = end - time.monotonic()
                if changed or left <= 0:
                    break
                self.changed.wait(left)
            rows = [{**self._row(name), "ver": version} for name, version in changed.items()]
            return {"rows": sorted(rows, key=lambda r: r["ver"]), "ver": self.version,
                    "now_ms": self._now()}


class Plain:
    """A server of a plain service. body_of(path) gives the body of an answer."""

    def __init__(self, world, ip, service, instance, body_of):
        self.world, self.service, self.instance = world, service, instance
        self.born = int(time.time() * 1000)
        self.seq = 0
        plain = self

        class Handler(_Handler):
            def _serve(self):
                content = self.read_body()
                plain._serve(self, content)

            do_GET = _serve
            do_POST = _serve

        self.body_of = body_of
        self.server = _Server((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        while not self.world.is_over:
            self.seq += 1
            self.world.store.put("servers", self.instance, {
                "service": self.service, "address": self.address, "zone": "zone-a",
                "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
                "seq": self.seq, "born": self.born})
            time.sleep(HEARTBEAT_SECONDS)

    def _serve(self, handler, content):
        request_id = handler.headers.get("Request-Id")
        expected = handler.headers.get("Expect-Instance")
        if expected not in (None, self.instance):
            handler.answer(421, fields=[("Not-Executed", "1"), ("Request-Id", request_id),
                                        ("Instance-Id", self.instance)])
            return
        if handler.path == "/health":
            handler.answer(200, fields=[("Instance-Id", self.instance)])
            return
        self.world.record.write(f"server {self.instance} runs {request_id}: {handler.command} "
                                f"{handler.path}, Deadline-Ms {handler.headers.get('Deadline-Ms')}")
        body = self.body_of(handler.path)
        handler.answer(200, body, [("Request-Id", request_id), ("Keep-Alive", "timeout=20"),
                                   ("Response-Seal", f"seal-{request_id}")])
        self.world.record.write(f"server {self.instance} has answered {request_id} whole, "
                                f"{len(body)} bytes")


class Engine:
    """A model server beside which a sidecar runs: one model that it holds from its start, adapters
    by order, streams of events.

    late_orders: a function of an order that tells by how many seconds it is carried out late, and
    without an answer; None if it is answered at once.
    """

    def __init__(self, world, ip, service, instance, adapter_slots, load_seconds=0.25):
        self.world, self.ip, self.service, self.instance = world, ip, service, instance
        self.adapter_slots, self.load_seconds = adapter_slots, load_seconds
        self.lock = threading.RLock()
        self.born, self.seq, self.beats, self.starts = int(time.time() * 1000), 0, 0, 0
        self.is_busy = False  # loads the weights
        self.has_model = True  # busy models are placed at the start
        self.adapters, self.coming = {}, {}
        self.fence = 0
        self.running = {}  # request id -> events made
        self.late_orders = None
        self.broken = []  # what it was ordered to load beyond its places
        self.events, self.event_bytes, self.event_seconds = 20, 40, 0.022
        self.port = None
        self.is_down = False
        self.open = set()
        self._listen()
        threading.Thread(target=self._beat, daemon=True).start()

    def _listen(self):
        engine = self

        class Handler(_Handler):
            def setup(self):
                super().setup()
                engine.open.add(self.connection)

            def finish(self):
                engine.open.discard(self.connection)
                try:
                    super().finish()
                except (OSError, ValueError):
                    pass

            def do_GET(self):
                if self.path == "/-/report":
                    self.answer(200, engine.report())
                else:
                    self.answer(200, fields=[("Instance-Id", engine.instance)])

            def do_POST(self):
                content = self.read_body()
                if self.path == "/-/order":
                    engine._order(self, json.loads(content))
                else:
                    engine._generate(self)

        self.server = _Server((self.ip, self.port or 0), Handler)
        self.port = self.server.server_address[1]
        self.address = f"{self.ip}:{self.port}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def listed(self):
        if not self.has_model:
            return []
        return [{"name": "m", "version": 1, "adapters": [f"{name}@1" for name in self.adapters]}]

    def report(self):
        with self.lock:
            return {"stage": "both", "models": self.listed(), "busy": self.is_busy, "seq": self.seq,
                    "queued": 0, "running": len(self.running), "kv_used": 0, "kv_total": 232000,
                    "handles": 0, "born": self.born, "state": "ready", "next": 0, "pinned": 0,
                    "held": 0, "coming": [f"m/{name}@1" for name in self.coming],
                    "runs": [[i, 800, n, 5] for i, n in self.running.items()]}

    def publish(self):
        with self.lock:
            row = {"service": self.service, "address": self.address, "zone": "zone-a",
                   "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
                   "seq": self.beats, "born": self.born, "stage": "both", "models": self.listed()}
        self.world.store.put("servers", self.instance, row)

    def _beat(self):
        while not self.world.is_over:
            if not self.is_down:
                self.beats += 1
                self.publish()
            time.sleep(HEARTBEAT_SECONDS)

    def crash(self, seconds):
        """Ends; starts again later under the same id, and knows nothing of before."""
        with self.lock:
            self.is_down = True
            self.world.record.write(f"server {self.instance} crashes at seq {self.seq}")
            self.has_model = self.is_busy = False  # servers restart empty
            self.adapters, self.coming, self.running = {}, {}, {}
            self.seq, self.fence = 0, 0
            self.starts += 1
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        time.sleep(seconds)
        self.born = int(time.time() * 1000)
        self._listen()
        self.is_down = False
        self.publish()
        self.world.record.write(f"server {self.instance} runs again, born {self.born}, seq 0")

    def _order(self, handler, call):
        expected = handler.headers.get("Expect-Instance")
        late = self.late_orders(call) if self.late_orders else None
        if late is not None:
            self.world.record.write(f"order {call} gets no answer; carried out {late} s later")
            timer = threading.Timer(late, self._carry_out, (call, expected, True))
            timer.daemon = True
            timer.start()
            time.sleep(3)
            handler.close_connection = True
            return
        handler.answer(self._carry_out(call, expected, False))

    def _carry_out(self, call, instance, is_late):
        """Returns the status, as PROTOCOL.md gives it."""
        with self.lock:
            if self.is_down:
                return 503
            status = self._status(call, instance)
            if is_late or call["operation"] == "unload" or status not in (200, 202):
                word = "late order" if is_late else "order"
                self.world.record.write(
                    f"{word} {call['operation']} {call.get('adapter')}, expected "
                    f"{call.get('expected')}, fence {call['fence']}, at seq {self.seq}: {status}")
            if status not in (200, 202):
                return status
            name = call.get("adapter")
            if name is None:
                return self._load_model(call)
            if not self.has_model:
                return 421
            if call["operation"] == "unload":
                if name not in self.adapters:
                    return 200
                self.seq += 1
                self.fence = max(self.fence, call["fence"])
                del self.adapters[name]
                return 200
            if name in self.adapters or name in self.coming:
                return 200
            self.seq += 1
            self.fence = max(self.fence, call["fence"])
            if len(self.adapters) + len(self.coming) >= self.adapter_slots:
                text = (f"ordered to load {name} by {call['holder']}, expected "
                        f"{call.get('expected')}, while {self.adapter_slots} places are taken by "
                        f"{sorted([*self.adapters, *self.coming])}")
                self.broken.append(text)
                self.world.record.write(f"LIMIT: {self.instance} {text}")
            self.coming[name] = True
            start = self.starts
            timer = threading.Timer(self.load_seconds, self._loaded, (name, start))
            timer.daemon = True
            timer.start()
            return 202

    def _load_model(self, call):
        if call["operation"] != "load" or self.has_model:
            return 200
        self.seq += 1
        self.fence = max(self.fence, call["fence"])
        self.is_busy = True
        timer = threading.Timer(DISK_SECONDS, self._model_loaded, (self.starts,))
        timer.daemon = True
        timer.start()
        return 202

    def _model_loaded(self, start):
        with self.lock:
            if start == self.starts:
                self.has_model, self.is_busy = True, False

    def _status(self, call, instance):
        if "holder" not in call or "fence" not in call or call["operation"] not in ("load",
                                                                                    "unload"):
            return 400
        if instance not in (None, self.instance):
            return 421
        if call["fence"] < self.fence:
            return 412
        if self.is_busy:
            return 409
        if "expected" in call and call["expected"] != self.seq:
            return 409
        return 202

    def _loaded(self, name, start):
        with self.lock:
            if start == self.starts and self.coming.pop(name, None):
                self.adapters[name] = 1

    def _generate(self, handler):
        fields = handler.headers
        request_id, adapter = fields.get("Request-Id"), fields.get("Model", "").partition("/")[2]
        own = [("Request-Id", request_id), ("Instance-Id", self.instance)]
        with self.lock:
            is_here = not adapter or adapter in self.adapters
        if fields.get("Expect-Instance") not in (None, self.instance) or not is_here:
            handler.answer(421, fields=[("Not-Executed", "1"), *own])
            return
        self.world.record.write(f"server {self.instance} runs {request_id}, "
                                f"Deadline-Ms {fields.get('Deadline-Ms')}")
        head = [f"{name}: {value}" for name, value in
                [*own, ("Response-Seal", f"seal-{request_id}"),
                 ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]]
        handler.wfile.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(head) + "\r\n\r\n").encode())
        start, sent = self.starts, 0
        try:
            for number in range(1, self.events + 1):
                time.sleep(self.event_seconds)
                if start != self.starts:
                    raise OSError
                self.running[request_id] = number
                text = f"id: {number}\ndata: {'x' * self.event_bytes}\n\n".encode()
                handler.wfile.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
                handler.wfile.flush()
                sent += len(text)
            handler.wfile.write(b"0\r\n\r\n")
            self.world.record.write(f"server {self.instance} has sent {request_id} whole: "
                                    f"{self.events} events, {sent} bytes")
        except OSError:
            self.world.record.write(f"server {self.instance}: {request_id} broke off")
            handler.close_connection = True
        finally:
            self.running.pop(request_id, None)


class Program:
    """A process of the system: an entry, or the sidecar of an engine."""

    def __init__(self, world, name, ip, settings):
        self.world, self.name, self.ip = world, name, ip
        # What platform/settings.json.in makes of the settings of a small deployment.
        settings = {
            "name": name, "ip": ip, "data_centre": "zone-a", "peer_port": world.peer_port,
            "metrics_port": world.metrics_port, "store_address": world.store.address,
            "quota_tolerance": BOUNDS["quota_slack"],
            "store_silence_limit_ms": BOUNDS["contact_ms"],
            "drain_notice_ms": BOUNDS["drain_ms"], "stop_grace_s": BOUNDS["grace_s"], **settings}
        path = world.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.log = open(world.folder / f"{name}.log", "wb")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["FOXTAILTURN_NODE_FILE"] = str(path)
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.ended_at = None
        threading.Thread(target=self._watch, daemon=True).start()

    def _watch(self):
        code = self.process.wait()
        self.ended_at = time.monotonic()
        self.world.record.write(f"process {self.name} has ended with {code}")

    def ask(self, port, path):
        """Returns the status and body of an answer on one of the process's own ports."""
        connection = http.client.HTTPConnection(self.ip, port, timeout=2)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready_port), timeout=1) as connection:
                connection.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def signal(self, number):
        self.world.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class World:
    def __init__(self, record_path):
        if not (ROOT / PROGRAM).exists():
            raise CannotRun(f"{PROGRAM} is not built")
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.is_over = False
        self.store = Store()
        self.peer_port, self.metrics_port = free_port(), free_port()
        self.processes, self.plains, self.engines = [], [], []

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.is_over = True
        for process in self.processes:
            process.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    def add_plain(self, service, count, body_of):
        for _ in range(count):
            index = len(self.plains)
            self.plains.append(Plain(self, own_ip(101 + index), service, f"i-{service}-{index}",
                                     body_of))

    def put_config(self, config):
        self.store.put("op", "config", config)

    def add_engine(self, service, adapter_slots, **more):
        ip = own_ip(1 + len(self.engines))
        engine = Engine(self, ip, service, f"i-{service}-{len(self.engines)}", adapter_slots,
                        **more)
        self.engines.append(engine)
        while engine.port in (self.peer_port, self.metrics_port):
            raise CannotRun("the engine's port is one of the sidecar's")
        return engine

    def start_sidecar(self, engine):
        name = f"side-{self.engines.index(engine) + 1}"
        program = Program(self, name, engine.ip, {
            "role": "sidecar", "engine_address": engine.address, "processor_share": 0.2,
            "memory_mb": 192, "max_fds": 4096})
        self.processes.append(program)
        return program

    def start_entry(self):
        number = 1 + len([p for p in self.processes if p.name.startswith("front")])
        ip = own_ip(150 + number)
        port, ready_port = free_port(ip), free_port(ip)
        program = Program(self, f"front-{number}", ip, {
            "role": "entry", "caller_address": f"{ip}:{port}",
            "ready_address": f"{ip}:{ready_port}", "processor_share": 0.19, "memory_mb": 260,
            "max_fds": 4100})
        program.port, program.ready_port = port, ready_port
        self.processes.append(program)
        return program

    def wait_linked(self, entry):
        """Waits until an entry is ready and is connected to the sidecars of all engines."""
        self.wait(entry.is_ready, 10, f"{entry.name} is ready")

        def is_linked():
            state = json.loads(entry.ask(entry.ready_port, "/state")[1])
            return sum(1 for t in state["targets"] if t["agent"]) == len(self.engines)

        self.wait(is_linked, 10, f"{entry.name} is connected to the sidecars")

    @staticmethod
    def wait(condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise CannotRun(f"not within {seconds} s: {what}")


def route(name, prefix, service, kind, timeout_ms, slo_ms, **more):
    return {"name": name, "host": "a.example", "prefix": prefix, "route_type": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 2, "service": service,
            "max_attempts": 2 if kind == "safe" else 1, "public": False, "resumable": False,
            **more}


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
ENGINE = {"slots": 64, "kv_capacity": 232000, "adapter_slots": 8, "weights_mb": 66500,
          "loads_per_s": 2.8, "models": [{"name": "m", "weights_mb": 65100, "load_s": 1.9,
                                          "adapters": 3000, "adapter_mb": 12.0}]}
TENANTS = [{"name": "w", "api_keys": ["key-of-w"], "priority": 1, "unit": "tokens",
            "plain_tokens": 200, "rate_per_s": 132858, "burst": 132858}]
