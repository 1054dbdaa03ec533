"""Servers that announce in their responses that they leave, or that they want no requests for some time."""

import collections
import signal
import tempfile
import threading
import time
import unittest

from fleet import ask, wait_until
from platformfleet import PlatformFleet, route
from rawbackend import RawBackend

# Time in which requests that have already been sent may still reach a server.
SENT_BEFORE_SECONDS = 0.5
# Requests that may reach a server from one entry between that time and the end of a pause.
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_SECONDS = 2.0
# Time after which no request may reach a server that has announced that it leaves.
DRAIN_SECONDS = 2.0


class AnnouncementsTest(unittest.TestCase):
    SERVERS = 3

    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=3)
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store
        self.backends = [self.fleet.add_backend(f"s-{number}") for number in range(1, self.SERVERS + 1)]
        self.store.put_config(5, {"lots": route("/lots/"), "weigh": route("/weigh/", kind="unsafe", priority=3)})
        self.fleet.wait_until_serving()
        self.number = 0
        self.answers = collections.Counter()
        self.callers = []
        self.loaded = True
        self.addCleanup(self.stop_load)

    def start_load(self):
        """Each entry gets requests of both kinds all the while; their ids begin with the entry's name."""
        def call(number, path, method):
            sequence = 0
            while self.loaded:
                entry = self.fleet.entries[number]
                sequence += 1
                answer = entry.send(path, method, attempt=f"{entry.name}:{method}{sequence}")
                self.answers[answer.status] += 1
                time.sleep(0.005)

        for number in range(len(self.fleet.entries)):
            for path, method in (("/lots/x", "GET"), ("/weigh/x", "POST")) * 2:
                self.callers.append(threading.Thread(target=call, args=(number, path, method)))
        for caller in self.callers:
            caller.start()

    def stop_load(self):
        self.loaded = False
        for caller in self.callers:
            caller.join()
        self.callers = []

    def arrivals(self, backend):
        """Requests that have reached @p backend, by entry."""
        return collections.Counter(request_id.split(":")[0] for request_id, _, _ in backend.counts()["arrivals"])

    def assert_receives_nothing(self, backend, seconds, probes=True):
        before, probes_before = self.arrivals(backend), backend.counts()["probes"]
        time.sleep(seconds)
        self.assertEqual(self.arrivals(backend), before)
        if probes:
            self.assertEqual(backend.counts()["probes"], probes_before)

    def wait_until_all_log(self, event, backend):
        for entry in self.fleet.entries:
            wait_until(lambda: entry.lines(event, backend=backend.name), 3, f"{entry.name} logs {event}")


