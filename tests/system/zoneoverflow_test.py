"""Requests that leave the availability zone of their entry, with and without zone_overflow."""

import concurrent.futures
import re
import signal
import subprocess
import tempfile
import time
import unittest

from fleet import BIN, ask, wait_until
from platformfleet import PlatformEntry, PlatformFleet, route

SERVICE_MS = 100
SLOTS = 4


class ZoneEntry(PlatformEntry):
    """An entry of zone-a or zone-b by its number, with flags for zone_overflow."""

    def metric(self, name, **labels):
        """The sum of all samples of a metric with these labels."""
        total = 0.0
        for line in ask(self.api, "GET", "/metrics").body.decode().splitlines():
            found = re.fullmatch(rf"cardamomdeck_{name}(?:{{(.*)}})? (\S+)", line)
            if found and all(f'{key}="{value}"' in (found[1] or "") for key, value in labels.items()):
                total += float(found[2])
        return total


class ZoneFleet(PlatformFleet):
    """Two entries in each of two zones."""

    def __init__(self, directory, flags):
        self.flags = flags
        super().__init__(directory, entries=4)

    def start_entry(self, number):
        zone = "zone-a" if number < 2 else "zone-b"
        entry = ZoneEntry(f"entry-{number}", self.directory, self.store, f"127.0.1.{number + 1}", self.ports,
                          seeds=self.seeds, zone=zone, flags=self.flags)
        self.entries.append(entry)
        return entry


class ZoneOverflowTest(unittest.TestCase):
    FLAGS = ("--zone_overflow=on",)

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = ZoneFleet(directory, self.FLAGS)
        self.addCleanup(self.fleet.end)
        self.backends = {name: self.fleet.add_backend(name, slots=SLOTS, service_ms=SERVICE_MS, zone=f"zone-{name[0]}")
                         for name in ("a-1", "a-2", "b-1", "b-2")}
        self.fleet.store.put_config(5, {"lots": route("/lots/", timeout=3.0),
                                        "weigh": route("/weigh/", kind="unsafe", timeout=3.0)})
        self.fleet.wait_until_serving()
        self.home, self.other = self.fleet.entries[0], self.fleet.entries[2]

    def load(self, callers, seconds, entries):
        """Lets @p callers send requests one after the other; returns the numbers of answers by status."""
        end = time.monotonic() + seconds
        statuses = {}

        def call(number):
            entry = entries[number % len(entries)]
            while time.monotonic() < end:
                status = entry.send("/lots/x", attempt=f"{number}-{time.monotonic()}", deadline_ms=3000).status
                statuses[status] = statuses.get(status, 0) + 1

        with concurrent.futures.ThreadPoolExecutor(callers) as pool:
            list(pool.map(call, range(callers)))
        return statuses

    def left(self, **labels):
        return sum(entry.metric("zone_left_requests_total", **labels) for entry in self.fleet.entries[:2])

    def arrived(self, zone):
        return sum(len(backend.counts()["arrivals"]) for name, backend in self.backends.items() if name[0] == zone)

    def tool(self):
        return subprocess.run([BIN / "cardamomctl", f"--api={self.home.api}", "fleet"], capture_output=True, text=True,
                              timeout=20).stdout


