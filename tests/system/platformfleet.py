"""A fleet on the users' platform: entries with a settings file, the store, and backend servers registered in it."""

import json
import socket
import struct
import time
from pathlib import Path

from fleet import BIN, Backend, Process, ask, wait_until
from ports import free_port

HOST = "mill.example"


def record(key, value):
    key = key if isinstance(key, bytes) else key.encode()
    content = bytes([len(key)]) + key + value
    return struct.pack(">I", len(content)) + content


class Store(Process):
    def __init__(self, directory):
        self.address = f"127.0.0.1:{free_port()}"
        super().__init__("store", [BIN / "logstandin", f"--listen={self.address}"], directory)
        wait_until(lambda: ask(self.address, "POST", "/control", "{}").status == 200, what="the store responds")

    def control(self, **values):
        return ask(self.address, "POST", "/control", json.dumps(values)).json

    def write(self, topic, key, value):
        body = record(key, value if isinstance(value, bytes) else json.dumps(value).encode())
        assert ask(self.address, "POST", f"/v1/log-append?topic={topic}&part=0", body).status == 200

    def write_all(self, topic, values):
        body = b"".join(record(key, json.dumps(value).encode()) for key, value in values.items())
        assert ask(self.address, "POST", f"/v1/log-append?topic={topic}&part=0", body).status == 200

    def keys(self, topic):
        answer = ask(self.address, "GET", f"/v1/log-newest?topic={topic}&part=0")
        return [item["key"] for item in answer.json["items"]] if answer.status == 200 else []

    def put_config(self, version, routes, tenants=None, services=None, **limits):
        self.write("keyed.op", "config", ({} if tenants is None else {"tenants": tenants}) | {
            "config_version": f"{version:08x}",
            "routes": routes,
            "services": {"lots": {"health_path": "/health", "max_conns": 220},
                         "desk": {"health_path": "/health", "max_conns": 220}} | (services or {}),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_s": 1,
                       "idle_timeout_s": 15} | limits})


def route(prefix, service="lots", kind="safe", timeout=2.0, **more):
    return {"host": HOST, "path_prefix": prefix, "kind": kind, "timeout_s": timeout, "target_latency_s": 0.3,
            "priority": 1, "service": service, "max_attempts": 2} | more


def backend_report(address, service, zone="zone-a", sequence=1, state="ready", born=None, capacity=2):
    return {"address": address, "born": born or int(time.time() * 1000),
            "info": {"service": service, "config_version": "v1", "zone": zone, "capacity": capacity},
            "status": {"state": state, "sequence": sequence, "warmup_left_s": 0}}


class PlatformBackend(Backend):
    """A backend server registered in the store."""

    def __init__(self, store, name, directory, service="lots", **values):
        super().__init__(name, directory, **values)
        self.service, self.store, self.sequence, self.born = service, store, 0, int(time.time() * 1000)

    def report(self, state="ready"):
        self.sequence += 1
        self.store.write("keyed.servers", self.name, backend_report(
            self.address, self.service, self.zone, self.sequence, state, self.born))

    def remove(self):
        self.store.write("keyed.servers", self.name, b"")


class PlatformEntry(Process):
    """An entry; all entries of a fleet use the same ports, so each has its own loopback address."""

    def __init__(self, name, directory, store, host, ports, seeds=(), zone="zone-a", more_settings="", flags=()):
        self.memory_mb = 160
        self.host = host
        self.traffic, self.readiness, self.resolver, self.api = (f"{host}:{port}" for port in ports[:4])
        self.settings_path = Path(directory) / f"{name}.toml"
        self.settings_path.write_text(f"""
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
region = "region"
internal_ports = [{ports[4]}, {ports[4] + 1}]
seeds = [{", ".join(f'"{seed}:1"' for seed in seeds)}]
parameters = ["grace_s=3", "retry_ratio=0.2", "retry_slack=58", "retry_window_s=10", "probes_per_s=60", "ttl_max_s=5"]
[listen]
frontend = "{self.traffic}"
readiness = "{self.readiness}"
registry = "{self.resolver}"
control = "{self.api}"
[limits]
cpu_share = 1.0
memory_mb = {self.memory_mb}
max_fds = 4100
link_mbps = 1000.0
[platform]
address = "{store.address}"
{more_settings}
""")
        super().__init__(name, [BIN / "cardamomdeckd", f"--settings={self.settings_path}", *flags], directory)

    def ready(self):
        return ask(self.readiness, "GET", "/v1/ready", timeout=1).status == 200

    def addresses(self, zone="zone-a"):
        answer = ask(self.resolver, "GET", f"/v1/resolve?name={HOST}&region=region&zone={zone}")
        return answer.json.get("addresses", []) if answer.status == 200 else []

    def send(self, path, method="GET", body=None, attempt="a1", deadline_ms=2000, **headers):
        return ask(self.traffic, method, path, body, {"Host": HOST, "Attempt-Id": attempt,
                                                      "Deadline-Ms": str(deadline_ms)} | headers)

    def connect(self):
        """Returns a plain socket, for callers that send invalid HTTP or stall."""
        host, port = self.traffic.rsplit(":", 1)
        return socket.create_connection((host, int(port)), timeout=5)

    def lines(self, event, **fields):
        parts = [f"event={event} "] + [f"{key}={value}" for key, value in fields.items()]
        return [line for line in self.log().splitlines() if all(part in line for part in parts)]


class PlatformFleet:
    """Entries, backend servers and the store; ends all of them."""

    def __init__(self, directory, entries=2, seeds=("127.0.1.1",), more_settings=""):
        self.directory, self.seeds, self.more_settings = directory, seeds, more_settings
        self.store = Store(directory)
        # Fleets that run in parallel use the same addresses, so they need different ports. The last of the five ports
        # is the lower one of the two internal ports.
        first_port = free_port("127.0.1.1", count=6)
        self.ports = list(range(first_port, first_port + 5))
        self.backends = {}
        self.entries = []
        for number in range(entries):
            self.start_entry(number)

    def start_entry(self, number):
        for previous in self.entries[number:number + 1]:
            previous.end()
        entry = PlatformEntry(f"entry-{number}", self.directory, self.store, f"127.0.1.{number + 1}", self.ports,
                              seeds=self.seeds, more_settings=self.more_settings)
        self.entries[number:number + 1] = [entry]
        return entry

    def add_backend(self, name, service="lots", **values):
        backend = PlatformBackend(self.store, name, self.directory, service, **values)
        self.backends[name] = backend
        wait_until(lambda: ask(backend.address, "GET", "/health").status == 200, what=f"{name} responds")
        backend.report()
        return backend

    def wait_until_serving(self, path="/lots/x"):
        for entry in self.entries:
            wait_until(lambda: entry.send(path).status == 200, what=f"{entry.name} serves", reporter=entry)

    def end(self):
        for process in [*self.entries, *self.backends.values(), self.store]:
            process.end()