class Leaving(AnnouncementsTest):
    # Guards against requests to a server that has said that it leaves, before the store or a peer says so.
    def test_nothing_reaches_a_leaving_server_that_is_registered_as_ready(self):
        self.start_load()
        leaving = self.backends[0]
        leaving.control(leaving=True)
        self.wait_until_all_log("backend_leaving", leaving)
        time.sleep(0.2)
        self.assert_receives_nothing(leaving, 1.5)
        leaving.report()
        for entry in self.fleet.entries:
            entry.signal(signal.SIGHUP)
        self.assert_receives_nothing(leaving, 1.0)
        self.assertGreater(self.answers[200], 100)
        self.assertEqual(set(self.answers), {200})
        states = ask(self.fleet.entries[0].api, "GET", "/v1/fleet").json["backends"]
        self.assertIn(("s-1", "leaving"), [(backend["name"], backend["state"]) for backend in states])

    def test_it_holds_while_the_store_is_away_and_while_the_registration_expires_and_returns(self):
        self.start_load()
        leaving = self.backends[0]
        self.store.control(mode="down")
        leaving.control(leaving=True)
        self.wait_until_all_log("backend_leaving", leaving)
        time.sleep(0.2)
        self.assert_receives_nothing(leaving, 1.5)
        self.store.control(mode="ok")
        leaving.remove()
        time.sleep(2.5)
        leaving.report()
        self.assert_receives_nothing(leaving, 2.5)
        self.assertEqual(set(self.answers), {200})

    # Guards against an entry that forgets it when it hears neither the store nor another entry.
    def test_it_holds_at_an_entry_that_is_cut_off(self):
        self.start_load()
        leaving = self.backends[0]
        leaving.control(leaving=True)
        self.wait_until_all_log("backend_leaving", leaving)
        self.stop_load()
        self.store.control(mode="down")
        for other in self.fleet.entries[1:]:
            other.signal(signal.SIGSTOP)
            self.addCleanup(other.signal, signal.SIGCONT)
        before = self.arrivals(leaving)
        answers = collections.Counter()
        until = time.monotonic() + 3.0
        while time.monotonic() < until:
            answers[self.fleet.entries[0].send("/lots/x", attempt="cut-off:1").status] += 1
            time.sleep(0.005)
        self.assertEqual(self.arrivals(leaving), before)
        self.assertEqual(set(answers), {200})

    def test_next_incarnation_receives_requests_again(self):
        self.start_load()
        leaving = self.backends[0]
        leaving.control(leaving=True)
        self.wait_until_all_log("backend_leaving", leaving)
        leaving.control(leaving=False)
        leaving.born += 1000
        leaving.sequence = 0
        before = self.arrivals(leaving)
        leaving.report()
        wait_until(lambda: all(self.arrivals(leaving)[entry.name] > before[entry.name]
                               for entry in self.fleet.entries), 3, "all entries use the new incarnation")

    # Guards against requests to a server whose announcement counts only with a complete response.
    def test_it_holds_from_the_header_of_a_response(self):
        raw = RawBackend(self.store, "raw-1", mode="leaving_with_slow_body")
        self.addCleanup(raw.end)
        self.start_load()
        self.wait_until_all_log("backend_leaving", raw)
        time.sleep(0.2)
        arrived = len(raw.requests)
        time.sleep(1.5)
        self.assertEqual(len(raw.requests), arrived)

    # Guards against requests to a server that has announced it after a start under its id, before its record came.
    def test_it_holds_when_the_record_of_the_restarted_server_comes_after_it(self):
        self.start_load()
        leaving = self.backends[0]
        leaving.born, leaving.sequence = int(time.time() * 1000), 0
        leaving.control(leaving=True)
        self.wait_until_all_log("backend_leaving", leaving)
        time.sleep(DRAIN_SECONDS)
        leaving.report()
        self.assert_receives_nothing(leaving, 2.5, probes=False)
        self.assertEqual(set(self.answers), {200})

    def test_restarted_entry_learns_it_from_its_first_response(self):
        leaving = self.backends[0]
        leaving.control(leaving=True)
        restarted = self.fleet.start_entry(2)
        wait_until(lambda: restarted.send("/lots/x").status == 200, what="the entry serves")
        self.start_load()
        wait_until(lambda: restarted.lines("backend_leaving", backend="s-1"), 3, "the entry logs it")
        time.sleep(0.2)
        self.assert_receives_nothing(leaving, 1.0)

    def test_request_is_rejected_at_once_when_all_servers_are_leaving(self):
        entry = self.fleet.entries[0]
        for backend in self.backends:
            backend.control(leaving=True)
        wait_until(lambda: entry.send("/weigh/x", "POST").status == 503, 3, "requests are rejected")
        started_at = time.monotonic()
        answer = entry.send("/weigh/x", "POST", attempt="rejected")
        self.assertLess(time.monotonic() - started_at, 0.1)
        self.assertEqual((answer.status, answer.json["name"]), (503, "backends_withheld"))
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        # Lines are written by a thread of their own, which may run after the response.
        wait_until(lambda: entry.lines("request", id="rejected", backends_leaving=3, backends_paused=0), 3,
                   "the rejection is logged")


