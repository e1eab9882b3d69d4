"""Measures how long a revision and a withdrawal take to be in force in every process.

Usage: propagation.py BUILD_FOLDER [ROUNDS]

6 entries and 15 agents on loopback. Half of the rounds have 100 ms added to each call of the table
service; one entry is killed after a third of them. A racing operator applies in every round.
"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, call  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DEMO = os.path.join(ROOT, "examples", "demo.json")
DEFAULT_ROUNDS = 30


def percentile(values, part):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def poll_process(fleet, name, revision, start, times):
    while time.monotonic() - start < 20:
        try:
            if fleet.state(name)["revision"] >= revision:
                times.append(time.monotonic() - start)
                return
        except (OSError, KeyError):
            pass
        time.sleep(0.02)
    times.append(float("inf"))


def apply_round(fleet, source, revision):
    path = os.path.join(fleet.folder.name, f"revision-{revision}.json")
    with open(path, "w", encoding="utf-8") as file:
        file.write(source.replace('"rate": 5000', f'"rate": {5000 + revision}'))
    fleet.ctl("apply", path, f"--expect-revision={revision - 1}")
    start = time.monotonic()
    times = []
    names = [name for name in fleet.daemons() if fleet.processes[name].alive()]
    threads = [threading.Thread(target=poll_process, args=(fleet, name, revision, start, times))
               for name in names]
    for thread in threads:
        thread.start()
    racing = fleet.ctl("apply", DEMO, f"--expect-revision={revision - 1}", check=False)
    for thread in threads:
        thread.join()
    if racing.returncode != 3:
        print(f"racing apply ended with {racing.returncode}, expected 3")
    return times


def main():
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_ROUNDS
    with open(DEMO, encoding="utf-8") as file:
        source = file.read()
    with Fleet(sys.argv[1], entries=6, engines=12, services=3, log_level="warn") as fleet:
        fleet.apply(DEMO)
        fleet.wait_serving(timeout=60)
        all_times, slowest = [], []
        for index in range(rounds):
            if index == rounds // 3:
                fleet.processes["entry-6"].kill()
            if index == rounds // 2:
                call(fleet.ports["platform"], "POST", "/fault", {"service": "rows", "slow_ms": 100})
            times = apply_round(fleet, source, index + 2)
            all_times.extend(times)
            slowest.append(max(times))
        print(f"rounds {rounds}, processes {len(fleet.daemons())} (one killed on the way)")
        for name, values in (("each process", all_times), ("slowest of a round", slowest)):
            print(f"{name}: p50 {percentile(values, 0.5):.2f} s, p99 {percentile(values, 0.99):.2f} s,"
                  f" max {max(values):.2f} s")


if __name__ == "__main__":
    main()
