"""Cold servers of a service that limits the requests to them: the bound holds for the sum of all entries."""

import collections
import itertools
import tempfile
import threading
import time
import unittest

from fleet import ask, wait_until
from platformfleet import PlatformBackend, PlatformFleet, backend_report, route

RATE = 4.0
# Requests that a cold server may get in any one second: RATE x warmup_excess + warmup_slack, with the defaults.
BOUND = RATE * 1.5 + 8
# Time after its start in which an entry sends nothing to cold servers.
START_SECONDS = 3.0
# View age from which on an entry is out of contact, with time for the check of it.
OUTAGE_SECONDS = 2.5


def max_in_one_second(times_ms):
    times = sorted(times_ms)
    return max((sum(1 for later in times if first <= later <= first + 1000) for first in times), default=0)


class ColdServersTest(unittest.TestCase):
    SERVERS = 3
    SLOTS = 2
    RATE = RATE

    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=3)
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store
        self.backends = [self.fleet.add_backend(f"s-{number}", slots=self.SLOTS, service_ms=4)
                         for number in range(1, self.SERVERS + 1)]
        limit = {"warmup_s": 3.0, "warmup_per_s": self.RATE} if self.RATE else {}
        self.store.put_config(5, {"lots": route("/lots/"), "weigh": route("/weigh/", kind="unsafe")},
                              services={"lots": {"health_path": "/health", "max_conns": 220} | limit})
        self.fleet.wait_until_serving()
        time.sleep(START_SECONDS)
        self.answers = collections.Counter()
        self.callers = []
        self.loaded = True
        self.addCleanup(self.stop_load)

    def start_load(self):
        """
        Each entry gets 30 requests a second, of both kinds. With more, the probes that servers accept would not suffice
        for a probe before each request, and a server that turns cold would be known too late.
        """
        def call(entry, path, method, thread):
            for number in itertools.count():
                if not self.loaded:
                    return
                answer = entry.send(path, method, attempt=f"{entry.name}:{thread}:{number}")
                self.answers[answer.status] += 1
                time.sleep(0.12)

        kinds = itertools.cycle((("/lots/x", "GET"), ("/weigh/x", "POST")))
        for entry in self.fleet.entries:
            for thread, (path, method) in zip(range(4), kinds):
                self.callers.append(threading.Thread(target=call, args=(entry, path, method, thread)))
        for caller in self.callers:
            caller.start()

    def stop_load(self):
        self.loaded = False
        for caller in self.callers:
            caller.join()
        self.callers = []

    def turn_cold(self, seconds, backends=None):
        for backend in backends or self.backends:
            backend.control(warmup_ms=int(seconds * 1000))

    def cold_arrivals(self, backend):
        return backend.counts()["cold_arrivals"]

    def metric(self, entry, name):
        lines = ask(entry.api, "GET", "/metrics").body.decode().splitlines()
        return sum(float(line.split()[-1]) for line in lines if line.startswith(f"cardamomdeck_{name}{{"))

    def state(self, entry, name):
        servers = ask(entry.api, "GET", "/v1/fleet").json["backends"]
        return next((server["state"] for server in servers if server["name"] == name), None)

    def wait_until_all_know(self, entries, cold=None):
        """Probes at each of @p entries until it takes all servers to be cold."""
        for entry in entries:
            wait_until(lambda: entry.send("/lots/x").status and self.metric(entry, "backends_cold") == (
                cold or self.SERVERS), 3, f"{entry.name} knows the cold servers")


class UnderLoad(ColdServersTest):
    # Guards against the sum of what the entries send, with retries and hedges, to a server that turns cold.
    def test_server_that_turns_cold_gets_no_more_than_the_bound(self):
        self.start_load()
        time.sleep(1.0)
        cold = self.backends[0]
        for _ in range(3):
            before = len(self.cold_arrivals(cold))
            self.turn_cold(2.0, [cold])
            time.sleep(0.5)
            state = self.state(self.fleet.entries[0], "s-1")
            time.sleep(2.0)
            self.assertLessEqual(max_in_one_second(self.cold_arrivals(cold)[before:]), BOUND)
            self.assertEqual(state, "cold")
            arrived = len(cold.counts()["arrivals"])
            wait_until(lambda: len(cold.counts()["arrivals"]) > arrived + 20, 3, "the load returns to the server")
        self.stop_load()
        self.assertEqual(set(self.answers), {200})
        self.assertGreater(self.answers[200], 500)

    # Guards against attempts that are sent after a refusal without a permit of their own.
    def test_retries_count_when_cold_servers_refuse(self):
        self.start_load()
        time.sleep(0.5)
        self.turn_cold(3.0)
        for backend in self.backends:
            backend.control(mode="refuse")
        time.sleep(3.2)
        for backend in self.backends:
            self.assertLessEqual(max_in_one_second(self.cold_arrivals(backend)), BOUND)

    # Guards against a whole service that turns cold at once.
    def test_all_servers_turn_cold_at_once_get_work_and_recover(self):
        self.start_load()
        time.sleep(0.5)
        self.turn_cold(4.0)
        time.sleep(1.0)
        rejected = self.answers[503]
        time.sleep(3.2)
        self.assertGreater(self.answers[503], rejected + 50)
        for backend in self.backends:
            self.assertLessEqual(max_in_one_second(self.cold_arrivals(backend)), BOUND)
        self.assertGreater(sum(len(self.cold_arrivals(backend)) for backend in self.backends), 6)
        sent = sum(self.metric(entry, "cold_requests_total") for entry in self.fleet.entries)
        self.assertGreater(sent, 6)
        time.sleep(0.5)
        self.answers.clear()
        time.sleep(1.0)
        self.assertEqual(set(self.answers), {200})


