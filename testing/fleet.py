"""A small fleet of separate processes on loopback, for the demo and for process-level tests.

    with Fleet(build="build", entries=2, engines=2, services=1) as fleet:
        fleet.apply("examples/demo.json")
        fleet.wait_serving()
        answer = fleet.post(0, "/v1/chat/completions", body, key="demo-key-restorers")

All processes are children of this one and are ended by id. Only loopback addresses are used.
"""

import http.client
import json
import os
import pathlib
import socket
import subprocess
import tempfile
import time

from processes import Process, free_port

ADMIN_TOKEN = "loopback-admin-token"
DATA_CENTRES = ["dc-a", "dc-b", "dc-c"]


class FleetError(Exception):
    """A process did not start or did not become ready in time."""


class Answer:
    """An HTTP answer; json() is None when the body is no JSON."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    def error(self):
        document = self.json()
        return document.get("error", {}) if isinstance(document, dict) else {}


def call(port, method, path, body=None, headers=None, timeout=30):
    """One HTTP call on a connection of its own."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        all_headers = {"Content-Type": "application/json"} if data else {}
        all_headers.update(headers or {})
        connection.request(method, path, data, all_headers)
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()),
                      response.read().decode(errors="replace"))
    finally:
        connection.close()


def make_certificates(folder):
    """Makes a certificate authority and one certificate for 127.0.0.1; returns the settings."""
    def openssl(*arguments):
        subprocess.run(["openssl", *arguments], cwd=folder, check=True, capture_output=True)
    new_key = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes"]
    openssl("req", "-x509", *new_key, "-keyout", "ca.key", "-out", "ca.pem", "-subj", "/CN=test-ca",
            "-days", "2")
    openssl("req", *new_key, "-keyout", "node.key", "-out", "node.csr", "-subj", "/CN=node")
    with open(os.path.join(folder, "san.cnf"), "w", encoding="utf-8") as file:
        file.write("subjectAltName=IP:127.0.0.1\n")
    openssl("x509", "-req", "-in", "node.csr", "-CA", "ca.pem", "-CAkey", "ca.key",
            "-CAcreateserial", "-out", "node.pem", "-days", "2", "-extfile", "san.cnf")
    return {"certificate_file": os.path.join(folder, "node.pem"),
            "private_key_file": os.path.join(folder, "node.key"),
            "authorities_file": os.path.join(folder, "ca.pem")}


