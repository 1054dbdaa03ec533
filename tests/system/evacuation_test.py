"""Availability zones that are evacuated: no request reaches their servers, and requests return after it."""

import collections
import signal
import subprocess
import tempfile
import threading
import time
import unittest

from fleet import BIN, ask, wait_until
from platformfleet import PlatformFleet, route
from rawbackend import RawBackend

# Time from the acknowledgement of the record after which no request may reach a server of the zone.
EVACUATE_SECONDS = 5.0
# A rejection takes a few milliseconds; requests that waited for their deadline would take 2 s.
MAX_REJECTION_SECONDS = 0.5


class EvacuationTest(unittest.TestCase):
    """Entries are in zone-a and prefer its servers; they use those of zone-b when there are no others."""

    ENTRIES = 3

    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=self.ENTRIES)
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store
        self.zones = {zone: [self.fleet.add_backend(f"{zone[-1]}-{number}", zone=zone) for number in (1, 2)]
                      for zone in ("zone-a", "zone-b")}
        self.store.put_config(5, {"lots": route("/lots/"), "weigh": route("/weigh/", kind="unsafe", priority=3)})
        self.fleet.wait_until_serving()
        self.answers = collections.Counter()
        self.slowest_rejection = 0.0
        self.callers = []
        self.loaded = False
        self.addCleanup(self.stop_load)

    def start_load(self):
        """Each entry gets requests of both kinds all the while."""
        def call(number, path, method):
            sequence = 0
            while self.loaded:
                sequence += 1
                started_at = time.monotonic()
                answer = self.fleet.entries[number].send(path, method, attempt=f"{number}:{method}{sequence}")
                self.answers[answer.status] += 1
                if answer.status == 503:
                    self.slowest_rejection = max(self.slowest_rejection, time.monotonic() - started_at)
                time.sleep(0.005)

        self.loaded = True
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

    def evacuate(self, zone, value=b"{}"):
        """Returns the time of the acknowledgement."""
        self.store.write("keyed.op", f"evacuate/{zone}", value)
        return time.monotonic()

    def withdraw(self, zone):
        self.store.write("keyed.op", f"evacuate/{zone}", b"")

    def wait_until_all_log(self, event, **fields):
        for entry in self.fleet.entries:
            wait_until(lambda: entry.lines(event, **fields), EVACUATE_SECONDS, f"{entry.name} logs {event}", entry)

    def arrivals(self, zone):
        """Times of the monotonic clock, in seconds, at which requests have reached servers of @p zone."""
        return [at_ms / 1000 for backend in self.zones[zone] for _, at_ms, _ in backend.counts()["arrivals"]]

    def probes(self, zone):
        return sum(backend.counts()["probes"] for backend in self.zones[zone])

    def assert_receives_nothing(self, zone, seconds):
        before = len(self.arrivals(zone)), self.probes(zone)
        time.sleep(seconds)
        self.assertEqual((len(self.arrivals(zone)), self.probes(zone)), before)

    def wait_until_used(self, zone):
        before = len(self.arrivals(zone))
        wait_until(lambda: len(self.arrivals(zone)) > before + 10, EVACUATE_SECONDS, f"requests return to {zone}")


