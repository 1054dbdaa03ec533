"""Responses that are not valid HTTP, or that break off during an upload, are neither delivered nor trusted."""

import json
import socket
import subprocess
import tempfile
import time
import unittest
from pathlib import Path

from fleet import BIN, Fleet, Relay, ask, http_reply, reset, wait_until
from fleet import RawBackend as ScriptedServer
from platformfleet import HOST, PlatformFleet, route
from rawbackend import RawBackend

# More than the socket buffers hold, so that the upload is still being written when the server responds.
UPLOAD = b"x" * 7_000_000
EXIT_NO_RESPONSE = 5


def with_status(status):
    return lambda reply: reply[:9] + status + reply[12:]


def with_line(line):
    """Adds a valid line and then @p line at the end of the header."""
    return lambda reply: reply.replace(b"\r\n\r\n", b"\r\nX-First: 1\r\n" + line + b"\r\n\r\n", 1)


MALFORMED = {
    "status 000": with_status(b"000"),
    "status 099": with_status(b"099"),
    "status 600": with_status(b"600"),
    "blank at the start of a name": with_line(b" X-Note: 1"),
    "tab at the start of a name": with_line(b"\tX-Note: 1"),
    "blank in a name": with_line(b"X Note: 1"),
    "blank at the end of a name": with_line(b"X-Note : 1"),
    "NUL in a name": with_line(b"X-\0Note: 1"),
    "control byte in a name": with_line(b"X-\x01Note: 1"),
    "DEL in a name": with_line(b"X-Note\x7f: 1"),
}

# One of each kind, for clients that read rarely.
SAMPLES = {name: MALFORMED[name] for name in ("status 000", "blank at the start of a name", "NUL in a name")}


class MalformingRelay(Relay):
    """Forwards TCP and changes the header of each response."""

    malform = staticmethod(lambda reply: reply)

    def _copy(self, pair, source, destination):
        from_target = source is pair[1]
        while True:
            try:
                data = source.recv(65536)
                if not data:
                    destination.shutdown(socket.SHUT_WR)
                    return
                is_response = from_target and data.startswith(b"HTTP/1.1 ")
                destination.sendall(self.malform(data) if is_response else data)
            except OSError:
                return


class EarlyServer(ScriptedServer):
    """Responds to each upload before it has read the body, and resets the connection while the client still sends."""

    def __init__(self, name, response):
        self.response = response
        super().__init__(name, lambda head: (http_reply(), False))

    def _serve(self, connection):
        head = connection.recv(4096)
        if not head.startswith((b"POST", b"PUT")):
            connection.sendall(http_reply())
            connection.close()
            return
        connection.sendall(self.response)
        time.sleep(0.05)
        reset(connection)


