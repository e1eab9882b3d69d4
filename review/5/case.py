"""A model server crashes in the middle of an event of an answer that has no length."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from client import send, wait_ready  # noqa: E402
from deployment import Deployment  # noqa: E402
from many_versions import Record  # noqa: E402
from standins import Store  # noqa: E402

BOUNDS = {"drain_ms": 2000, "contact_ms": 3000, "grace_s": 8, "quota_slack": 110000}
HEARTBEAT_S, EVENTS, STREAMS = 1.2, 40, 6
BUDGET_MS = 15_000
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "patina", "host": "a.example", "prefix": "/patina/", "route_type": "stream",
                "timeout_ms": BUDGET_MS, "slo_ms": 1000, "priority": 0, "service": "gilde-models",
                "max_attempts": 2, "public": False, "sticky": True, "resumable": True,
                "gap_aim_ms": 250}],
    "services": [{"name": "gilde-models", "health_path": "/health", "max_conns": 360,
                  "engine": {"slots": 64, "kv_capacity": 232000, "adapter_slots": 8,
                             "models": [{"name": "m0", "weights_mb": 65100, "load_s": 1.9}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["key-1"], "priority": 1, "unit": "tokens",
                 "plain_tokens": 200, "rate_per_s": 132858, "burst": 132858}]}


class EngineProcess:
    """One engine with its record in the store; the platform removes the record after a crash."""

    def __init__(self, store, number, record):
        self.store, self.record = store, record
        self.ip, self.instance = f"127.0.1.{number}", f"engine-{number}"
        self.born = int(time.time() * 1000)
        self.runs = []

    async def start(self, framing):
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", str(HERE.parent / "common/stream_engine.py"), self.ip,
            self.instance, str(self.born), framing, stdout=asyncio.subprocess.PIPE)
        line = (await self._process.stdout.readline()).decode()
        self.address = f"{self.ip}:{line.split()[1]}"
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._read())]

    async def _beat(self):
        while True:
            self.store.apply([("servers", "", self.instance, {
                "service": "gilde-models", "address": self.address, "zone": "be-central-a",
                "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
                "stage": "both", "seq": 0, "born": self.born,
                "models": [{"name": "m0", "version": 1, "adapters": []}]})])
            await asyncio.sleep(HEARTBEAT_S)

    async def _read(self):
        while line := (await self._process.stdout.readline()).decode().strip():
            self.runs.append(line)
            self.record(f"{self.instance}: {line}")

    async def inside_an_event(self):
        """Returns when a stream of this engine is within an event."""
        for _ in range(500):
            if any(line.startswith("inside") for line in self.runs):
                break
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.02)

    async def crash(self):
        self._tasks[0].cancel()
        self._process.kill()
        await self._process.wait()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.apply([("servers", "", self.instance, None)])

    def end(self):
        if self._process.returncode is None:
            self._process.kill()


def fault_of(body):
    """Says how a stream that looks complete ends inside an event; None if it doesn't.

    A cut between two events is not counted, since it can't be told from the end of the answer.
    """
    events = body.decode().split("\n\n")
    rest = events.pop()
    return f"{len(events)} of {EVENTS} events and then {rest!r}" if rest else None


def is_whole(body):
    return body.decode() == "".join(
        f"id: {n}\ndata: first half of {n}, second half of {n}\n\n" for n in range(1, EVENTS + 1))


async def main(record, trouble, framing):
    store = Store()
    await store.listen("127.0.0.1")
    store.apply([("op", "", "config", CONFIGURATION)])
    engines = [EngineProcess(store, n + 1, record) for n in range(2)]
    try:
        for engine in engines:
            await engine.start(framing)
        with Deployment(store.address, BOUNDS) as deployment:
            for number, engine in enumerate(engines):
                deployment.start_sidecar(number + 1, engine.address)
            entry = deployment.start_entry(1)
            if not await wait_ready(entry, 20):
                return 2
            await asyncio.sleep(3)
            tasks = [asyncio.create_task(send(
                entry, "POST", f"/patina/{n}", f"r{n}", "key-1", BUDGET_MS, body=b"prompt",
                Model="m0", Token_Usage="826,160", Prompt_Prefix=f"5c:198,{n:x}{n:x}:628"))
                for n in range(STREAMS)]
            await asyncio.sleep(1)
            crashes = []
            if trouble:
                victim = max(engines, key=lambda engine: len(engine.runs))
                await victim.inside_an_event()
                record(f"{victim.instance} crashes (SIGKILL)")
                crashes.append(asyncio.create_task(victim.crash()))
            answers = await asyncio.gather(*tasks)
            await asyncio.gather(*crashes)
    finally:
        for engine in engines:
            engine.end()
    broken = 0
    for answer in answers:
        fault = fault_of(answer.body) if answer.status == 200 and answer.complete else None
        broken += fault is not None
        record(f"{answer.line()}{', looks complete, but: ' + fault if fault else ''}")
    record(f"{broken} of {STREAMS} streams ended as complete inside an event")
    record("ORDER is broken" if broken else "ORDER holds")
    if not trouble and not all(a.complete and is_whole(a.body) for a in answers):
        return 2
    return 1 if broken else 0


sys.exit(asyncio.run(main(Record(HERE / "record.txt"), os.environ.get("TROUBLE", "1") != "0",
                          os.environ.get("FRAMING", "unframed"))))
