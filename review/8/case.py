"""An order that a model server carries out late, after the server has started again.

A server with eight places for adapters serves requests for eight adapters, then one for a ninth.
The order to load the ninth gets no answer and is carried out ten seconds later (`applied_late`).
Meanwhile the server crashes once and starts again under the id that it had (`srv_crash`), and the
requests for the first eight adapters go on. With TROUBLE=0 neither happens.
LIMIT: the server may not be ordered to load more than its places hold.
"""

import os
import pathlib
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from world import ENGINE, LIMITS, TENANTS, CannotRun, World, route  # noqa: E402

USUAL = [f"a{n}" for n in range(1, ENGINE["adapter_slots"] + 1)]
RARE = "a9"
LATE_SECONDS = 10  # the pages' kind: 2 to 12 s later
DOWN_SECONDS = 2.5
BUDGET_MS = 5000


class Caller(threading.Thread):
    """Sends requests for one adapter, one after the other, each on a new channel."""

    def __init__(self, world, entry, adapter):
        super().__init__(daemon=True)
        self.world, self.entry, self.adapter = world, entry, adapter
        self.served = 0
        self.pauses = False

    def run(self):
        number = 0
        while not self.world.is_over:
            if self.pauses:
                time.sleep(0.1)
                continue
            number += 1
            if self.send(f"{self.adapter}-{number:08d}") == 200:
                self.served += 1
            time.sleep(0.25)

    def send(self, request_id):
        head = ["POST /report/1 HTTP/1.1", "Host: a.example", f"Request-Id: {request_id}",
                "Key: key-of-w", f"Deadline-Ms: {BUDGET_MS}", f"Model: m/{self.adapter}",
                "Token-Usage: 300,80", f"Prompt-Prefix: 5c:200,{request_id}:100",
                "Content-Length: 6", "", "prompt"]
        status, data = 0, b""
        try:
            with socket.create_connection((self.entry.ip, self.entry.port), timeout=8) as channel:
                channel.sendall("\r\n".join(head).encode())
                while not data.endswith(b"0\r\n\r\n") and (piece := channel.recv(4096)):
                    data += piece
                    if data.startswith(b"HTTP/1.1 503") or data.startswith(b"HTTP/1.1 502"):
                        break
            status = int(data[9:12] or 0)
        except (OSError, ValueError):
            pass
        self.world.record.write(f"caller: {request_id} {status}")
        return status


def play(world, has_trouble):
    engine = world.add_engine("models", ENGINE["adapter_slots"])
    engine.events = 5
    world.put_config({
        "version": 7, "limits": LIMITS, "tenants": TENANTS,
        "routes": [route("report", "/report/", "models", "stream", BUDGET_MS, 1000,
                         gap_aim_ms=250, resumable=True, sticky=True, max_attempts=2)],
        "services": [{"name": "models", "health_path": "/health", "max_conns": 360,
                      "engine": ENGINE}]})
    world.start_sidecar(engine)
    entries = [world.start_entry() for _ in range(2)]
    for entry in entries:
        world.wait_linked(entry)
    callers = [Caller(world, entries[n % 2], adapter) for n, adapter in enumerate(USUAL)]
    for caller in callers:
        caller.start()
    world.wait(lambda: len(engine.adapters) == len(USUAL), 15, "all places are taken")
    time.sleep(1)

    late = []

    def is_late(call):
        if call["operation"] == "load" and call.get("adapter") == RARE and not late:
            late.append(time.monotonic())
            return LATE_SECONDS
        return None

    if has_trouble:
        engine.late_orders = is_late
    # The caller of one adapter pauses, so that there is one that may be dropped.
    callers[-1].pauses = True
    time.sleep(0.5)
    rare = Caller(world, entries[0], RARE)
    end = time.monotonic() + 10
    number = 0
    while rare.adapter not in engine.adapters and time.monotonic() < end:
        number += 1
        rare.send(f"rare-{number}")
    if RARE not in engine.adapters:
        raise CannotRun("the ninth adapter was not loaded")
    callers[-1].pauses = False
    if has_trouble:
        time.sleep(0.3)
        engine.crash(DOWN_SECONDS)
        world.wait(lambda: len(engine.adapters) == len(USUAL),
                   late[0] + LATE_SECONDS - time.monotonic(), "all places are taken again")
        time.sleep(max(0, late[0] + LATE_SECONDS + 1 - time.monotonic()))
    else:
        time.sleep(LATE_SECONDS)
    world.record.write(f"served: {({c.adapter: c.served for c in callers})}")
    return bool(engine.broken)


def main():
    try:
        with World(HERE / "record.txt") as world:
            is_broken = play(world, os.environ.get("TROUBLE") != "0")
    except (CannotRun, OSError) as error:
        print(f"cannot run: {error}")
        return 2
    print("LIMIT is broken" if is_broken else "LIMIT held")
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