class OneZone(EvacuationTest):
    # Guards against requests in an evacuated zone, and against a zone that nobody uses again.
    def test_requests_stop_in_time_and_return_after_it(self):
        self.start_load()
        self.wait_until_used("zone-a")
        acknowledged_at = self.evacuate("zone-a")
        self.wait_until_all_log("zone_evacuated", zone="zone-a", offset=1, in_settings="true")
        time.sleep(0.2)
        self.assert_receives_nothing("zone-a", max(1.5, acknowledged_at + EVACUATE_SECONDS + 1.0 - time.monotonic()))
        last_arrival = max(self.arrivals("zone-a"))
        print(f"last request {last_arrival - acknowledged_at:.3f} s after the acknowledgement")
        self.assertLess(last_arrival, acknowledged_at + EVACUATE_SECONDS)
        self.assertTrue(any(entry.lines("zone_evacuated", source="store") for entry in self.fleet.entries))
        self.assertTrue(any(entry.lines("zone_evacuated", source="entry-") for entry in self.fleet.entries))
        self.withdraw("zone-a")
        self.wait_until_used("zone-a")
        self.wait_until_all_log("zone_returned", zone="zone-a", offset=2)
        self.stop_load()
        self.assertEqual(set(self.answers), {200})
        for entry in self.fleet.entries:
            self.assertEqual(len(entry.lines("zone_evacuated")), 1)
            self.assertEqual(len(entry.lines("zone_returned")), 1)

    def test_operators_see_it(self):
        entry = self.fleet.entries[0]

        def metrics():
            return ask(entry.api, "GET", "/metrics").body.decode()

        def tool():
            return subprocess.run([BIN / "cardamomctl", f"--api={entry.api}", "fleet"], capture_output=True, text=True,
                                  timeout=20).stdout

        self.assertNotIn("zone_evacuated", metrics())
        self.evacuate("zone-a")
        wait_until(lambda: 'cardamomdeck_zone_evacuated{zone="zone-a"} 1' in metrics(), EVACUATE_SECONDS, "the metric")
        fleet = ask(entry.api, "GET", "/v1/fleet").json
        self.assertEqual(fleet["evacuated_zones"], [{"zone": "zone-a", "offset": 1}])
        states = {backend["name"]: backend["state"] for backend in fleet["backends"]}
        self.assertEqual(states, {"a-1": "evacuated", "a-2": "evacuated", "b-1": "ready", "b-2": "ready"})
        self.assertIn('zone "zone-a" evacuated, offset 1', tool())
        self.withdraw("zone-a")
        wait_until(lambda: 'cardamomdeck_zone_evacuated{zone="zone-a"} 0' in metrics(), EVACUATE_SECONDS, "the metric")
        self.assertEqual(ask(entry.api, "GET", "/v1/fleet").json["evacuated_zones"], [])

    # Guards against retries and hedges in an evacuated zone. The zone receives them without an evacuation.
    def test_retries_and_hedges_stay_out_of_it(self):
        entry = self.fleet.entries[0]
        only, removed = self.zones["zone-a"]
        removed.remove()
        for mode, status in (("answer_late", 200), ("cut", 502)):
            only.control(mode=mode, late_ms=500)
            before = len(self.arrivals("zone-b"))
            wait_until(lambda: entry.send("/lots/x").status and len(self.arrivals("zone-b")) > before, 5,
                       f"zone-b is used in the mode {mode}")
            self.evacuate("zone-b")
            wait_until(lambda: ask(entry.api, "GET", "/v1/fleet").json["evacuated_zones"], EVACUATE_SECONDS,
                       "the evacuation is known")
            before = len(self.arrivals("zone-b"))
            answers = {entry.send("/lots/x", attempt=f"{mode}-{number}").status for number in range(10)}
            after = len(self.arrivals("zone-b"))
            self.withdraw("zone-b")
            wait_until(lambda: not ask(entry.api, "GET", "/v1/fleet").json["evacuated_zones"], EVACUATE_SECONDS,
                       "the end is known")
            only.control(mode="ok")
            with self.subTest(mode=mode):
                self.assertEqual(answers, {status})
                self.assertEqual(after, before)

    # Guards against the probes of servers that have started again, which no request precedes.
    def test_restarted_server_is_probed_only_after_it(self):
        restarted = self.zones["zone-a"][0]
        restarted.born, restarted.sequence = int(time.time() * 1000), 0
        restarted.control(leaving=True)
        self.start_load()
        self.wait_until_all_log("backend_leaving", backend="a-1")
        self.stop_load()
        self.evacuate("zone-a")
        self.wait_until_all_log("zone_evacuated", zone="zone-a")
        restarted.report()
        time.sleep(0.2)
        self.assert_receives_nothing("zone-a", 3.5)
        self.assertEqual([line for entry in self.fleet.entries for line in entry.lines("backend_probed_first")], [])
        self.withdraw("zone-a")
        self.wait_until_all_log("backend_probed_first", backend="a-1")

    # Guards against a request that is sent by a decision from before a pause of the process.
    def test_request_in_the_middle_of_an_attempt_is_not_sent_after_a_pause(self):
        entry = self.fleet.entries[0]
        raw = RawBackend(self.store, "raw-a", service="desk")
        self.addCleanup(raw.end)
        self.store.put_config(6, {"lots": route("/lots/"), "desk": route("/desk/", "desk", kind="unsafe", timeout=9.0)})
        wait_until(lambda: entry.send("/desk/x", "POST").status == 200, 5, "the server is used")
        raw.health_delay = 1.0
        answers = []
        for number in range(20):
            request_id, probes = f"paused-{number}", raw.probes
            caller = threading.Thread(target=lambda name=request_id: answers.append(
                entry.send("/desk/x", "POST", b"1", attempt=name, deadline_ms=9000)))
            caller.start()
            wait_until(lambda: raw.probes > probes or not caller.is_alive(), 5, "the server is probed")
            # The entry waits 60 ms for the probe; the pause must begin before their end.
            entry.signal(signal.SIGSTOP)
            time.sleep(0.1)
            if request_id not in raw.requests:
                break
            entry.signal(signal.SIGCONT)
            caller.join()
        self.assertNotIn(request_id, raw.requests)
        self.evacuate("zone-a")
        time.sleep(3.0)
        entry.signal(signal.SIGCONT)
        caller.join()
        self.assertNotIn(request_id, raw.requests)
        self.assertEqual((answers[-1].status, answers[-1].json["name"]), (503, "backends_withheld"))


