#!/usr/bin/env python3
"""Measures the slopes behind docs/CAPACITY.md on small fleets on loopback.

    python3 -B testing/capacity.py --build=build idle --sizes=2x2,2x8,2x16,4x8,6x8
    python3 -B testing/capacity.py --build=build load --streams=50,200,400
    python3 -B testing/capacity.py --build=build first_token
    python3 -B testing/capacity.py --build=build config --adapters=30,3000,12000

Each prints one JSON object a line; capacity_fit.py takes those of idle. Processor time is that of
the process (user and system) over wall time, so 0.01 is 1% of one core. The machine's load average
is printed with each figure: repeat a figure taken on a busy machine.
"""

import argparse
import collections
import json
import os
import subprocess
import threading
import time
import urllib.parse

from fleet import Fleet, call, free_port

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DEMO = os.path.join(ROOT, "examples", "demo.json")
KEY = "demo-key-restorers"
TICKS = os.sysconf("SC_CLK_TCK")
MAX_PROCESSES = 60
SETTLE_SECONDS = 4
IDLE_SECONDS = 8
# High enough that admission refuses nothing: the measurement is of the relay.
FREE_RATE = 2_000_000
MODEL = "restorers/report/1=restorers-report-1@2"
DIRECT_MODEL = "restorers-report-1@2"


