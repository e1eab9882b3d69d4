"""Starts entries and sidecars as the deploy file does, on loopback addresses.

    with Deployment(store_address) as deployment:
        entry = deployment.start_entry(1)
        deployment.start_sidecar(1, engine_address)
        entry.kill(); entry.start()

Settings have the fields of platform/settings.json.in. All processes are ended by their ids.
"""

import json
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/build/fleet/foxtailturnd"  # `run` of deploy/system.toml


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Process:
    def __init__(self, name, settings, folder):
        self.name, self.settings = name, settings
        self._file = folder / f"{name}.json"
        self._file.write_text(json.dumps(settings))
        self._log = folder / f"{name}.log"
        self._popen = None
        self.start()

    def start(self):
        with open(self._log, "ab") as log:
            self._popen = subprocess.Popen(
                [str(PROGRAM)], stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                cwd=ROOT, env={"FOXTAILTURN_NODE_FILE": str(self._file), "PATH": "/usr/bin:/bin",
                               "HOME": "/tmp", "LANG": "C.UTF-8"})

    def send_signal(self, number):
        self._popen.send_signal(number)

    def kill(self):
        """SIGKILL, as the platform's node_kill and kill_all."""
        self._popen.kill()
        self._popen.wait()

    def terminate(self):
        self._popen.send_signal(signal.SIGTERM)

    def is_running(self):
        return self._popen.poll() is None

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self._popen.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / 100

    def log_text(self):
        return self._log.read_text(errors="replace")

    def end(self):
        if self.is_running():
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait()


def _end(number, frame):
    sys.exit(2)


# A run that is ended early still ends what it started.
signal.signal(signal.SIGTERM, _end)


class Deployment:
    """bounds: drain_ms, contact_ms, grace_s and quota_slack of the site."""

    def __init__(self, store_address, bounds):
        self.store_address, self.bounds = store_address, bounds
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.peer_port = free_port()
        self.metrics_port = free_port()
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for process in self.processes:
            process.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _start(self, name, settings):
        process = Process(name, {
            "name": name, "data_centre": "be-central-a", "peer_port": self.peer_port,
            "metrics_port": self.metrics_port, "store_address": self.store_address,
            "quota_tolerance": self.bounds["quota_slack"],
            "store_silence_limit_ms": self.bounds["contact_ms"], "processor_share": 0.19,
            "drain_notice_ms": self.bounds["drain_ms"], "stop_grace_s": self.bounds["grace_s"],
            **settings}, self.folder)
        self.processes.append(process)
        return process

    def start_entry(self, number):
        ip = f"127.0.3.{number}"
        port, ready = free_port(), free_port()
        entry = self._start(f"entry-{number}", {
            "role": "entry", "ip": ip, "caller_address": f"{ip}:{port}",
            "ready_address": f"{ip}:{ready}"})
        entry.ip, entry.port, entry.ready_port = ip, port, ready
        return entry

    def start_sidecar(self, number, engine_address):
        return self._start(f"sidecar-{number}", {
            "role": "sidecar", "ip": engine_address.rpartition(":")[0],
            "engine_address": engine_address})
