"""Starts the daemon and the stand-ins as separate processes on loopback.

Every process gets free ports and is ended by its process id. This module contains
no load-balancing logic: it only starts, stops and queries processes.
"""

import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from pathlib import Path

from ports import free_port

ROOT = Path(__file__).resolve().parents[2]
BIN = Path(os.environ.get("CARDAMOMDECK_BIN", ROOT / "build" / "bin"))
READY_SECONDS = 15


class Answer:
    """An HTTP response; status 0 stands for a failed connection."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def outcome(self):
        return self.headers.get("x-outcome", "")


def ask(address, method, path, body=None, headers=None, timeout=10.0):
    """Sends one request on a new connection; an error gives status 0 and its text as the body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        header_fields = {key.lower(): value for key, value in response.getheaders()}
        return Answer(response.status, header_fields, response.read())
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {}, str(error).encode())
    finally:
        connection.close()


def wait_until(condition, seconds=READY_SECONDS, what="condition", reporter=None):
    """Polls until the condition holds and returns its value; fails the test after the given time.

    The failure message contains the end of the log of @p reporter.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    report = f"; exit code {reporter.child.poll()}, log:\n{reporter.log()[-8000:]}" if reporter else ""
    raise AssertionError(f"not reached within {seconds} s: {what}{report}")


class Process:
    """A process started by the test; its output goes to a log file."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self.log_path = Path(directory) / f"{name}.log"
        self._log = open(self.log_path, "ab")
        self._arguments = [str(item) for item in arguments]
        self.child = subprocess.Popen(self._arguments, stdout=self._log, stderr=self._log)

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL)
        self.child.wait(timeout=READY_SECONDS)

    def end(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.send_signal(signal.SIGKILL)
        self.child.wait(timeout=READY_SECONDS)
        self._log.close()

    def log(self):
        return self.log_path.read_text(errors="replace")

    def peak_memory_mb(self):
        status = Path(f"/proc/{self.child.pid}/status").read_text()
        return int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]) / 1024


class Backend(Process):
    """A backend server stand-in."""

    def __init__(self, name, directory, slots=2, service_ms=1.0, zone="zone-a", port=None, extra=()):
        self.address = f"127.0.0.1:{port or free_port()}"
        self.zone = zone
        super().__init__(
            name,
            [BIN / "backendstandin", f"--name={name}", f"--listen={self.address}", f"--slots={slots}",
             f"--service_ms={service_ms}", *extra],
            directory,
        )

    def control(self, **values):
        return ask(self.address, "POST", "/control", json.dumps(values)).json

    def counts(self):
        return ask(self.address, "GET", "/counts").json


class Entry(Process):
    """An entry daemon."""

    def __init__(self, name, directory, log_address, zone="zone-a", seeds=(), vm_list="", extra=()):
        self.zone = zone
        self.traffic = f"127.0.0.1:{free_port()}"
        self.api = f"127.0.0.1:{free_port()}"
        self.peer = f"127.0.0.1:{free_port()}"
        self._settings = [
            BIN / "cardamomdeckd", f"--name={name}", f"--zone={zone}", f"--traffic_address={self.traffic}",
            f"--api_address={self.api}", f"--peer_address={self.peer}", f"--log_service={log_address}",
            f"--seeds={','.join(seeds)}", f"--vm_list={vm_list}", *extra,
        ]
        super().__init__(name, self._settings, directory)

    def status(self):
        answer = ask(self.api, "GET", "/v1/status", timeout=3)
        return answer.json if answer.status == 200 else {}

    def resource(self, kind, name):
        answer = ask(self.api, "GET", f"/v1/{kind}/{name}")
        return answer.json if answer.status == 200 else {}

    def condition(self, kind, name, type_name):
        """Returns the condition of type @p type_name of a resource, or an empty dict."""
        for item in self.resource(kind, name).get("status", {}).get("conditions", []):
            if item["type"] == type_name:
                return item
        return {}

    def put(self, kind, name, spec, version=None, change_id=None):
        headers = {}
        if version is not None:
            headers["If-Match"] = str(version)
        if change_id:
            headers["x-change-id"] = change_id
        return ask(self.api, "PUT", f"/v1/{kind}/{name}", json.dumps(spec), headers, timeout=15)