class Fleet:
    """Platform, targets, agents and entries. Ports are chosen free at the start."""

    def __init__(self, build, entries=2, engines=2, services=1, engine_flags=(), lease_ms=3000,
                 drain_grace_ms=300, slots=8, log_level="info", target_settings=None,
                 relay_agents=False, tls=False, daemon_settings=None, entry_settings=None):
        self.build = build
        self.folder = tempfile.TemporaryDirectory(prefix="foxtailturn-")
        self.engine_flags = list(engine_flags)
        self.lease_ms = lease_ms
        self.drain_grace_ms = drain_grace_ms
        self.slots = slots
        self.log_level = log_level
        self.target_settings = target_settings or {}
        self.daemon_settings = daemon_settings or {}  # of entries and agents
        self.entry_settings = entry_settings or {}
        self.relay_agents = relay_agents
        self.tls = make_certificates(self.folder.name) if tls else None
        self.processes = {}
        self.ports = {}
        self.admin_ports = {}
        self.entry_names = [f"entry-{i + 1}" for i in range(entries)]
        self.engine_names = [f"engine-{i + 1}" for i in range(engines)]
        self.service_names = [f"service-{i + 1}" for i in range(services)]

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, kind, error, trace):
        if kind is not None:
            self.print_logs()
        self.stop()

    def program(self, folder, name):
        return os.path.join(self.build, folder, name)

    def spawn(self, name, command):
        log_path = pathlib.Path(self.folder.name, name + ".log")
        self.processes[name] = Process(name, command, self.ports.get(name), log_path)
        return self.processes[name]

    def start(self):
        self.ports["platform"] = free_port()
        self.spawn("platform", [self.program("testing", "foxtailturn_platform_stub"),
                                f"--port={self.ports['platform']}"])
        self.wait_port(self.ports["platform"])
        for name in self.engine_names:
            self.start_engine(name)
        for name in self.service_names:
            self.ports[name] = free_port()
            self.spawn(name, [self.program("testing", "foxtailturn_service_stub"),
                              f"--port={self.ports[name]}"])
        for index, name in enumerate(self.engine_names):
            self.start_agent(name, index, "engine", "engines")
        for index, name in enumerate(self.service_names):
            self.start_agent(name, index, "service", "bookings")
        for index, name in enumerate(self.entry_names):
            self.start_entry(name, index)

    def start_engine(self, name):
        self.ports.setdefault(name, free_port())
        weights = f"http://127.0.0.1:{self.ports['platform']}"
        self.spawn(name, [self.program("testing", "foxtailturn_engine_stub"),
                          f"--port={self.ports[name]}", f"--slots={self.slots}",
                          f"--weights_url={weights}", *self.engine_flags])

    def common_settings(self, name, index):
        peer = self.ports.setdefault(name + ".peer", free_port())
        self.admin_ports.setdefault(name, free_port())
        return {
            "name": name, "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
            "peer_listen": f"127.0.0.1:{peer}",
            "admin_listen": f"127.0.0.1:{self.admin_ports[name]}", "admin_token": ADMIN_TOKEN,
            "platform": f"127.0.0.1:{self.ports['platform']}",
            **({"tls": self.tls} if self.tls else {"insecure": True}),
            "lease_ms": self.lease_ms, "drain_grace_ms": self.drain_grace_ms,
            "log_level": self.log_level, **self.daemon_settings,
        }

    def start_daemon(self, settings):
        name = settings["name"]
        path = os.path.join(self.folder.name, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        address = settings["peer_listen"]
        if self.relay_agents and settings["role"] == "agent":
            address = self.start_relay(name, address)
        self.register(name, settings["role"], address, settings["data_centre"])
        self.spawn(name, [self.program("packages/daemon", "foxtailturnd"), f"--settings={path}"])

    def start_relay(self, name, address):
        """Starts a relay before an agent, once, and returns the relay's address."""
        relay = "relay-" + name
        if relay not in self.processes:
            self.ports[relay] = free_port()
            self.ports[relay + ".control"] = free_port()
            self.spawn(relay, [self.program("testing", "foxtailturn_relay"),
                               f"--target=http://{address}", f"--port={self.ports[relay]}",
                               f"--control_port={self.ports[relay + '.control']}"])
            self.wait_port(self.ports[relay + ".control"])
        return f"127.0.0.1:{self.ports[relay]}"

    def set_relays(self, mode):
        """Sets the mode of all relays; see testing/stub_lib/tcp_relay.h."""
        for name in list(self.processes):
            if name.startswith("relay-"):
                call(self.ports[name + ".control"], "POST", "/mode", {"mode": mode})

    def start_agent(self, target, index, kind, group):
        settings = self.common_settings("agent-" + target, index)
        settings["role"] = "agent"
        settings["target"] = {
            "name": target, "group": group, "kind": kind,
            "address": f"127.0.0.1:{self.ports[target]}", "slots": self.slots,
            **self.target_settings,
        }
        self.start_daemon(settings)

    def start_entry(self, name, index):
        settings = self.common_settings(name, index)
        settings["role"] = "entry"
        settings.update(self.entry_settings)
        settings["listen"] = f"127.0.0.1:{self.ports.setdefault(name, free_port())}"
        self.start_daemon(settings)

    def register(self, name, role, address, data_centre, state="live"):
        member = {"name": name, "role": role, "address": address, "data_centre": data_centre,
                  "state": state}
        answer = call(self.ports["platform"], "PUT", "/members/" + name, member)
        if answer.status not in (200, 201, 204):
            raise FleetError(f"membership of {name}: {answer.status} {answer.body}")

    def ctl(self, *arguments, check=True):
        command = [self.program("packages/ctl", "foxtailturnctl"),
                   f"--platform=127.0.0.1:{self.ports['platform']}",
                   f"--admin_token={ADMIN_TOKEN}", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if check and done.returncode != 0:
            raise FleetError(f"{' '.join(arguments)}: {done.stdout}{done.stderr}")
        return done

    def apply(self, path):
        return self.ctl("apply", path)

    def state(self, name):
        answer = call(self.admin_ports[name], "GET", "/state",
                      headers={"x-admin-token": ADMIN_TOKEN}, timeout=5)
        return answer.json() or {}

    def daemons(self):
        return [name for name in self.processes if name in self.admin_ports]

    def wait_until(self, condition, what, timeout=30):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, ValueError, KeyError):
                pass
            time.sleep(0.05)
        raise FleetError(f"not in {timeout} s: {what}")

    def wait_port(self, port):
        def answers():
            with socket.create_connection(("127.0.0.1", port), timeout=1):
                return True
        self.wait_until(answers, f"port {port} accepts connections", 15)

    def wait_serving(self, revision=1, timeout=30):
        """Waits until each entry holds the revision, its shares and all live targets."""
        targets = len(self.engine_names) + len(self.service_names)

        def ready():
            for name in self.entry_names:
                state = self.state(name)
                live = sum(1 for target in state["targets"] if target["live"])
                if state["revision"] < revision or live < targets:
                    return False
                if call(self.admin_ports[name], "GET", "/readyz", timeout=5).status != 200:
                    return False
            agents = [self.state("agent-" + name) for name in self.engine_names]
            return all(agent["target"]["fencing_number"] > 0 for agent in agents)
        self.wait_until(ready, "all entries serve", timeout)

    def post(self, entry, path, body, key=None, headers=None, timeout=30):
        all_headers = dict(headers or {})
        if key:
            all_headers["Authorization"] = "Bearer " + key
        return call(self.ports[self.entry_names[entry]], "POST", path, body, all_headers, timeout)

    def chat(self, entry, model, prompt="hello", key="demo-key-restorers", stream=False,
             max_tokens=8, timeout=30):
        body = {"model": model, "stream": stream, "max_tokens": max_tokens,
                "messages": [{"role": "user", "content": prompt}]}
        return self.post(entry, "/v1/chat/completions", body, key, timeout=timeout)

    def stats(self, target):
        return call(self.ports[target], "GET", "/stats").json()

    def print_logs(self):
        for name, process in self.processes.items():
            print(f"--- log of {name}\n{process.log()}")

    def stop(self):
        for process in self.processes.values():
            if process.is_running():
                process.resume()
                process.terminate()
        for process in self.processes.values():
            process.stop()
        self.folder.cleanup()
