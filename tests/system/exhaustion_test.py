"""Memory use and isolation of an entry with endless or invalid responses, stalled callers and idle connections."""

import contextlib
import socket
import tempfile
import threading
import time
import unittest

from fleet import Fleet, ask, http_reply, wait_until
from fleet import RawBackend as ScriptedServer
from platformfleet import HOST, PlatformFleet, route
from rawbackend import CHUNK, RawBackend

# Upper bound of the process's memory, as a fraction of the VM memory in its settings (memory_mb).
MAX_MEMORY_FRACTION = 0.6
TIMEOUT = 6.0


class SingleEntryTest(unittest.TestCase):
    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=1)
        self.addCleanup(self.fleet.end)
        self.raw = []

    def serve(self, mode, with_valid_server=False):
        store = self.fleet.store
        self.raw.append(RawBackend(store, "raw-1", mode=mode))
        self.addCleanup(self.raw[0].end)
        RawBackend(store, "desk-1", service="desk")
        if with_valid_server:
            RawBackend(store, "good-1")
        store.put_config(5, {"lots": route("/lots/", timeout=TIMEOUT), "desk": route("/desk/", "desk"),
                             "weigh": route("/weigh/", kind="unsafe", timeout=TIMEOUT)}, max_body_bytes=2_000_000)
        self.fleet.wait_until_serving("/desk/x")
        return self.fleet.entries[0]

    def start_threads(self, count, call):
        threads = [threading.Thread(target=call, args=(number,)) for number in range(count)]
        for thread in threads:
            thread.start()
        return threads

    def assert_memory_within_limit(self, entry):
        self.assertLess(entry.peak_memory_mb(), MAX_MEMORY_FRACTION * entry.memory_mb)

    def assert_serves(self, entry):
        self.assertEqual(entry.send("/desk/x", attempt="after").status, 200)


class EndlessResponses(SingleEntryTest):
    def send_many(self, entry, path, method="GET"):
        results = {}

        def send(number):
            started_at = time.monotonic()
            answer = entry.send(path, method, attempt=f"r{number}", deadline_ms=int(TIMEOUT * 1000))
            results[number] = (answer.status, time.monotonic() - started_at)

        for thread in self.start_threads(24, send):
            thread.join()
        return results

    def assert_rejects_endless_response(self, mode):
        entry = self.serve(mode)
        results = self.send_many(entry, "/weigh/x", "POST")
        self.assertEqual({status for status, _ in results.values()}, {502}, mode)
        # The request fails because of the response's content, not at its deadline.
        self.assertLess(max(seconds for _, seconds in results.values()), TIMEOUT - 1, mode)
        self.assert_memory_within_limit(entry)
        self.assert_serves(entry)

    def test_endless_chunked_body(self):
        self.assert_rejects_endless_response("endless_chunks")

    # Guards against memory that grows until the platform kills the entry: such a line is no body data.
    def test_endless_size_line_of_a_chunk(self):
        self.assert_rejects_endless_response("endless_chunk_size")

    def test_endless_trailer(self):
        self.assert_rejects_endless_response("endless_trailer")

    def test_endless_body_without_length(self):
        self.assert_rejects_endless_response("endless_unframed")

    def test_endless_interim_responses(self):
        self.assert_rejects_endless_response("endless_interim")

    def test_endless_responses_to_other_requests(self):
        self.assert_rejects_endless_response("endless_others")

    def test_endless_header(self):
        self.assert_rejects_endless_response("endless_head")

    def test_endless_invalid_bytes(self):
        self.assert_rejects_endless_response("endless_noise")

    def test_idempotent_request_is_retried_on_another_server(self):
        entry = self.serve("endless_interim", with_valid_server=True)
        results = [entry.send("/lots/x", attempt=f"s{number}").status for number in range(20)]
        self.assertEqual(set(results), {200})


class EndlessServer(ScriptedServer):
    """Responds to requests with a beginning and then with a part that is repeated until the client closes."""

    def __init__(self, name, beginning, part):
        self.beginning, self.part = beginning, part
        super().__init__(name, lambda head: (http_reply(), False))

    def _serve(self, connection):
        with connection:
            try:
                head = connection.recv(65536)
                if b"/load" in head:
                    connection.sendall(http_reply())
                    return
                connection.sendall(self.beginning)
                while True:
                    connection.sendall(self.part)
            except OSError:
                pass  # The entry closed the connection.


