"""Starts, watches and stops the processes of a fault test.

    with ProcessGroup("build") as group:
        platform = group.start_stub("platform", "testing/foxtailturn_platform_stub")
        engine = group.start_stub("engine", "testing/foxtailturn_engine_stub",
                                  f"--weights_url={platform.url}")
        engine.pause()
        engine.resume()
        status, body = get_json(engine.url + "/stats")

Processes listen on free loopback ports and are stopped by their id when the group ends: TERM, then
KILL after STOP_SECONDS. Output goes to one file per process, whose end is shown on failure.
Python's standard library only.
"""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

HOST = "127.0.0.1"
READY_SECONDS = 20.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.02
LOG_TAIL_BYTES = 2000


class ProcessError(Exception):
    """A process did not start, become ready or stop as asked."""


def free_port():
    """Returns a port that was free a moment ago. Never returns the same port twice."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _given_ports:
            _given_ports.add(port)
            return port


_given_ports = set()


def request(method, url, body=None, headers=None, timeout=10.0):
    """Sends one HTTP request. Returns (status, body as bytes). Raises OSError without an answer."""
    parts = urllib.parse.urlsplit(url)
    target = parts.path or "/"
    if parts.query:
        target += "?" + parts.query
    connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as error:
        raise ConnectionError(f"{method} {url}: {error!r}") from error
    finally:
        connection.close()


def get_json(url, timeout=10.0):
    """Returns (status, parsed JSON body) of a GET."""
    status, body = request("GET", url, timeout=timeout)
    return status, json.loads(body)


def post_json(url, value, headers=None, timeout=10.0):
    """Posts a value as JSON. Returns (status, body as bytes)."""
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    return request("POST", url, json.dumps(value), all_headers, timeout)


def wait_until(condition, seconds, what):
    """Returns the first true value of condition(). Raises ProcessError after the given time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise ProcessError(f"{what}: not within {seconds} s")


class Process:
    """One started process. Made by ProcessGroup."""

    def __init__(self, name, command, port, log_path):
        self.name = name
        self.command = command
        self.port = port
        self.url = f"http://{HOST}:{port}" if port else None
        self.log_path = log_path
        self._paused = False
        self._popen = self._spawn()

    def _spawn(self):
        with open(self.log_path, "ab") as log:
            return subprocess.Popen(self.command, stdout=log, stderr=subprocess.STDOUT,
                                    stdin=subprocess.DEVNULL)

    def restart(self):
        """Starts the same command again, as a new process. Precondition: it has ended."""
        self._popen = self._spawn()

    @property
    def pid(self):
        return self._popen.pid

    def is_running(self):
        return self._popen.poll() is None

    def log(self):
        """Returns the end of the output."""
        return self.log_path.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")

    def wait_ready(self, path="/health", port=None, seconds=READY_SECONDS):
        """Waits until GET path answers 200 on the given port (default: the process's own)."""
        url = f"http://{HOST}:{port or self.port}{path}"

        def is_ready():
            if not self.is_running():
                raise ProcessError(f"{self.name} ended with {self._popen.returncode}:\n{self.log()}")
            try:
                return request("GET", url, timeout=1.0)[0] == 200
            except OSError:
                return False

        try:
            wait_until(is_ready, seconds, f"{self.name} ready")
        except ProcessError as error:
            raise ProcessError(f"{error}\n{self.log()}") from error

    def pause(self):
        """Stops the process's execution (SIGSTOP); returns when it has stopped."""
        os.kill(self.pid, signal.SIGSTOP)
        self._paused = True
        wait_until(lambda: self._state() == "T", STOP_SECONDS, f"{self.name} paused")

    def resume(self):
        os.kill(self.pid, signal.SIGCONT)
        self._paused = False

    def kill(self):
        """Ends the process at once (SIGKILL), as when its VM is lost. Returns the exit code."""
        self._popen.send_signal(signal.SIGKILL)
        return self._popen.wait(STOP_SECONDS)

    def terminate(self):
        """Sends SIGTERM and returns at once; wait_exit() gives the exit code."""
        self._popen.send_signal(signal.SIGTERM)  # which allows for one that has ended

    def wait_exit(self, seconds=STOP_SECONDS):
        """Returns the exit code (negative: signal). Raises ProcessError if it still runs."""
        try:
            return self._popen.wait(seconds)
        except subprocess.TimeoutExpired:
            raise ProcessError(f"{self.name} still runs after {seconds} s") from None

    def stop(self):
        """Ends the process by TERM, then by KILL. Returns the exit code."""
        if self._paused and self.is_running():
            self.resume()
        self.terminate()
        try:
            return self.wait_exit()
        except ProcessError:
            return self.kill()

    def _state(self):
        # The state is the field after the program's name in parentheses.
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        return stat.rsplit(")", 1)[1].split()[0]


class ProcessGroup:
    """The processes of one test; ends them, last started first, when the with block ends."""

    def __init__(self, build):
        self.build = pathlib.Path(build).resolve()
        self.folder = None
        self._temporary = None
        self._processes = []

    def __enter__(self):
        self._temporary = tempfile.TemporaryDirectory(prefix="foxtailturn-")
        self.folder = pathlib.Path(self._temporary.name)
        return self

    def __exit__(self, kind, error, trace):
        if error is not None:
            self._print_logs()
        for process in reversed(self._processes):
            process.stop()
        self._temporary.cleanup()

    def start(self, name, program, *arguments, port=None):
        """Starts build/program without waiting for it. port is kept as the process's port."""
        log_path = self.folder / f"{len(self._processes)}-{name}.log"
        command = [str(self.build / program), *map(str, arguments)]
        process = Process(name, command, port, log_path)
        self._processes.append(process)
        return process

    def start_stub(self, name, program, *arguments, port=None):
        """Starts a stand-in on the given or a free port and waits until it is ready."""
        port = port or free_port()
        process = self.start(name, program, f"--port={port}", *arguments, port=port)
        process.wait_ready()
        return process

    def start_relay(self, name, target_port):
        """Starts a relay to a port. The process's url is the relay's; control_url switches it."""
        port, control = free_port(), free_port()
        relay = self.start(name, "testing/foxtailturn_relay", f"--port={port}",
                           f"--control_port={control}", f"--target=http://{HOST}:{target_port}",
                           port=port)
        relay.control_url = f"http://{HOST}:{control}"
        relay.wait_ready(port=control)
        return relay

    def write_file(self, name, text):
        """Writes a file, for example settings, into the test's folder. Returns its path."""
        path = self.folder / name
        path.write_text(text)
        return path

    def run_load(self, url, *arguments, seconds=120.0):
        """Runs foxtailturn_load to its end. Returns its report."""
        command = [str(self.build / "testing/foxtailturn_load"), f"--url={url}", "--json",
                   *map(str, arguments)]
        run = subprocess.run(command, capture_output=True, text=True, timeout=seconds, check=False)
        if run.returncode not in (0, 1):
            raise ProcessError(f"load failed with {run.returncode}: {run.stderr}")
        return json.loads(run.stdout)

    def _print_logs(self):
        for process in self._processes:
            print(f"--- {process.name} (pid {process.pid})\n{process.log()}", flush=True)