class AllZones(EvacuationTest):
    # Guards against requests that wait for their deadline because no server may be asked.
    def test_requests_are_rejected_at_once_and_callers_return_spread(self):
        entry = self.fleet.entries[0]
        self.start_load()
        for zone in self.zones:
            self.evacuate(zone)
        self.wait_until_all_log("zone_evacuated", zone="zone-a")
        self.wait_until_all_log("zone_evacuated", zone="zone-b")
        time.sleep(0.2)
        for zone in self.zones:
            self.assert_receives_nothing(zone, 0.7)
        delays = []
        for number in range(40):
            started_at = time.monotonic()
            answer = entry.send("/lots/x", attempt=f"rejected-{number}")
            self.assertLess(time.monotonic() - started_at, MAX_REJECTION_SECONDS)
            self.assertEqual((answer.status, answer.json["name"]), (503, "backends_withheld"))
            delays.append(float(answer.headers["retry-after"]))
        self.assertGreater(min(delays), 0)
        self.assertGreater(max(delays) - min(delays), 0.1)
        wait_until(lambda: entry.lines("request", id="rejected-0", outcome="backends_withheld", backends_evacuated=4), 3,
                   "the rejection is logged with its reason")
        self.withdraw("zone-b")
        self.wait_until_used("zone-b")
        self.stop_load()
        self.assertEqual(set(self.answers), {200, 503})
        self.assertLess(self.slowest_rejection, MAX_REJECTION_SECONDS)


class StartsAndOutages(EvacuationTest):
    def assert_new_entry_obeys(self, number):
        before = len(self.arrivals("zone-a"))
        entry = self.fleet.start_entry(number)
        wait_until(lambda: entry.send("/lots/x").status == 200, what="the new entry serves", reporter=entry)
        for request in range(20):
            self.assertEqual(entry.send("/lots/x", attempt=f"new-{request}").status, 200)
        self.assertEqual(len(self.arrivals("zone-a")), before)
        return entry

    # Guards against an entry that starts without the evacuation: from its peers, from the store, after a deleted history.
    def test_entry_that_starts_obeys_from_its_first_request(self):
        self.evacuate("zone-a")
        self.wait_until_all_log("zone_evacuated", zone="zone-a")
        time.sleep(0.2)
        self.fleet.entries[2].kill()
        self.assert_new_entry_obeys(2)
        self.store.control(compact=True)
        for entry in self.fleet.entries:
            entry.kill()
        for number in range(3):
            self.assert_new_entry_obeys(number)
        self.withdraw("zone-a")
        self.start_load()
        self.wait_until_used("zone-a")

    def test_it_holds_while_the_store_is_away(self):
        self.start_load()
        self.evacuate("zone-a")
        self.wait_until_all_log("zone_evacuated", zone="zone-a")
        self.store.control(mode="down")
        time.sleep(0.2)
        self.assert_receives_nothing("zone-a", 4.0)
        self.stop_load()
        self.fleet.entries[1].kill()
        self.assert_new_entry_obeys(1)
        self.store.control(mode="ok")
        self.start_load()
        self.assert_receives_nothing("zone-a", 2.0)
        self.withdraw("zone-a")
        self.wait_until_used("zone-a")
        self.stop_load()
        self.assertEqual(set(self.answers), {200})

    # Guards against a removal that is lost with the history of the topic.
    def test_listing_ends_an_evacuation_whose_removal_was_deleted(self):
        self.evacuate("zone-a")
        self.wait_until_all_log("zone_evacuated", zone="zone-a")
        for entry in self.fleet.entries:
            entry.signal(signal.SIGSTOP)
        self.withdraw("zone-a")
        self.store.control(compact=True)
        for entry in self.fleet.entries:
            entry.signal(signal.SIGCONT)
        self.start_load()
        self.wait_until_used("zone-a")


class OddRecords(EvacuationTest):
    ENTRIES = 2

    def test_unreadable_values_evacuate_and_foreign_keys_are_logged(self):
        self.store.write("keyed.op", b"evacuate/", b"{}")
        self.store.write("keyed.op", b"evacuate/\xff\xfe", b"{}")
        self.store.write("keyed.op", b"evacuate/" + b"z" * 246, b"{}")
        self.evacuate("zone-a", b"\x00\xff not json")
        self.wait_until_all_log("zone_evacuated", zone="zone-a")
        self.assertTrue(any(entry.lines("record_rejected", key="evacuate/") for entry in self.fleet.entries))
        self.start_load()
        time.sleep(0.2)
        self.assert_receives_nothing("zone-a", 1.0)
        # A listing reads the same as the records one after the other.
        self.store.control(compact=True)
        self.evacuate("zone-b", b"[" * 5000)
        self.wait_until_all_log("zone_evacuated", zone="zone-b")
        time.sleep(0.2)
        self.assert_receives_nothing("zone-a", 1.0)
        for entry in self.fleet.entries:
            self.assertEqual(ask(entry.api, "GET", "/v1/fleet").status, 200)
            self.assertEqual(ask(entry.api, "GET", "/metrics").status, 200)

    def test_unknown_zone_is_kept_and_logged(self):
        self.start_load()
        self.evacuate("zone-x")
        self.wait_until_all_log("zone_evacuated", zone="zone-x", in_settings="false")
        self.wait_until_used("zone-a")
        for entry in self.fleet.entries:
            zones = ask(entry.api, "GET", "/v1/fleet").json["evacuated_zones"]
            self.assertEqual([zone["zone"] for zone in zones], ["zone-x"])
        self.stop_load()
        self.assertEqual(set(self.answers), {200})


if __name__ == "__main__":
    unittest.main()