class On(ZoneOverflowTest):
    # Guards against traffic between zones that nobody needs.
    def test_zone_with_free_servers_keeps_its_requests(self):
        before = self.arrived("b")
        statuses = self.load(2, 3, self.fleet.entries[:2])
        self.assertEqual(set(statuses), {200})
        self.assertEqual((self.left(), self.arrived("b")), (0, before))
        self.assertEqual(self.home.metric("zone_overflow_service_share"), 0)

    # Guards against a busy zone whose callers wait beside a free one, and against help without end.
    def test_busy_zone_sends_a_part_away_and_keeps_its_requests_afterwards(self):
        before = {zone: self.arrived(zone) for zone in "ab"}
        statuses = self.load(16, 8, self.fleet.entries[:2])
        self.assertGreater(statuses[200], 0.95 * sum(statuses.values()))
        arrived = {zone: self.arrived(zone) - count for zone, count in before.items()}
        left = self.left(zone="zone-b", reason="shortage")
        self.assertGreater(left, 0.05 * arrived["a"])
        # Not all requests leave at once: the own servers remain in use.
        self.assertGreater(arrived["a"], arrived["b"])
        self.assertGreater(sum(entry.metric("zone_overflow_share", zone="zone-b", rule="lots")
                               for entry in self.fleet.entries[:2]), 0)
        self.assertGreater(sum(entry.metric("zone_left_bytes_total") for entry in self.fleet.entries[:2]), 0)
        started = [line for entry in self.fleet.entries[:2] for line in entry.lines("zone_overflow_started")]
        for part in ("service=lots", "zone=zone-a", "home=", "zone-b:", "age_ms="):
            self.assertIn(part, started[0])
        # The entries learn of the end from the mean over the probes of the last second, and from their peers' reports.
        self.load(2, 2, self.fleet.entries[:2])
        left = self.left()
        statuses = self.load(2, 3, self.fleet.entries[:2])
        self.assertEqual(set(statuses), {200})
        self.assertLessEqual(self.left() - left, 0.02 * sum(statuses.values()))
        wait_until(lambda: any(entry.lines("zone_overflow_ended") for entry in self.fleet.entries[:2]), 40,
                   "the share returns to 0")

    # Guards against an entry that learns of the load of another zone only after it has sent requests there.
    def test_load_of_other_zone_is_known_from_heartbeats(self):
        self.load(2, 2, self.fleet.entries[2:])

        def knows():
            services = ask(self.home.api, "GET", "/v1/fleet").json["zone_overflow"]["services"]
            return any("age_ms" in service["zones"].get("zone-b", "") for service in services)

        wait_until(knows, 2, "the report of the other zone arrives")
        self.assertEqual(self.left(), 0)
        self.assertIn("zone_overflow on cross_zone_cost_per_mb_ms 400", self.tool())

    # Guards against callers that are rejected because no server of their zone is left.
    def test_zone_without_servers_leaves_with_everything(self):
        for name in ("a-1", "a-2"):
            self.backends[name].report("draining")
        wait_until(lambda: self.home.send("/lots/x").headers.get("server-seal", "").startswith("b-"), 5,
                   "the other zone serves")
        time.sleep(0.5)
        before = self.arrived("a")
        statuses = self.load(4, 2, self.fleet.entries[:2])
        self.assertEqual((set(statuses), self.arrived("a")), ({200}, before))
        self.assertGreater(self.left(reason="no_server"), 0)

    # Guards against requests that wait for servers of their zone that don't respond any more.
    def test_zone_whose_servers_do_not_respond_is_left(self):
        for name in ("a-1", "a-2"):
            self.backends[name].signal(signal.SIGSTOP)
            self.addCleanup(self.backends[name].signal, signal.SIGCONT)
        # An unsafe request is not sent again, so each one that is sent to a stopped server is lost.
        statuses = [self.home.send("/weigh/x", "POST", attempt=f"stopped-{number}", deadline_ms=1500).status
                    for number in range(10)]
        self.assertEqual(statuses, [200] * 10)
        self.assertGreater(self.left(reason="no_server"), 0)


class Off(ZoneOverflowTest):
    FLAGS = ()

    # Guards against a change of fleets that do not use the feature.
    def test_busy_zone_leaves_as_before_and_no_state_is_kept(self):
        before = self.arrived("b")
        self.load(16, 3, self.fleet.entries[:2])
        self.assertGreater(self.arrived("b"), before)
        for entry in self.fleet.entries:
            text = ask(entry.api, "GET", "/metrics").body.decode()
            self.assertNotIn("zone_left", text)
            self.assertNotIn("zone_overflow", text)
            self.assertEqual(entry.lines("zone_overflow_started"), [])
        overflow = ask(self.home.api, "GET", "/v1/fleet").json["zone_overflow"]
        self.assertEqual(overflow, {"mode": "off", "cross_zone_cost_per_mb_ms": 400.0, "services": []})
        self.assertIn("zone_overflow off", self.tool())


class Flags(unittest.TestCase):
    def test_invalid_flags_are_rejected_at_start(self):
        for flag, text in (("--zone_overflow=maybe", "zone_overflow must be on or off"),
                           ("--cross_zone_cost_per_mb_ms=-1", "cross_zone_cost_per_mb_ms must be from 0 to 100000"),
                           ("--cross_zone_cost_per_mb_ms=nan", "cross_zone_cost_per_mb_ms must be from 0 to 100000")):
            result = subprocess.run([BIN / "cardamomdeckd", "--settings=/nowhere.toml", flag], capture_output=True,
                                    text=True, timeout=20)
            self.assertEqual(result.returncode, 2)
            self.assertIn(text, result.stderr)
            self.assertRegex(result.stderr, r"code=\d+")


if __name__ == "__main__":
    unittest.main()