class Pausing(AnnouncementsTest):
    # Guards against requests to a server in the time for which it has asked for none.
    def test_few_requests_reach_a_server_in_its_pause_and_they_return_after_it(self):
        self.start_load()
        paused = self.backends[0]
        for _ in range(2):
            known = {entry.name: len(entry.lines("backend_paused", backend=paused.name))
                     for entry in self.fleet.entries}
            paused.control(mode="refuse", retry_after=str(PAUSE_SECONDS))
            for entry in self.fleet.entries:
                wait_until(lambda: len(entry.lines("backend_paused", backend=paused.name)) > known[entry.name], 5,
                           f"{entry.name} logs the pause")
            paused.control(mode="ok", retry_after="")
            # Pauses are asked for at different times; the time in which all of them are in force is checked.
            time.sleep(SENT_BEFORE_SECONDS)
            before = self.arrivals(paused)
            probes = paused.counts()["probes"]
            time.sleep(PAUSE_SECONDS - SENT_BEFORE_SECONDS - 0.8)
            after = self.arrivals(paused)
            for entry in self.fleet.entries:
                self.assertLessEqual(after[entry.name] - before[entry.name], MAX_REQUESTS_IN_PAUSE)
            self.assertLessEqual(paused.counts()["probes"] - probes, MAX_REQUESTS_IN_PAUSE)
            wait_until(lambda: all(self.arrivals(paused)[entry.name] > after[entry.name] + 5
                                   for entry in self.fleet.entries), 3, "the requests return")
        self.assertEqual(set(self.answers), {200})

    # Guards against a pause that ends with the record of the incarnation that has asked for it (soak, seed 7006).
    def test_pause_goes_on_when_the_record_of_the_restarted_server_comes_after_it(self):
        self.start_load()
        paused = self.backends[0]
        paused.born, paused.sequence = int(time.time() * 1000), 0
        paused.control(mode="refuse", retry_after="3")
        self.wait_until_all_log("backend_paused", paused)
        paused.control(mode="ok", retry_after="")
        time.sleep(SENT_BEFORE_SECONDS)
        paused.report()
        self.assert_receives_nothing(paused, 1.5)
        before = self.arrivals(paused)
        wait_until(lambda: all(self.arrivals(paused)[entry.name] > before[entry.name] + 5
                               for entry in self.fleet.entries), 4, "the requests return")
        self.assertEqual(set(self.answers), {200})

    def test_caller_is_told_when_to_return_if_all_servers_are_paused(self):
        entry = self.fleet.entries[0]
        for backend in self.backends:
            backend.control(mode="refuse", retry_after=str(PAUSE_SECONDS))
        wait_until(lambda: entry.send("/weigh/x", "POST").json["name"] == "backends_withheld", 3, "all are paused")
        arrived = sum(self.arrivals(backend).total() for backend in self.backends)
        delays = {"GET": [], "POST": []}
        started_at = time.monotonic()
        for number in range(30):
            for path, method in (("/lots/x", "GET"), ("/weigh/x", "POST")):
                answer = entry.send(path, method, attempt=f"{method}-{number}", deadline_ms=5000)
                self.assertEqual((answer.status, answer.json["name"]), (503, "backends_withheld"))
                delays[method].append(time.monotonic() - started_at + float(answer.headers["retry-after"]))
        self.assertEqual(sum(self.arrivals(backend).total() for backend in self.backends), arrived)
        # "lots" is more urgent: its callers return before those of "weigh", and not all at once.
        self.assertLess(max(delays["GET"]), min(delays["POST"]) + 0.02)
        self.assertGreater(max(delays["GET"]) - min(delays["GET"]), 0.05)
        for backend in self.backends:
            backend.control(mode="ok", retry_after="")
        time.sleep(max(0.0, started_at + min(delays["GET"]) + 0.05 - time.monotonic()))
        self.assertEqual(entry.send("/lots/x").status, 200)

    def test_invalid_pauses_are_logged_and_keep_nobody_from_the_server(self):
        entry = self.fleet.entries[0]
        invalid = self.backends[0]
        for value in ("-1", "inf", "nan", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"):
            invalid.control(mode="refuse", retry_after=value)
            wait_until(lambda: entry.send("/weigh/x", "POST").status and entry.lines(
                "announcement_invalid", backend="s-1", code="pause_invalid"), 3, f"{value} is logged")
            invalid.control(mode="ok", retry_after="")
            arrived = self.arrivals(invalid).total()
            wait_until(lambda: entry.send("/weigh/x", "POST").status and self.arrivals(invalid).total() > arrived, 3,
                       f"the server is used after {value}")
        self.assertEqual(entry.lines("backend_paused"), [])


class PausingOnlyServer(AnnouncementsTest):
    SERVERS = 1

    # Guards against "no backend" for the callers that wait for the first request after a pause.
    def test_others_are_told_to_wait_for_the_first_request_after_a_pause(self):
        entry, only = self.fleet.entries[0], self.backends[0]
        only.control(mode="refuse", retry_after="0.5")
        wait_until(lambda: entry.send("/lots/x").json["name"] == "backends_withheld", 3, "the server is paused")
        only.control(mode="answer_late", retry_after="", late_ms=400)
        time.sleep(0.7)
        first = threading.Thread(target=entry.send, args=("/lots/x",))
        first.start()
        time.sleep(0.1)
        answer = entry.send("/lots/x", attempt="other")
        self.assertEqual((answer.status, answer.json["name"]), (503, "backends_withheld"))
        self.assertLess(float(answer.headers["retry-after"]), 1.3)
        first.join()
        wait_until(lambda: entry.send("/lots/x").status == 200, 3, "the others follow")


if __name__ == "__main__":
    unittest.main()
