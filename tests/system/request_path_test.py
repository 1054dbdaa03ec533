"""End-to-end test of a request with separate processes."""

import http.client
import subprocess
import unittest

from fleet import BIN, Fleet, RawBackend, ask, http_reply


class EndToEndRequest(unittest.TestCase):
    def test_caller_gets_response_of_configured_service(self):
        with Fleet() as fleet:
            fleet.start_log()
            backend = fleet.start_backend("lots-1")
            entry = fleet.start_entry("entry-1")
            fleet.define_service(entry, "lots", [backend])

            addresses = ask(entry.traffic, "GET", "/.well-known/cardamomdeck/addresses").json["addresses"]
            self.assertEqual([item["address"] for item in addresses], [entry.traffic])

            answer = ask(addresses[0]["address"], "POST", "/lots/7", b"weighing", {"x-request-id": "lot-7"})
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.outcome, "answered")
            self.assertEqual(answer.json, {"backend": "lots-1", "id": "lot-7", "echo": 8})

            tool_result = subprocess.run(
                [BIN / "cardamomctl", f"--api={entry.api}", "get", "services", "lots"],
                capture_output=True, text=True, timeout=10, check=True)
            self.assertIn("in_force_everywhere: yes", tool_result.stdout)


class ResponseFraming(unittest.TestCase):
    """Responses that the server does not frame by a length reach callers on connections that stay open."""

    # The response, whether the server closes the connection after it, and the status and body that the caller gets. A
    # server that closes says so, as a request that follows at once would be lost.
    RESPONSES = {
        "chunked": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", False, 200, b"body"),
        "empty": (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", True, 200, b""),
        "error": (b"HTTP/1.0 404 Not Found\r\n\r\n", True, 404, b""),
        "no-content": (b"HTTP/1.1 204 No Content\r\n\r\n", False, 204, b""),
    }

    # Guards against a caller that waits for the end of the connection, or that takes the next response for the body.
    def test_caller_sees_the_end_of_each_response(self):
        with Fleet() as fleet:
            fleet.start_log()
            entry = fleet.start_entry("entry-1")
            for name, (reply, closes, status, body) in self.RESPONSES.items():
                backend = RawBackend(f"raw-{name}", lambda head, reply=reply, closes=closes: (
                    (http_reply(), False) if "/load" in head else (reply, closes)))
                self.addCleanup(backend.stop)
                fleet.define_service(entry, name, [backend], timeout_ms=2000)
                host, port = entry.traffic.rsplit(":", 1)
                connection = http.client.HTTPConnection(host, int(port), timeout=3)
                self.addCleanup(connection.close)
                for _ in range(3):
                    connection.request("POST", f"/{name}", body=b"x")
                    response = connection.getresponse()
                    self.assertEqual((response.status, response.read()), (status, body), name)
                    self.assertFalse(response.will_close, name)

    def test_response_to_a_head_request_keeps_its_length(self):
        with Fleet() as fleet:
            fleet.start_log()
            entry = fleet.start_entry("entry-1")
            backend = RawBackend("raw-1", lambda head: (
                b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", False))
            self.addCleanup(backend.stop)
            fleet.define_service(entry, "lots", [backend], timeout_ms=2000, probes_per_ten_seconds=0)
            for _ in range(3):
                answer = ask(entry.traffic, "HEAD", "/lots")
                self.assertEqual((answer.status, answer.headers["content-length"], answer.body), (200, "4", b""))


if __name__ == "__main__":
    unittest.main()