class OnThePlatform(unittest.TestCase):
    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=1)
        self.addCleanup(self.fleet.end)
        self.store, self.entry = self.fleet.store, self.fleet.entries[0]

    def serve(self, **modes):
        """Starts a server of each name and mode, and routes for requests that may run several times or once."""
        self.servers = {name: RawBackend(self.store, name, mode=mode) for name, mode in modes.items()}
        for server in self.servers.values():
            self.addCleanup(server.end)
        # A server of another service shows that the entry serves without a request to those under test.
        RawBackend(self.store, "desk-1", service="desk")
        self.store.put_config(5, {"lots": route("/lots/"), "weigh": route("/weigh/", kind="unsafe"),
                                  "desk": route("/desk/", "desk")}, max_body_bytes=8_000_000)
        self.fleet.wait_until_serving("/desk/x")

    def send(self, path, method="GET", attempt="a1", body=b""):
        """Returns status line and body as the caller receives them until the end of the connection."""
        with self.entry.connect() as caller:
            caller.sendall(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 2000\r\n"
                           f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            received = b""
            while data := caller.recv(65536):
                received += data
        head, _, content = received.partition(b"\r\n\r\n")
        return head.split(b"\r\n")[0].decode(), content

    def test_malformed_response_is_never_delivered(self):
        self.serve(broken="malformed")
        server = self.servers["broken"]
        for number, (name, malform) in enumerate(MALFORMED.items()):
            server.malform = malform
            for path, method in (("/weigh/x", "POST"), ("/lots/x", "GET")):
                attempt = f"{method}{number}"
                status_line, _ = self.send(path, method, attempt)
                self.assertTrue(status_line.startswith("HTTP/1.1 502 "), (name, method, status_line))
                self.assertEqual(server.requests.count(attempt), 1, name)

    def start_malformed(self, name, malform):
        server = RawBackend(self.store, name, mode="malformed")
        self.addCleanup(server.end)
        server.malform = malform
        wait_until(lambda: name in self.known_servers(), 5, f"{name} is known")
        return server

    def known_servers(self):
        return [server["name"] for server in ask(self.entry.api, "GET", "/v1/fleet").json["backends"]]

    def assert_valid_response(self, attempt):
        self.assertEqual(self.send("/lots/x", attempt=attempt), ("HTTP/1.1 200 OK", attempt.encode()))

    def test_request_that_may_run_again_is_retried_at_another_server(self):
        self.serve(good="ok")
        for number, malform in enumerate(SAMPLES.values()):
            # Each is a new server, as one that has failed is avoided.
            broken = self.start_malformed(f"broken-{number}", malform)
            for repetition in range(20):
                self.assert_valid_response(f"r{number}-{repetition}")
            self.assertTrue(broken.requests)
            broken.remove()

    def test_malformed_response_to_a_hedge_does_not_end_the_request(self):
        self.serve(slow="slow_on_request")
        for number, malform in enumerate(SAMPLES.values()):
            broken = self.start_malformed(f"broken-{number}", malform)
            # A higher load, so that it is the second choice.
            broken.malform_health = lambda reply: reply.replace(b"0,0,2,100", b"1,0,2,100")
            # A request is hedged if it takes much longer than others.
            for repetition in range(20):
                self.assert_valid_response(f"fast{number}-{repetition}")
            self.assert_valid_response(f"slow{number}")
            self.assertIn(f"slow{number}", broken.requests)
            broken.remove()

    def test_malformed_health_check_is_not_trusted(self):
        self.serve(well="ok")
        self.assertEqual(self.send("/lots/x")[0], "HTTP/1.1 200 OK")
        leaving = with_line(b"Server-Leaving: 1")
        for number, (name, malform) in enumerate(MALFORMED.items()):
            self.servers["well"].malform_health = lambda reply, malform=malform: malform(leaving(reply))
            for repetition in range(3):
                attempt = f"p{number}-{repetition}"
                self.assertEqual(self.send("/lots/x", attempt=attempt), ("HTTP/1.1 200 OK", attempt.encode()), name)
        self.assertEqual(self.entry.lines("backend_leaving"), [])

    def test_reset_during_an_upload_does_not_complete_a_response(self):
        self.serve(early="reset_upload")
        for number in range(10):
            status_line, body = self.send("/weigh/x", "POST", f"u{number}", UPLOAD)
            self.assertTrue(status_line.startswith("HTTP/1.1 502 "), (status_line, body))
            self.assertEqual(self.servers["early"].requests.count(f"u{number}"), 1)

    def test_upload_that_may_run_again_is_retried_after_a_reset(self):
        self.serve(early="reset_upload", good="ok")
        for number in range(10):
            status_line, body = self.send("/lots/x", "POST", f"u{number}", UPLOAD)
            self.assertEqual((status_line, body), ("HTTP/1.1 200 OK", f"u{number}".encode()))
        self.assertTrue(self.servers["early"].requests)

    def test_malformed_response_of_the_store_is_not_trusted(self):
        relay = MalformingRelay(self.store.address)
        store_address, self.store.address = self.store.address, relay.address
        self.entry = self.fleet.start_entry(0)
        self.store.address = store_address
        self.serve(good="ok")
        for number, (name, malform) in enumerate(SAMPLES.items()):
            path = f"/new-{number}/"
            relay.malform = malform
            # Reads that were in progress end.
            time.sleep(0.5)
            self.store.put_config(6 + number, {"lots": route("/lots/"), "desk": route("/desk/", "desk"),
                                               "new": route(path)})
            time.sleep(0.7)
            self.assertEqual(self.send(path + "x")[0], "HTTP/1.1 404 Not Found", name)
            self.assertEqual(self.send("/lots/x")[0], "HTTP/1.1 200 OK", name)
            relay.malform = MalformingRelay.malform
            wait_until(lambda path=path: self.send(path + "x")[0] == "HTTP/1.1 200 OK", 5, "the change is in force")


class WithTheResourceApi(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.fleet.start_log()

    def serve(self, *servers, **spec):
        self.entry = self.fleet.start_entry("entry-1")
        self.fleet.define_service(self.entry, "lots", servers, **{
            "timeout_ms": 2000, "retry_percent": 100, "hedge_percent": 0, "max_body_bytes": 8_000_000, **spec})

    def test_malformed_response_is_never_delivered(self):
        malform = None
        server = ScriptedServer("lots-1", lambda head: (
            http_reply() if "/load" in head else malform(http_reply()), False))
        self.addCleanup(server.stop)
        self.serve(server)
        for name, malform in MALFORMED.items():
            for method in ("POST", "GET"):
                answer = ask(self.entry.traffic, method, "/lots", b"x")
                self.assertEqual((answer.status, answer.outcome, answer.headers["x-result-code"]),
                                 (502, "unknown", "402"), name)

    def start_malformed(self, name, malform):
        server = ScriptedServer(name, lambda head: (
            http_reply() if "/load" in head else malform(http_reply(b"broken")), False))
        self.addCleanup(server.stop)
        return server

    def test_idempotent_request_is_retried_at_another_server(self):
        self.serve(self.fleet.start_backend("lots-1"))
        for number, (name, malform) in enumerate(SAMPLES.items()):
            # Each is a new service, as a server that has failed is avoided.
            broken = self.start_malformed(f"broken-{number}", malform)
            good = ScriptedServer(f"good-{number}", lambda head: (http_reply(b"good"), False))
            self.addCleanup(good.stop)
            self.fleet.define_service(self.entry, f"s{number}", [broken, good], timeout_ms=2000, retry_percent=100,
                                      hedge_percent=0, strategy="round_robin")
            for _ in range(8):
                answer = ask(self.entry.traffic, "GET", f"/s{number}")
                self.assertEqual((answer.status, answer.body), (200, b"good"), name)
            self.assertTrue([head for head in broken.requests if "/load" not in head])

    def test_malformed_response_to_a_hedge_does_not_end_the_request(self):
        def respond(head):
            time.sleep(0.3 if "/slow" in head else 0)
            return http_reply(b"good"), False

        good = ScriptedServer("good", respond)
        malform = SAMPLES["status 000"]
        # Good does not fail, so a second attempt is a hedge.
        other = ScriptedServer("other", lambda head: (
            malform(http_reply(b"broken")) if "x-retry-attempt: 1" in head.lower() else http_reply(b"good"), False))
        self.addCleanup(good.stop)
        self.addCleanup(other.stop)
        self.serve(good, other, hedge_percent=100, strategy="round_robin")
        for name, malform in SAMPLES.items():
            # A request is hedged if it takes much longer than others.
            for _ in range(40):
                ask(self.entry.traffic, "GET", "/lots")
            other.requests.clear()
            for _ in range(4):
                answer = ask(self.entry.traffic, "GET", "/lots/slow")
                self.assertEqual((answer.status, answer.body), (200, b"good"), name)
            self.assertTrue([head for head in other.requests if "x-retry-attempt: 1" in head.lower()], name)

    def test_malformed_probe_response_is_not_trusted(self):
        malform = MALFORMED["status 000"]
        server = ScriptedServer("lots-1", lambda head: (
            malform(http_reply(headers=["x-draining: true"])) if "/load" in head else http_reply(), False))
        self.addCleanup(server.stop)
        self.serve(server, probes_per_ten_seconds=1000, entry_ceiling=1, probe_age_ms=50)
        for name, malform in SAMPLES.items():
            probes = len(server.requests)
            wait_until(lambda probes=probes: len(server.requests) > probes + 1, 5, "the server is probed")
            self.assertNotIn("lots-1", self.entry.status()["leaving_backends"], name)
        malform = MalformingRelay.malform
        wait_until(lambda: "lots-1" in self.entry.status()["leaving_backends"], 5, "a valid response is trusted")

    def test_reset_during_an_upload_does_not_complete_a_response(self):
        servers = [EarlyServer(f"early-{number}", b"HTTP/1.1 200 OK\r\n\r\n" + body)
                   for number, body in enumerate((b"", b"half"))]
        for server in servers:
            self.addCleanup(server.stop)
        self.serve(*servers, strategy="round_robin")
        for _ in range(8):
            answer = ask(self.entry.traffic, "POST", "/lots", UPLOAD)
            self.assertEqual((answer.status, answer.outcome), (502, "unknown"), answer.body)

    def test_malformed_response_of_the_log_service_is_not_trusted(self):
        relay = MalformingRelay(self.fleet.log_addresses[0])
        self.fleet.log_addresses.append(relay.address)
        entry = self.fleet.start_entry("entry-1", port=1)
        for number, (name, malform) in enumerate(SAMPLES.items()):
            relay.malform = malform
            answer = ask(entry.api, "PUT", f"/v1/services/s-{number}", "{}", timeout=15)
            self.assertNotEqual(answer.status, 200, name)
            relay.malform = MalformingRelay.malform
        wait_until(lambda: entry.put("services", "last", {}).status == 200, 10, "changes are accepted again")

    def test_malformed_response_of_the_vm_list_is_not_trusted(self):
        relay = MalformingRelay(self.fleet.log_addresses[0])
        entry = self.fleet.start_entry("entry-1", vm_list=relay.address)
        self.fleet.define_service(entry, "lots", [self.fleet.start_backend("lots-0")])
        for name, malform in SAMPLES.items():
            relay.malform = malform
            accepted = relay.accepted
            self.fleet.log_control(0, vms={"version": 3, "live": [], "leaving": ["lots-0"]})
            wait_until(lambda accepted=accepted: relay.accepted > accepted + 1, 5, "the list is read")
            self.assertNotIn("lots-0", entry.status()["leaving_backends"], name)
        relay.malform = MalformingRelay.malform
        wait_until(lambda: "lots-0" in entry.status()["leaving_backends"], 5, "a valid list is trusted")


class OperatorsTool(unittest.TestCase):
    """cardamomctl reads the responses of the API like any other client."""

    def run_tool(self, address, *arguments):
        return subprocess.run([BIN / "cardamomctl", f"--api={address}", "--timeout_ms=3000", *arguments],
                              capture_output=True, text=True, timeout=10)

    def test_malformed_response_counts_as_no_response(self):
        malform = None
        api = ScriptedServer("api", lambda head: (malform(http_reply(b'{"items": []}')), True))
        self.addCleanup(api.stop)
        for name, malform in MALFORMED.items():
            result = self.run_tool(api.address, "list", "services")
            self.assertEqual(result.returncode, EXIT_NO_RESPONSE, (name, result))
            self.assertIn("not valid HTTP", result.stderr, name)

    def test_reset_during_an_upload_counts_as_no_response(self):
        api = EarlyServer("api", b"HTTP/1.1 200 OK\r\n\r\n")
        self.addCleanup(api.stop)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "resources.json"
            path.write_text(json.dumps({"services": [{"name": "lots", "note": UPLOAD.decode()}]}))
            for _ in range(5):
                result = self.run_tool(api.address, "apply", path)
                self.assertEqual(result.returncode, EXIT_NO_RESPONSE, result.stderr[-300:])


if __name__ == "__main__":
    unittest.main()
