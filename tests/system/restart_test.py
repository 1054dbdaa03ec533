"""Removed servers, withdrawn rules and expired requests stay so through restarts, pauses and stops of entries."""

import http.client
import signal
import tempfile
import threading
import time
import unittest

from fleet import ask, wait_until
from platformfleet import HOST, PlatformFleet, route
from rawbackend import RawBackend

PAUSE_SECONDS = 3.0


class ThreeEntryTest(unittest.TestCase):
    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=3)
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store
        self.backends = [self.fleet.add_backend("s-1"), self.fleet.add_backend("s-2")]
        self.store.put_config(5, {"lots": route("/lots/"), "old": route("/old/"),
                                  "weigh": route("/weigh/", kind="unsafe")})
        self.fleet.wait_until_serving()


class Restarts(ThreeEntryTest):
    def test_restarted_entries_do_not_restore_removed_state_from_resumed_peer(self):
        paused_entry = self.fleet.entries[0]
        paused_entry.signal(signal.SIGSTOP)
        self.store.put_config(6, {"lots": route("/lots/")})
        self.backends[0].remove()
        time.sleep(PAUSE_SECONDS)
        for entry in self.fleet.entries[1:]:
            entry.kill()
        # The paused entry is the only seed; it resumes with its old view when the other entries start.
        restarted = [self.fleet.start_entry(number) for number in (1, 2)]
        paused_entry.signal(signal.SIGCONT)
        started_requests = self.backends[0].counts()["started"]
        deadline = time.monotonic() + 3
        while time.monotonic() < deadline:
            for entry in restarted:
                self.assertIn(entry.send("/old/x").status, (404, 503, 0))
                self.assertIn(entry.send("/lots/x").status, (200, 503, 0))
        self.assertEqual(self.backends[0].counts()["started"], started_requests)
        self.assertEqual(restarted[0].send("/lots/x").status, 200)

    def test_stopping_entry_does_not_register_after_store_outage(self):
        fleet = PlatformFleet(self.enterContext(tempfile.TemporaryDirectory()), entries=1, seeds=())
        self.addCleanup(fleet.end)
        fleet.store.control(mode="down")
        time.sleep(1.5)
        fleet.entries[0].signal(signal.SIGTERM)
        time.sleep(0.3)
        fleet.store.control(mode="ok")
        fleet.entries[0].child.wait(timeout=6)
        self.assertNotIn("entry-0", fleet.store.keys("keyed.members"))

    # Guards against a record of an entry that is gone: the store ran its registration after its deregistration.
    def test_deregistration_follows_a_registration_in_progress(self):
        fleet = PlatformFleet(self.enterContext(tempfile.TemporaryDirectory()), entries=0, seeds=())
        self.addCleanup(fleet.end)
        fleet.store.control(delay_ms=700)
        entry = fleet.start_entry(0)
        # The registration follows one second after the start.
        time.sleep(1.4)
        fleet.store.control(delay_ms=0)
        entry.signal(signal.SIGTERM)
        entry.child.wait(timeout=6)
        time.sleep(1.0)
        self.assertTrue(entry.lines("withdrawn"))
        self.assertNotIn("entry-0", fleet.store.keys("keyed.members"))


class Pauses(ThreeEntryTest):
    def test_resumed_entry_does_not_use_stale_view(self):
        paused_entry = self.fleet.entries[2]
        for version in (10, 20, 30):
            paused_entry.signal(signal.SIGSTOP)
            self.store.put_config(version, {"lots": route("/lots/")})
            self.backends[0].report("draining")
            time.sleep(PAUSE_SECONDS)
            started_requests = self.backends[0].counts()["started"]
            results = []
            callers = [threading.Thread(target=lambda path=path: results.append((path, paused_entry.send(path).status)))
                       for path in ("/old/x", "/lots/x") * 10]
            for caller in callers:
                caller.start()
            time.sleep(0.2)
            paused_entry.signal(signal.SIGCONT)
            for caller in callers:
                caller.join()
            self.assertEqual({status for path, status in results if path == "/old/x"}, {404})
            self.assertEqual(self.backends[0].counts()["started"], started_requests)
            # The backend server registers as a new instance for the next round.
            self.backends[0].born += 1000
            self.backends[0].report("ready")
            self.store.put_config(version + 5, {"lots": route("/lots/"), "old": route("/old/")})
            wait_until(lambda: paused_entry.send("/old/x").status == 200, 3, "the rule is in force again")

    def test_request_of_caller_that_disconnected_during_pause_is_not_sent(self):
        entry = self.fleet.entries[2]
        entry.signal(signal.SIGSTOP)
        answer = ask(entry.traffic, "POST", "/weigh/x", b"1",
                     {"Host": "mill.example", "Attempt-Id": "gone", "Deadline-Ms": "500"}, timeout=0.5)
        self.assertEqual(answer.status, 0)
        # The pause is long enough for the entry to detect it. The request then waits for a view, and the caller closes
        # its connection before the entry starts to monitor it.
        time.sleep(PAUSE_SECONDS)
        entry.signal(signal.SIGCONT)
        time.sleep(0.7)
        executed_ids = [request_id for backend in self.backends for request_id in backend.counts()["ids"]]
        self.assertNotIn("gone", executed_ids)