def cpu_seconds(pid):
    """User and system time. The fields follow the program's name in parentheses."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def status_field(pid, field):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith(field + ":"):
                return int(line.split()[1])
    raise KeyError(field)


def rss_mb(pid):
    return status_field(pid, "VmRSS") / 1024


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def rounded(value, digits=4):
    if isinstance(value, dict):
        return {name: rounded(item, digits) for name, item in value.items()}
    return round(value, digits) if isinstance(value, float) else value


def report(measurement, **values):
    values["load_average"] = os.getloadavg()[0]
    print(json.dumps({"measurement": measurement, **rounded(values)}), flush=True)


class MeasuredFleet(Fleet):
    """A fleet whose members in `relayed` are reached by the others through a counting relay."""

    def __init__(self, *arguments, relayed=(), **options):
        super().__init__(*arguments, **options)
        self.relayed = set(relayed)
        self.controls = {}

    def register(self, name, role, address, data_centre, state="live"):
        if name in self.relayed:
            port, self.controls[name] = free_port(), free_port()
            self.spawn("relay-" + name, [
                self.program("testing", "foxtailturn_relay"), f"--port={port}",
                f"--control_port={self.controls[name]}", f"--target=http://{address}"])
            address = f"127.0.0.1:{port}"
        super().register(name, role, address, data_centre, state)

    def pid(self, name):
        return self.processes[name].pid

    def relay_stats(self):
        return {name: call(port, "GET", "/stats").json() for name, port in self.controls.items()}

    def platform_counts(self):
        stats = self.stats("platform")
        counts = {"row_reads": stats["row_reads"], "row_writes": stats["row_writes"]}
        counts.update({"requests_" + name: n for name, n in stats["requests"].items()})
        return counts

    def platform_body(self, path):
        return call(self.ports["platform"], "GET", path).body

    def content_bytes(self):
        """Size of the rendered configuration in the object store."""
        name = json.loads(self.platform_body("/rows/config%2Fcurrent"))["object"]
        return len(self.platform_body("/objects/" + urllib.parse.quote(name, safe="")))

    def witness_counts(self):
        """How many lease rows name each process as a witness, the most named first."""
        rows = json.loads(self.platform_body("/rows?prefix=leases%2F"))
        rows = rows["rows"] if isinstance(rows, dict) else rows
        counts = collections.Counter(witness.rsplit("/", 1)[0].rsplit("#", 1)[0] for row in rows
                                     for witness in json.loads(row["value"])["witnesses"])
        return counts.most_common()

    def cpu(self, names):
        return {name: cpu_seconds(self.pid(name)) for name in names}

    def apply_free(self):
        """Applies the demo's configuration with rates that refuse nothing."""
        with open(DEMO, encoding="utf-8") as file:
            text = file.read()
        for old in ('"rate": 20000, "burst": 60000', '"rate": 5000, "burst": 20000'):
            text = text.replace(old, f'"rate": {FREE_RATE}, "burst": {2 * FREE_RATE}')
        path = os.path.join(self.folder.name, "free.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.apply(path)

    def run_load(self, port, *arguments):
        command = [self.program("testing", "foxtailturn_load"), f"--url=http://127.0.0.1:{port}",
                   "--json", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
        return json.loads(done.stdout)


def measure_idle(build, entries, agents):
    """One idle fleet: processor time, memory, bytes on the connections to one entry
    and to the first and last agent (both directions), table calls."""
    if 2 * agents + entries + 4 > MAX_PROCESSES:
        raise SystemExit(f"more than {MAX_PROCESSES} processes: {entries}x{agents}")
    with MeasuredFleet(build, entries, agents, 0, engine_flags=["--workers=16"],
                       log_level="warn",
                       relayed=("entry-1", "agent-engine-1", f"agent-engine-{agents}")) as fleet:
        fleet.apply(DEMO)
        fleet.wait_serving()
        time.sleep(SETTLE_SECONDS)
        names = fleet.daemons()
        start, begin = time.monotonic(), fleet.cpu(names)
        relays, counts = fleet.relay_stats(), fleet.platform_counts()
        time.sleep(IDLE_SECONDS)
        relays_end, counts_end = fleet.relay_stats(), fleet.platform_counts()
        seconds, end = time.monotonic() - start, fleet.cpu(names)
        values = {"entries": entries, "agents": agents}
        for role, prefix in (("entry", "entry-"), ("agent", "agent-")):
            of_role = [name for name in names if name.startswith(prefix)]
            values[role] = {
                "cores": mean((end[name] - begin[name]) / seconds for name in of_role),
                "rss_mb": mean(rss_mb(fleet.pid(name)) for name in of_role),
                "threads": mean(status_field(fleet.pid(name), "Threads") for name in of_role)}
        for name, stats in relays_end.items():
            moved = stats["forwarded_bytes"] - relays[name]["forwarded_bytes"]
            values["into_" + name] = {
                "bytes_per_second": moved / seconds, "connections": stats["open"]}
        values["platform_per_second"] = {
            name: (counts_end[name] - counts[name]) / seconds for name in counts}
        values["lease_scan_bytes"] = len(fleet.platform_body("/rows?prefix=leases%2F"))
        values["witness_of"] = fleet.witness_counts()
        values["members_bytes"] = len(fleet.platform_body("/members"))
        values["config_row_bytes"] = len(fleet.platform_body("/rows/config%2Fcurrent"))
        report("idle", **values)


def load_fleet(build, token_ms):
    return MeasuredFleet(
        build, 1, 1, 0, log_level="warn", target_settings={"max_running": 450},
        engine_flags=["--batch=450", f"--token_ms={token_ms}", "--first_token_ms=20"])


def measure_load(build, streams, token_ms):
    """Closed loop: processor time of a relayed token, and memory of an open stream."""
    with load_fleet(build, token_ms) as fleet:
        fleet.apply_free()
        fleet.wait_serving()
        names = ["entry-1", "agent-engine-1"]
        fleet.run_load(fleet.ports["entry-1"], f"--keys={KEY}", f"--models={MODEL}", "--requests=1",
                       "--streams=1")
        time.sleep(2)
        rss = {name: rss_mb(fleet.pid(name)) for name in names}
        idle_start, idle = time.monotonic(), fleet.cpu(names)
        time.sleep(3)
        begin, start = fleet.cpu(names), time.monotonic()
        idle_cores = {name: (begin[name] - idle[name]) / (start - idle_start) for name in names}
        open_rss = {}

        def sample():
            open_rss.update({name: rss_mb(fleet.pid(name)) for name in names})
        timer = threading.Timer(5, sample)
        timer.start()
        result = fleet.run_load(fleet.ports["entry-1"], f"--keys={KEY}", f"--models={MODEL}",
                                f"--streams={streams}", "--seconds=8", "--max_tokens=100")
        timer.join()
        end, seconds = fleet.cpu(names), time.monotonic() - start
        values = {"streams": streams, "token_ms": token_ms, "complete": result["complete"],
                  "requests": result["requests"], "refusals": result["refusals"],
                  "tokens_per_second": result["tokens_per_second"],
                  "between_tokens_ms": result["between_tokens_ms"]}
        for name, role in zip(names, ("entry", "agent")):
            used = end[name] - begin[name]
            extra = used - idle_cores[name] * seconds
            values[role] = {
                "cores": used / seconds, "idle_cores": idle_cores[name],
                "us_per_token": extra / max(1, result["tokens"]) * 1e6,
                "rss_idle_mb": rss[name], "rss_open_mb": open_rss[name],
                "kb_per_stream": (open_rss[name] - rss[name]) * 1024 / streams}
        report("load", **values)


def measure_first_token(build, rounds):
    """Open loop, 100 requests/s of 2 s each (200 open streams), direct and through by turns."""
    common = ["--streams=400", "--rate=100", "--seconds=8", "--max_tokens=100"]
    with load_fleet(build, 20) as fleet:
        fleet.apply_free()
        fleet.wait_serving()
        through = [f"--keys={KEY}", f"--models={MODEL}"]
        fleet.run_load(fleet.ports["entry-1"], *through, "--requests=1", "--streams=1")
        for _ in range(rounds):
            direct = fleet.run_load(fleet.ports["engine-1"], f"--models={DIRECT_MODEL}", *common)
            relayed = fleet.run_load(fleet.ports["entry-1"], *through, *common)
            added = {name: relayed["first_token_ms"][name] - direct["first_token_ms"][name]
                     for name in ("p50", "p99")}
            report("first_token", direct=direct["first_token_ms"],
                   through=relayed["first_token_ms"], added_ms=added,
                   complete=[direct["complete"], relayed["complete"]],
                   requests=[direct["requests"], relayed["requests"]],
                   late_starts=[direct["late_starts"], relayed["late_starts"]])


def configuration_of(adapters, folder):
    """The association's example for 3,000 adapters, else the demo with a longer range."""
    if adapters == 3000:
        return os.path.join(ROOT, "examples", "association.json")
    with open(DEMO, encoding="utf-8") as file:
        text = file.read().replace('"count": 20,', f'"count": {adapters - 10},')
    path = os.path.join(folder, f"adapters-{adapters}.json")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    return path


def measure_config(build, adapters):
    """Memory and processor time of a process that takes over a revision of so many adapters."""
    with MeasuredFleet(build, 1, 1, 0, log_level="warn") as fleet:
        names = ["entry-1", "agent-engine-1"]
        fleet.wait_until(lambda: all(fleet.state(name) for name in names), "processes answer")
        time.sleep(3)
        before = {name: rss_mb(fleet.pid(name)) for name in names}
        begin, idle_start = fleet.cpu(names), time.monotonic()
        time.sleep(3)
        start, first = time.monotonic(), fleet.cpu(names)
        fleet.apply(configuration_of(adapters, fleet.folder.name))
        applied = time.monotonic()
        fleet.wait_until(lambda: all(fleet.state(name)["revision"] >= 1 for name in names),
                         "revision in force")
        in_force = time.monotonic()
        time.sleep(1)
        seconds, end = time.monotonic() - start, fleet.cpu(names)
        values = {"adapters": adapters, "apply_seconds": applied - start,
                  "in_force_seconds": in_force - start,
                  "content_bytes": fleet.content_bytes()}
        for name, role in zip(names, ("entry", "agent")):
            idle = (first[name] - begin[name]) / (start - idle_start)
            values[role] = {
                "rss_before_mb": before[name], "rss_after_mb": rss_mb(fleet.pid(name)),
                "rss_peak_mb": status_field(fleet.pid(name), "VmHWM") / 1024,
                "cpu_seconds": end[name] - first[name] - idle * seconds}
        report("config", **values)


def numbers(text):
    return [int(part) for part in text.split(",")]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default="build")
    parser.add_argument("measurement", choices=["idle", "load", "first_token", "config"])
    parser.add_argument("--sizes", default="2x2,2x8,2x16,4x8,6x8", help="ENTRIESxAGENTS,...")
    parser.add_argument("--streams", type=numbers, default=[50, 200, 400])
    parser.add_argument("--token_ms", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--adapters", type=numbers, default=[30, 3000, 12000])
    options = parser.parse_args()
    if options.measurement == "idle":
        for size in options.sizes.split(","):
            measure_idle(options.build, *(int(part) for part in size.split("x")))
    elif options.measurement == "load":
        for streams in options.streams:
            measure_load(options.build, streams, options.token_ms)
    elif options.measurement == "first_token":
        measure_first_token(options.build, options.rounds)
    else:
        for adapters in options.adapters:
            measure_config(options.build, adapters)


if __name__ == "__main__":
    main()
