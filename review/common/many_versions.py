"""The grown Gildehuis installation after its operators have named a version of each adapter.

Starts the store with the desired state and 10,000 rows op/version/m0.aN, 2 entries, 39 engines with
their sidecars and 3 booking servers. The servers register after the entries have read the store.
"""

import asyncio
import json
import time

from client import wait_ready
from standins import Engine, Plain, Store

ADAPTERS = 10_000
ENGINES, BOOKINGS, ENTRIES = 39, 3, 2
ROWS_PER_WRITE = 100
ZONES = ["be-central-a", "be-central-b", "be-central-c"]
BOUNDS = {"drain_ms": 3000, "contact_ms": 4000, "grace_s": 8, "quota_slack": 110000}
CONFIG_S, CONTACT_S = 3.0, 4.0  # config_ms, contact_ms


def configuration(version, keys):
    return {
        "version": version,
        "routes": [{"name": "look", "host": "a.example", "prefix": "/look/", "route_type": "safe",
                    "timeout_ms": 1000, "slo_ms": 120, "priority": 2, "service": "gilde-bookings",
                    "max_attempts": 2, "public": False}],
        "services": [
            {"name": "gilde-models", "health_path": "/health", "max_conns": 450,
             "engine": {"slots": 64, "kv_capacity": 232000, "adapter_slots": 8,
                        "models": [{"name": "m0", "weights_mb": 65100, "load_s": 1.9,
                                    "adapters": ADAPTERS, "adapter_mb": 12.0}]}},
            {"name": "gilde-bookings", "health_path": "/health", "max_conns": 190}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": keys, "priority": 1, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 132858, "burst": 132858}]}


class Installation:
    def __init__(self, store, deployment, record):
        self.store, self.deployment, self.record = store, deployment, record
        self.entries, self.bookings = [], []

    def runs(self):
        return {request_id for server in self.bookings for _, request_id, _ in server.runs}


def version_writes():
    """Transactions that name version 2 of each adapter."""
    for first in range(0, ADAPTERS, ROWS_PER_WRITE):
        yield [("op", "", f"version/m0.a{n}", {"model": "m0", "adapter": f"a{n}", "version": 2})
               for n in range(first, first + ROWS_PER_WRITE)]


async def prepare_store(record, has_versions=True):
    store = Store()
    await store.listen("127.0.0.1")
    store.apply([("op", "", "config", configuration(1, ["key-1", "key-2"]))])
    record("store: the desired state 1 is acknowledged")
    if has_versions:
        for writes in version_writes():
            store.apply(writes)
        record(f"store: {ADAPTERS} versions of adapters are acknowledged")
    return store


async def start(store, deployment, record):
    """Returns the installation once all entries are ready and have seen the servers, else None."""
    here = Installation(store, deployment, record)
    here.entries = [deployment.start_entry(n + 1) for n in range(ENTRIES)]
    for entry in here.entries:
        if not await wait_ready(entry, 40):
            record(f"{entry.name} is not ready before the servers start")
            return None
    for n in range(ENGINES):
        engine = Engine(store, f"engine-{n}", "gilde-models", ZONES[n % 3], "m0")
        await engine.start(f"127.0.1.{n + 1}")
        deployment.start_sidecar(n + 1, engine.address)
    for n in range(BOOKINGS):
        server = Plain(store, f"booking-{n}", "gilde-bookings", ZONES[n % 3])
        await server.start(f"127.0.2.{n + 1}")
        here.bookings.append(server)
    await asyncio.sleep(4)
    record(f"{ENTRIES} entries, {ENGINES} engines with sidecars and {BOOKINGS} booking servers run")
    return here


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} s  {text}\n")
        self._file.flush()


def record_store_lines(here, record):
    """Copies what each entry logged of the operators' table."""
    for entry in here.entries:
        for line in entry.log_text().splitlines():
            fields = json.loads(line) if line.startswith("{") else {}
            if fields.get("table") == "op" or fields.get("kind") == "configuration_in_force":
                fields = {k: v for k, v in fields.items() if k not in ("process", "time_us")}
                record(f"  log of {entry.name}: {json.dumps(fields)}")