class EndlessResponsesWithTheResourceApi(unittest.TestCase):
    MEMORY_MB = 160
    REQUESTS = 24
    HEAD = b"HTTP/1.1 200 OK\r\n"
    CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    RESPONSES = {
        "chunked body": (CHUNKED, CHUNK * 64),
        "body without length": (HEAD + b"\r\n", b"x" * 65536),
        "body of a huge length": (HEAD + b"Content-Length: 60000000\r\n\r\n", b"x" * 65536),
        "size line of a chunk": (CHUNKED, bytes(65536)),
        "trailer": (CHUNKED + CHUNK + b"0\r\nlast: ", b"x" * 65536),
        "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 64),
        "header": (HEAD, b"a: " + b"x" * 1000 + b"\r\n"),
        "invalid bytes": (b"", b"\x7f" * 65536),
    }

    # Guards against an entry that runs out of memory, and whose other requests end with it.
    def test_endless_responses_use_bounded_memory_and_others_are_served(self):
        fleet = self.enterContext(Fleet())
        fleet.start_log()
        entry = fleet.start_entry("entry-1", extra=[f"--memory_mb={self.MEMORY_MB}"])
        fleet.define_service(entry, "desk", [fleet.start_backend("desk-1")])
        for number, (name, (beginning, part)) in enumerate(self.RESPONSES.items()):
            server = EndlessServer(f"endless-{number}", beginning, part)
            self.addCleanup(server.stop)
            fleet.define_service(entry, f"s{number}", [server], timeout_ms=int(TIMEOUT * 1000),
                                 max_body_bytes=64 * 1024 * 1024, max_in_flight=self.REQUESTS)
            statuses, seconds = [], []

            def send(number=number, statuses=statuses, seconds=seconds):
                started_at = time.monotonic()
                statuses.append(ask(entry.traffic, "POST", f"/s{number}", b"x").status)
                seconds.append(time.monotonic() - started_at)

            callers = [threading.Thread(target=send) for _ in range(self.REQUESTS)]
            for caller in callers:
                caller.start()
            self.assertEqual(ask(entry.traffic, "GET", "/desk").status, 200, name)
            for caller in callers:
                caller.join()
            self.assertLess(entry.peak_memory_mb(), MAX_MEMORY_FRACTION * self.MEMORY_MB, name)
            # Once the server has failed several times, it is ejected, and requests are rejected without being sent.
            self.assertIn(502, statuses, name)
            self.assertLessEqual(set(statuses), {502, 503}, name)
            # The request fails because of the response's content, not at its deadline.
            self.assertLess(max(seconds), TIMEOUT - 1, name)

    def test_uploads_use_bounded_memory_and_others_are_served(self):
        fleet = self.enterContext(Fleet())
        fleet.start_log()
        entry = fleet.start_entry("entry-1", extra=[f"--memory_mb={self.MEMORY_MB}"])
        fleet.define_service(entry, "desk", [fleet.start_backend("desk-1")], max_body_bytes=64 * 1024 * 1024)
        head = b"POST /desk HTTP/1.1\r\nHost: desk\r\nContent-Length: 50000000\r\n\r\n"
        host, port = entry.traffic.rsplit(":", 1)
        with contextlib.ExitStack() as callers:
            for _ in range(self.REQUESTS):
                caller = callers.enter_context(socket.create_connection((host, int(port)), timeout=0.5))
                # Both the rejection and an upload that the entry does not read any more end the transmission.
                with contextlib.suppress(OSError):
                    caller.sendall(head + b"x" * 40_000_000)
            self.assertLess(entry.peak_memory_mb(), MAX_MEMORY_FRACTION * self.MEMORY_MB)
            self.assertEqual(ask(entry.traffic, "GET", "/desk").status, 200)
        wait_until(lambda: ask(entry.traffic, "POST", "/desk", b"x" * 5_000_000).status == 200, 5,
                   "the memory of the aborted uploads is available again")


class StalledCallers(SingleEntryTest):
    def send_and_read(self, caller, message):
        """Returns the response sent before the message is complete, or empty bytes."""
        try:
            caller.sendall(message)
            caller.settimeout(0.05)
            return caller.recv(4096)
        except OSError:
            return b""

    def test_callers_that_do_not_read_responses_use_bounded_memory(self):
        entry = self.serve("large")
        request = f"GET /lots/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: p\r\nDeadline-Ms: 5000\r\n\r\n".encode()
        callers = [entry.connect() for _ in range(150)]
        for caller in callers:
            caller.sendall(request * 16)
        time.sleep(3)
        self.assert_memory_within_limit(entry)
        self.assert_serves(entry)
        for caller in callers:
            caller.close()
        wait_until(lambda: entry.send("/desk/x").status == 200, 3, "other services are available again")

    def test_callers_with_incomplete_bodies_use_bounded_memory_and_others_are_served(self):
        entry = self.serve("ok")
        head = (f"POST /weigh/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: p\r\nDeadline-Ms: 5000\r\n"
                "Content-Length: 2000000\r\n\r\n").encode()
        callers = [entry.connect() for _ in range(150)]
        results = [self.send_and_read(caller, head + b"x" * 1_800_000) for caller in callers]
        self.assertEqual({answer[:12] for answer in results if answer}, {b"HTTP/1.1 503"})
        self.assert_memory_within_limit(entry)
        self.assert_serves(entry)
        log_lines = entry.lines("request_rejected", name="memory_short")
        self.assertTrue(log_lines)