class AllCold(ColdServersTest):
    # Guards against callers that wait until their deadline, or return all at once.
    def test_request_is_rejected_at_once_with_a_reason(self):
        entry = self.fleet.entries[0]
        self.turn_cold(5.0)
        self.wait_until_all_know([entry])
        delays = []
        for number in range(40):
            started_at = time.monotonic()
            answer = entry.send("/lots/x", attempt=f"r-{number}")
            if answer.status == 200:
                continue
            self.assertLess(time.monotonic() - started_at, 0.1)
            self.assertEqual((answer.status, answer.json["name"]), (503, "backends_withheld"))
            delays.append(float(answer.headers["retry-after"]))
        self.assertGreater(len(delays), 20)
        self.assertGreater(min(delays), 0)
        self.assertGreater(max(delays), 1.3 * min(delays))
        wait_until(lambda: entry.lines("request", outcome="backends_withheld", backends_cold=self.SERVERS), 3,
                   "the rejection is logged")
        self.assertGreater(self.metric(entry, "cold_requests_withheld_total"), 20)
        wait_until(lambda: entry.send("/lots/x").status == 200 and self.metric(entry, "backends_cold") == 0, 7,
                   "the service recovers")

    # Guards against an entry that has just started, and does not know yet how many entries there are.
    def test_entry_sends_nothing_to_cold_servers_just_after_its_start(self):
        self.turn_cold(6.0)
        started_at = time.monotonic()
        restarted = self.fleet.start_entry(2)
        wait_until(lambda: restarted.send("/lots/x").status == 503 and restarted.lines(
            "request", outcome="backends_withheld"), 3, "the entry knows the servers")
        before = sum(len(self.cold_arrivals(backend)) for backend in self.backends)
        while time.monotonic() < started_at + START_SECONDS - 0.1:
            self.assertEqual(restarted.send("/lots/x").status, 503)
            time.sleep(0.02)
        self.assertEqual(sum(len(self.cold_arrivals(backend)) for backend in self.backends), before)
        wait_until(lambda: restarted.send("/lots/x").status == 200, 2, "the entry has a permit")

    # Guards against entries out of contact, which may not know how many entries there are.
    def test_entry_out_of_contact_sends_nothing_to_cold_servers(self):
        self.store.control(mode="down")
        time.sleep(OUTAGE_SECONDS)
        for entry in self.fleet.entries:
            self.assertEqual(entry.send("/lots/x").status, 200)
        self.turn_cold(30.0)
        self.wait_until_all_know(self.fleet.entries)
        before = sum(len(self.cold_arrivals(backend)) for backend in self.backends)
        for _ in range(75):
            for entry in self.fleet.entries:
                self.assertEqual(entry.send("/lots/x").status, 503)
            time.sleep(0.02)
        self.assertEqual(sum(len(self.cold_arrivals(backend)) for backend in self.backends), before)
        self.store.control(mode="ok")
        # Far shorter than the warm-up: the permits return with the contact.
        wait_until(lambda: self.fleet.entries[0].send("/lots/x").status == 200, 6, "the entry has a permit")


class ByRecord(ColdServersTest):
    # Hardly any permits, so that nothing is sent to a cold server in the time of the test.
    RATE = 0.01

    # Guards against requests to a cold server that the entry has not probed yet.
    def test_record_counts_before_the_first_health_response(self):
        server = PlatformBackend(self.store, "s-new", self.directory)
        self.fleet.backends["s-new"] = server
        wait_until(lambda: ask(server.address, "GET", "/health").status == 200, what="s-new responds")
        record = backend_report(server.address, "lots")
        record["status"]["warmup_left_s"] = 5
        for other in self.backends:
            other.remove()
        self.store.write("keyed.servers", server.name, record)
        for entry in self.fleet.entries:
            wait_until(lambda: self.state(entry, "s-new") == "cold", 3, "the entry knows the record")
            wait_until(lambda: self.state(entry, "s-1") is None, 3, "the entry knows that the others are gone")
            self.assertEqual({entry.send("/lots/x").status for _ in range(20)}, {503})
        self.assertEqual(server.counts()["arrivals"], [])
        for entry in self.fleet.entries:
            wait_until(lambda: entry.send("/lots/x").status == 200, 7, "the warm-up ends")

    # Guards against a running server that turns cold again, which most entries learn from the reader of its record.
    def test_record_of_a_running_server_that_turns_cold_reaches_all_entries(self):
        server = self.backends[0]
        server.sequence += 1
        record = backend_report(server.address, "lots", sequence=server.sequence, born=server.born)
        record["status"]["warmup_left_s"] = 8
        self.store.write("keyed.servers", server.name, record)
        for entry in self.fleet.entries:
            wait_until(lambda: self.state(entry, "s-1") == "cold", 3, "the entry knows the record")


class WithoutLimit(ColdServersTest):
    RATE = 0

    # Guards against an effect on services without a rate.
    def test_cold_servers_are_used_as_before(self):
        self.turn_cold(3.0)
        self.start_load()
        time.sleep(2.5)
        self.stop_load()
        self.assertEqual(set(self.answers), {200})
        self.assertGreater(max(max_in_one_second(self.cold_arrivals(backend)) for backend in self.backends), 1.5 * BOUND)
        text = ask(self.fleet.entries[0].api, "GET", "/metrics").body.decode()
        self.assertNotIn("cold", text)
        self.assertEqual({self.state(self.fleet.entries[0], backend.name) for backend in self.backends}, {"ready"})


if __name__ == "__main__":
    unittest.main()