class Fleet:
    """A log service, entries and backend servers; ends all of them."""

    def __init__(self):
        self._directory = tempfile.TemporaryDirectory()
        self.directory = self._directory.name
        self.processes = []
        self.log_addresses = []
        self.entries = {}
        self.backends = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.end()
        self._directory.cleanup()

    def start_log(self, ports=1):
        """Starts the log stand-in with several ports, each of which can be made unavailable separately."""
        self.log_addresses = [f"127.0.0.1:{free_port()}" for _ in range(ports)]
        process = Process("log", [BIN / "logstandin", f"--listen={','.join(self.log_addresses)}"], self.directory)
        self.processes.append(process)
        wait_until(lambda: self.log_control(0), what="log service")
        return process

    def log_control(self, port, **values):
        answer = ask(self.log_addresses[port], "POST", "/control", json.dumps(values))
        return answer.json if answer.status == 200 else None

    def all_logs(self, **values):
        for port in range(len(self.log_addresses)):
            self.log_control(port, **values)

    def start_backend(self, name, **options):
        backend = Backend(name, self.directory, **options)
        self.processes.append(backend)
        self.backends[name] = backend
        wait_until(lambda: ask(backend.address, "GET", "/counts").status == 200, what=name)
        return backend

    def start_entry(self, name, port=0, wait=True, **options):
        seeds = [entry.peer for entry in self.entries.values()]
        entry = Entry(name, self.directory, self.log_addresses[port], seeds=seeds, **options)
        self.processes.append(entry)
        self.entries[name] = entry
        if wait:
            wait_until(lambda: entry.status().get("member"), what=f"{name} is a member", reporter=entry)
        return entry

    def define_service(self, entry, name, backends, **spec):
        """Creates a service, its backend servers and a rule for /NAME through the resource API.

        Returns the configuration version of the last change.
        """
        results = [entry.put("services", name, spec)]
        for backend in backends:
            body = {"service": name, "address": backend.address, "zone": backend.zone}
            results.append(entry.put("backends", backend.name, body))
        results.append(entry.put("rules", name, {"path_prefix": f"/{name}", "service": name}))
        for result in results:
            assert result.status == 200, result.body
        return results[-1].json["version"]


class Caller(threading.Thread):
    """Sends requests, by default non-idempotent ones, one after another and records the responses."""

    def __init__(self, addresses, path, prefix, method="POST", pause=0.0):
        super().__init__(daemon=True)
        self._addresses = addresses
        self._path = path
        self._prefix = prefix
        self._method = method
        self._pause = pause
        self._stop_event = threading.Event()
        self.answers = {}
        self.wrong = []

    def run(self):
        number = 0
        while not self._stop_event.is_set():
            request_id = f"{self._prefix}-{number}"
            address = self._addresses[number % len(self._addresses)]
            answer = ask(address, self._method, self._path, b"x" * 32, {"x-request-id": request_id})
            self.answers[request_id] = answer
            if answer.status == 200 and answer.json["id"] != request_id:
                self.wrong.append(request_id)
            number += 1
            if self._pause:
                time.sleep(self._pause)

    def finish(self):
        self._stop_event.set()
        self.join(timeout=30)
        return self.answers


class RawBackend(threading.Thread):
    """A backend server that sends arbitrary bytes.

    The script maps a request head to (reply bytes, whether the connection is closed after them).
    """

    def __init__(self, name, script, zone="zone-a"):
        super().__init__(daemon=True)
        self.name = name
        self.zone = zone
        self.requests = []
        self.closed_by_peer = 0
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.start()

    def run(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def stop(self):
        self._listener.close()

    def _serve(self, connection):
        with connection:
            self._serve_requests(connection)

    def _serve_requests(self, connection):
        data = b""
        while True:
            try:
                received = connection.recv(65536)
            except OSError:
                return
            if not received:
                self.closed_by_peer += 1
                return
            data += received
            while b"\r\n\r\n" in data:
                head, rest = data.split(b"\r\n\r\n", 1)
                lengths = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
                length = int(lengths[0].split(b":")[1]) if lengths else 0
                if len(rest) < length:
                    break
                data = rest[length:]
                self.requests.append(head.decode())
                reply, close = self._script(head.decode())
                try:
                    connection.sendall(reply)
                except OSError:
                    return
                if close:
                    return


class Relay(threading.Thread):
    """Forwards TCP to a target; can stop forwarding on open connections without closing them."""

    def __init__(self, target, zone="zone-a", name="relay"):
        super().__init__(daemon=True)
        self.name = name
        self.zone = zone
        self.accepted = 0
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._silent = set()
        self._open = set()
        self._cut = False
        self.start()

    def run(self):
        while True:
            try:
                client_socket, _ = self._listener.accept()
            except OSError:
                return
            if self._cut:
                client_socket.close()
                continue
            self.accepted += 1
            host, port = self._target.rsplit(":", 1)
            try:
                target_socket = socket.create_connection((host, int(port)))
            except OSError:
                client_socket.close()
                continue
            pair = (client_socket, target_socket)
            self._open.add(pair)
            threading.Thread(target=self._copy, args=(pair, client_socket, target_socket), daemon=True).start()
            threading.Thread(target=self._copy, args=(pair, target_socket, client_socket), daemon=True).start()

    def silence(self):
        """Discards all further data of the open connections; new connections work."""
        self._silent |= self._open

    def cut(self, value=True):
        """Silences all connections and closes new ones; False lets new connections through again."""
        self._cut = value
        if value:
            self.silence()

    def _copy(self, pair, source, destination):
        while True:
            try:
                data = source.recv(65536)
                if pair in self._silent:
                    if not data:
                        return
                    continue
                if not data:
                    destination.shutdown(socket.SHUT_WR)
                    return
                destination.sendall(data)
            except OSError:
                return


def reset(connection):
    """Closes a socket with a reset instead of a regular end."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def raw_exchange(address, data, timeout=5.0):
    """Sends raw bytes and returns everything received until the connection ends or the timeout expires."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=timeout) as connection:
        connection.sendall(data)
        received = b""
        while True:
            try:
                chunk = connection.recv(65536)
            except OSError:
                return received
            if not chunk:
                return received
            received += chunk


def http_reply(body=b"ok", status=200, headers=()):
    """Returns a complete HTTP response with a Content-Length header."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