class IdleConnections(SingleEntryTest):
    """Connections to backend servers without a request in flight."""

    MAX_CLOSE_SECONDS = 3

    def open_connections(self, count):
        """Sends @p count concurrent requests, so that the entry opens up to as many connections."""
        for thread in self.start_threads(
                count, lambda number: self.fleet.entries[0].send("/lots/x", attempt=f"o{number}")):
            thread.join()

    def test_endless_bytes_after_a_complete_response_close_the_connection(self):
        self.serve("endless_after")
        self.open_connections(20)
        # Other connections, which have carried only a health check, stay open for maxIdleTime.
        wait_until(lambda: self.raw[0].flooded_connections > 0, 1, "the server sends on some connections")
        wait_until(lambda: self.raw[0].flooded_connections == 0, self.MAX_CLOSE_SECONDS, "these are closed")

    def test_connections_to_removed_server_are_closed(self):
        self.serve("ok")
        self.open_connections(20)
        self.assertGreater(self.raw[0].open_connections, 0)
        self.raw[0].remove()
        wait_until(lambda: self.raw[0].open_connections == 0, self.MAX_CLOSE_SECONDS, "all connections are closed")


class Attempts(SingleEntryTest):
    REQUESTS = 12

    # Guards against a third attempt of two: the first one fails while the server of the hedge is being chosen.
    def test_failure_during_the_choice_of_a_second_server_adds_no_attempt(self):
        entry = self.serve("fail_late")
        self.raw += [RawBackend(self.fleet.store, f"raw-{number}", mode="fail_late") for number in (2, 3, 4, 5)]
        wait_until(lambda: entry.send("/lots/x", attempt="warm-up") and self.raw[4].requests, 10, "all are used")
        for backend in self.raw:
            backend.health_delay = 0.05
        for number in range(self.REQUESTS):
            entry.send("/lots/x", attempt=f"two-{number}")
        attempts = [sum(backend.requests.count(f"two-{number}") for backend in self.raw)
                    for number in range(self.REQUESTS)]
        self.assertEqual(max(attempts), 2, attempts)


class ResponseIsolation(SingleEntryTest):
    def test_duplicate_response_never_reaches_another_caller(self):
        entry = self.serve("second_copy")
        for number in range(60):
            answer = entry.send("/lots/x", attempt=f"id-{number}")
            self.assertEqual((answer.status, answer.body.decode()), (200, f"id-{number}"))

    # Guards against "not run" for a request that is running, and against a second run at another server.
    def test_refusal_without_id_is_not_trusted(self):
        entry = self.serve("refused_without_id")
        self.raw.append(RawBackend(self.fleet.store, "raw-2", mode="refused_without_id"))
        wait_until(lambda: self.send_to_second(entry), 3, "the second server is used")
        for number in range(20):
            answer = entry.send("/weigh/x", "POST", attempt=f"once-{number}")
            self.assertEqual(answer.status, 502)
            self.assertEqual(sum(backend.requests.count(f"once-{number}") for backend in self.raw), 1)

    def send_to_second(self, entry):
        entry.send("/lots/x", attempt="warm-up")
        return self.raw[1].requests

    # Guards against a response that ends in its header and reaches the caller as an empty success.
    def test_response_that_ends_in_its_header_is_never_successful(self):
        entry = self.serve("cut_head")
        with entry.connect() as caller:
            for number in range(120):
                path, method = ("/lots/x", "GET") if number % 2 else ("/weigh/x", "POST")
                caller.sendall(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: h{number}\r\n"
                               "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n".encode())
                answer = caller.recv(65536)
                self.assertTrue(answer.startswith(b"HTTP/1.1 50"), answer)
        self.assertGreater(len(self.raw[0].requests), 100)

    def test_truncated_response_is_never_successful(self):
        for number, mode in enumerate(("cut", "cut_chunked", "reset_unframed")):
            entry = self.serve(mode) if number == 0 else self.fleet.entries[0]
            self.raw[0].mode = mode
            for path, method in (("/lots/x", "GET"), ("/weigh/x", "POST")):
                answer = entry.send(path, method, attempt=f"{mode}{method}")
                self.assertNotEqual(answer.status, 200, mode)


if __name__ == "__main__":
    unittest.main()