class Stops(ThreeEntryTest):
    # A connection that is established between the last accept and the close of the listening socket is reset by the
    # kernel. Its request has not been read, and the reset comes at once, so the caller can send it again.
    MAX_RESET_SECONDS = 0.2

    def test_requests_that_were_just_accepted_are_answered_when_an_entry_stops_under_load(self):
        entry = self.fleet.entries[2]
        for backend in self.backends:
            backend.control(service_ms=5)
        stopped = threading.Event()
        interrupted = []

        def call(number):
            for request_number in range(100_000):
                request_id = f"c{number}-{request_number}"
                sent_at = time.monotonic()
                answer = entry.send("/lots/x", attempt=request_id, deadline_ms=1500)
                if answer.status == 0:
                    if b"refused" in answer.body or stopped.is_set():
                        return
                    interrupted.append((request_id, time.monotonic() - sent_at, answer.body))

        callers = [threading.Thread(target=call, args=(number,)) for number in range(24)]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        entry.signal(signal.SIGTERM)
        entry.child.wait(timeout=6)
        stopped.set()
        for caller in callers:
            caller.join()
        passed_on = {request_id for backend in self.backends for request_id in backend.counts()["runs"]}
        for request_id, seconds, error in interrupted:
            print(f"interrupted: {request_id} after {seconds:.3f} s, passed on: {request_id in passed_on}, {error}")
        self.assertEqual([request_id for request_id, _, _ in interrupted if request_id in passed_on], [])
        self.assertEqual([error for _, seconds, error in interrupted
                          if b"reset" not in error or seconds > self.MAX_RESET_SECONDS], [])

    # Guards against requests that are passed on so late that the end of the grace period cuts them.
    def test_requests_that_arrive_during_a_stop_are_answered_or_rejected(self):
        backend = RawBackend(self.store, "slow-1", service="desk", mode="slow")
        self.addCleanup(backend.end)
        self.store.put_config(6, {"lots": route("/lots/"), "desk": route("/desk/", "desk"),
                                  "desk-once": route("/desk-once/", "desk", kind="unsafe")})
        entry = self.fleet.entries[2]
        wait_until(lambda: entry.send("/desk/x", attempt="first").status == 200, what="the slow server is used")
        outcomes = {}

        def call(request_id, path, method, connection, sent_at):
            time.sleep(max(0.0, sent_at - time.monotonic()))
            try:
                connection.request(method, path, headers={"Host": HOST, "Attempt-Id": request_id,
                                                          "Deadline-Ms": "2000", "Content-Length": "0"})
                outcomes[request_id] = connection.getresponse().status
            except (OSError, http.client.HTTPException):
                outcomes[request_id] = 0

        host, port = entry.traffic.rsplit(":", 1)
        started_at = time.monotonic()
        callers = []
        for number in range(28):
            path, method = ("/desk/x", "GET") if number % 2 else ("/desk-once/x", "POST")
            connection = http.client.HTTPConnection(host, int(port), timeout=5)
            self.addCleanup(connection.close)
            # A stop begins now; the requests follow every tenth of a second on new connections.
            callers.append(threading.Thread(
                target=call, args=(f"late-{number}", path, method, connection, started_at + 0.05 + number / 10)))
            callers[-1].start()
        entry.signal(signal.SIGTERM)
        entry.child.wait(timeout=6)
        for caller in callers:
            caller.join()
        passed_on = [request_id for request_id in outcomes if request_id in backend.requests]
        self.assertIn(200, outcomes.values())
        self.assertIn(503, outcomes.values())
        self.assertEqual({request_id: outcomes[request_id] for request_id in passed_on if outcomes[request_id] != 200}, {})


if __name__ == "__main__":
    unittest.main()
