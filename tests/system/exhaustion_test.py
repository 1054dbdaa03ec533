"""Nothing that callers or back ends send takes more of an entry than its share, or harms others."""

import tempfile
import threading
import time
import unittest

from fleet import wait_until
from platformfleet import HOST, PlatformFleet, route
from rawbackend import RawBackend

# A part of the VM's memory that the process stays under, and the VM's size in the settings of the fleet.
MEMORY_PART = 0.6
TIMEOUT = 6.0


class SingleEntryTest(unittest.TestCase):
    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=1)
        self.addCleanup(self.fleet.end)
        self.raw = []

    def serve(self, mode, good=False):
        store = self.fleet.store
        self.raw.append(RawBackend(store, "raw-1", mode=mode))
        self.addCleanup(self.raw[0].end)
        RawBackend(store, "desk-1", service="desk")
        if good:
            RawBackend(store, "good-1")
        store.put_config(5, {"lots": route("/lots/", timeout=TIMEOUT), "desk": route("/desk/", "desk"),
                             "weigh": route("/weigh/", kind="unsafe", timeout=TIMEOUT)}, max_body_bytes=2_000_000)
        self.fleet.wait_until_serving("/desk/x")
        return self.fleet.entries[0]

    def at_once(self, count, call):
        threads = [threading.Thread(target=call, args=(number,)) for number in range(count)]
        for thread in threads:
            thread.start()
        return threads

    def assert_small(self, entry):
        self.assertLess(entry.peak_memory_mb(), MEMORY_PART * entry.memory_mb)

    def assert_serves(self, entry):
        self.assertEqual(entry.send("/desk/x", attempt="after").status, 200)


class EndlessResponses(SingleEntryTest):
    def send_many(self, entry, path, method="GET"):
        told = {}

        def send(number):
            began = time.monotonic()
            answer = entry.send(path, method, attempt=f"r{number}", deadline_ms=int(TIMEOUT * 1000))
            told[number] = (answer.status, time.monotonic() - began)

        for thread in self.at_once(24, send):
            thread.join()
        return told

    def check(self, mode):
        entry = self.serve(mode)
        told = self.send_many(entry, "/weigh/x", "POST")
        self.assertEqual({status for status, _ in told.values()}, {502}, mode)
        # Given up for what came, not at the deadline.
        self.assertLess(max(took for _, took in told.values()), TIMEOUT - 1, mode)
        self.assert_small(entry)
        self.assert_serves(entry)

    def test_endless_chunked_body(self):
        self.check("endless_chunks")

    def test_endless_body_without_length(self):
        self.check("endless_unframed")

    def test_endless_interim_responses(self):
        self.check("endless_interim")

    def test_endless_responses_to_other_requests(self):
        self.check("endless_others")

    def test_endless_header(self):
        self.check("endless_head")

    def test_endless_invalid_bytes(self):
        self.check("endless_noise")

    def test_a_safe_request_is_answered_by_another_server(self):
        entry = self.serve("endless_interim", good=True)
        told = [entry.send("/lots/x", attempt=f"s{number}").status for number in range(20)]
        self.assertEqual(set(told), {200})


class StalledCallers(SingleEntryTest):
    def send_and_read(self, caller, message):
        """What is answered before the message is complete, if anything."""
        try:
            caller.sendall(message)
            caller.settimeout(0.05)
            return caller.recv(4096)
        except OSError:
            return b""

    def test_callers_that_do_not_read_their_answers_hold_little_memory(self):
        entry = self.serve("large")
        request = f"GET /lots/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: p\r\nDeadline-Ms: 5000\r\n\r\n".encode()
        callers = [entry.connect() for _ in range(150)]
        for caller in callers:
            caller.sendall(request * 16)
        time.sleep(3)
        self.assert_small(entry)
        self.assert_serves(entry)
        for caller in callers:
            caller.close()
        wait_until(lambda: entry.send("/desk/x").status == 200, 3, "others are served again")

    def test_callers_that_stop_in_their_bodies_hold_little_memory_and_others_are_served(self):
        entry = self.serve("ok")
        head = (f"POST /weigh/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: p\r\nDeadline-Ms: 5000\r\n"
                "Content-Length: 2000000\r\n\r\n").encode()
        callers = [entry.connect() for _ in range(150)]
        told = [self.send_and_read(caller, head + b"x" * 1_800_000) for caller in callers]
        self.assertEqual({answer[:12] for answer in told if answer}, {b"HTTP/1.1 503"})
        self.assert_small(entry)
        self.assert_serves(entry)
        line = entry.lines("request_rejected", name="memory_short")
        self.assertTrue(line)


class IdleConnections(SingleEntryTest):
    """Connections to back ends that carry nothing."""

    CLOSED_SECONDS = 3

    def open_connections(self, count):
        """Sends @p count requests at once, so that as many connections are opened."""
        for thread in self.at_once(count, lambda number: self.fleet.entries[0].send("/lots/x", attempt=f"o{number}")):
            thread.join()

    def test_bytes_without_end_after_a_whole_answer_close_the_connection(self):
        self.serve("endless_after")
        self.open_connections(20)
        wait_until(lambda: self.raw[0].open_connections == 0, self.CLOSED_SECONDS, "all connections are closed")

    def test_connections_to_removed_server_are_closed(self):
        self.serve("ok")
        self.open_connections(20)
        self.assertGreater(self.raw[0].open_connections, 0)
        self.raw[0].remove()
        wait_until(lambda: self.raw[0].open_connections == 0, self.CLOSED_SECONDS, "all connections are closed")


class ResponseIsolation(SingleEntryTest):
    def test_duplicate_response_never_reaches_another_caller(self):
        entry = self.serve("second_copy")
        for number in range(60):
            answer = entry.send("/lots/x", attempt=f"id-{number}")
            self.assertEqual((answer.status, answer.body.decode()), (200, f"id-{number}"))

    def test_truncated_response_is_never_successful(self):
        for number, mode in enumerate(("cut", "cut_chunked", "reset_unframed")):
            entry = self.serve(mode) if number == 0 else self.fleet.entries[0]
            self.raw[0].mode = mode
            for path, method in (("/lots/x", "GET"), ("/weigh/x", "POST")):
                answer = entry.send(path, method, attempt=f"{mode}{method}")
                self.assertNotEqual(answer.status, 200, mode)


if __name__ == "__main__":
    unittest.main()
