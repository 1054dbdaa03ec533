"""The store returns from an older copy: what it has acknowledged since is gone, and its offsets are given out again."""

import signal
import tempfile
import time
import unittest

from fleet import wait_until
from platformfleet import PlatformFleet, route

APPLY_SECONDS = 2.0
EVACUATE_SECONDS = 5.0
# The store has been stable for this long when the time bounds hold again.
STABLE_SECONDS = 3.0
# Servers whose records are gone register again within this time.
REGISTER_SECONDS = 2.0


class RestoredStore(unittest.TestCase):
    """Three entries, each in its own zone, and servers of two services in two zones."""

    ENTRIES = 3

    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=self.ENTRIES)
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store
        self.lots = [self.fleet.add_backend(f"lots-{zone}", zone=zone) for zone in ("zone-a", "zone-b")]
        self.desk = self.fleet.add_backend("desk-1", service="desk")
        self.put_version(5)
        self.fleet.wait_until_serving()
        time.sleep(1)

    def put_version(self, version, service="lots", **routes):
        self.store.put_config(version, {"moved": route("/lots/", service=service)} | routes)

    def copy(self):
        self.store.control(copy=True)

    def restore(self):
        """The store is away for a moment and returns from the copy."""
        self.store.control(mode="down")
        time.sleep(1)
        self.store.control(restore=True)
        self.store.control(mode="ok")

    def lose_versions(self, *versions):
        """Entries use versions that are lost with the copy; the operator writes the newest one again."""
        self.copy()
        for version in versions:
            self.put_version(version)
            time.sleep(1.5)
        self.restore()
        self.put_version(versions[-1])

    def service_of(self, entry, path="/lots/x"):
        """The service that runs a request, or the status of the entry's own response."""
        before = len(self.desk.counts()["arrivals"])
        status = entry.send(path).status
        if status != 200:
            return status
        return "desk" if len(self.desk.counts()["arrivals"]) > before else "lots"

    def assert_in_force(self, version, seconds=APPLY_SECONDS):
        """@p version moves the path to another service and adds a route."""
        self.put_version(version, service="desk", added=route("/added/"))
        time.sleep(seconds)
        seen = {entry.name: (self.service_of(entry), self.service_of(entry, "/added/x")) for entry in self.fleet.entries}
        self.assertEqual(seen, {entry.name: ("desk", "lots") for entry in self.fleet.entries})


class Configuration(RestoredStore):
    # Guards against a version that no entry uses, as its record stands where an earlier one was read before.
    def test_version_after_the_return_is_in_force(self):
        self.lose_versions(6, 7)
        time.sleep(2 * STABLE_SECONDS)
        self.assert_in_force(9)

    # Guards against an entry that follows the first return only.
    def test_version_after_two_returns_is_in_force(self):
        self.lose_versions(6, 7)
        time.sleep(0.5)
        self.lose_versions(8, 9, 10)
        time.sleep(STABLE_SECONDS)
        self.assert_in_force(12)

    # Guards against an entry that wakes up with an offset of the time before, or starts from the older copy.
    def test_entries_that_were_stopped_or_start_meanwhile_use_it(self):
        self.copy()
        self.put_version(6)
        self.put_version(7)
        time.sleep(1.5)
        self.fleet.entries[2].signal(signal.SIGSTOP)
        self.restore()
        self.fleet.entries[1].kill()
        self.fleet.start_entry(1)
        self.put_version(7)
        time.sleep(STABLE_SECONDS)
        self.fleet.entries[2].signal(signal.SIGCONT)
        wait_until(self.fleet.entries[1].ready, what="the new entry is ready", reporter=self.fleet.entries[1])
        time.sleep(STABLE_SECONDS)
        self.assert_in_force(9)

    # Guards against a version that goes back with the store, and comes again.
    def test_version_in_force_stays_while_the_store_has_an_older_one(self):
        self.copy()
        self.assert_in_force(6)
        self.restore()
        deadline = time.monotonic() + STABLE_SECONDS
        while time.monotonic() < deadline:
            self.assertEqual({self.service_of(entry) for entry in self.fleet.entries}, {"desk"})

    # Guards against entries that need an era: earlier stores do not tell one.
    def test_store_that_does_not_tell_its_era_is_followed(self):
        self.store.control(tell_era=False)
        for number in range(self.ENTRIES):
            self.fleet.start_entry(number)
        self.fleet.wait_until_serving()
        self.assert_in_force(6)

    def test_operators_see_the_return(self):
        self.lose_versions(6, 7)
        for entry in self.fleet.entries:
            wait_until(lambda: entry.lines("store_restored", era_from=1, era=2), APPLY_SECONDS, "it is logged", entry)
            self.assertEqual(len(entry.lines("store_restored")), 1)


class Evacuation(RestoredStore):
    """Entries are in zone-a and prefer its server."""

    def evacuate(self):
        self.store.write("keyed.op", "evacuate/zone-a", b"{}")

    def withdraw(self):
        self.store.write("keyed.op", "evacuate/zone-a", b"")

    def arrivals(self, requests=20):
        """Number of requests, of @p requests to each entry, that reach the server in zone-a."""
        before = len(self.lots[0].counts()["arrivals"])
        for entry in self.fleet.entries:
            for _ in range(requests):
                self.assertEqual(entry.send("/lots/x").status, 200)
        return len(self.lots[0].counts()["arrivals"]) - before

    def wait_until_evacuated(self):
        wait_until(lambda: self.arrivals(1) == 0, EVACUATE_SECONDS, "the zone is evacuated")

    # Guards against an evacuation that is ignored, as the one before ended at a later offset.
    def test_evacuation_after_the_return_is_obeyed(self):
        self.copy()
        self.evacuate()
        self.wait_until_evacuated()
        self.withdraw()
        wait_until(lambda: self.arrivals(1) > 0, EVACUATE_SECONDS, "the zone is used again")
        self.restore()
        time.sleep(2 * STABLE_SECONDS)
        self.evacuate()
        time.sleep(EVACUATE_SECONDS)
        self.assertEqual(self.arrivals(), 0)

    # Guards against requests in the zone before the operator has written its lost evacuation again.
    def test_lost_evacuation_holds_until_it_is_written_again(self):
        self.copy()
        self.evacuate()
        self.wait_until_evacuated()
        self.restore()
        deadline = time.monotonic() + STABLE_SECONDS
        while time.monotonic() < deadline:
            self.assertEqual(self.arrivals(1), 0)
        self.evacuate()
        time.sleep(EVACUATE_SECONDS)
        self.assertEqual(self.arrivals(), 0)

    # Guards against a zone that nobody uses again: the evacuation is in no store any more.
    def test_lost_evacuation_ends_if_it_is_not_written_again(self):
        self.copy()
        self.evacuate()
        self.wait_until_evacuated()
        self.restore()
        wait_until(lambda: self.arrivals(1) > 0, 2 * EVACUATE_SECONDS, "the zone is used again")


class Servers(RestoredStore):
    # Guards against requests that fail, or a server that gets none, because the store has forgotten its record.
    def test_server_that_registers_again_stays_in_use(self):
        self.copy()
        server = self.fleet.add_backend("lots-new", zone="zone-a")
        self.lots[0].remove()
        wait_until(lambda: server.counts()["arrivals"] or self.fleet.entries[0].send("/lots/x").status != 200,
                   what="the new server is used")
        self.restore()
        time.sleep(REGISTER_SECONDS - 1)
        server.sequence -= 1
        server.report()
        time.sleep(REGISTER_SECONDS)
        before = len(server.counts()["arrivals"])
        for entry in self.fleet.entries:
            for _ in range(20):
                self.assertEqual(entry.send("/lots/x").status, 200)
        self.assertGreater(len(server.counts()["arrivals"]), before)

    # Guards against requests to a server that has left, when the store has lost its last report.
    def test_draining_server_gets_no_requests_after_the_return(self):
        self.copy()
        self.lots[0].report(state="draining")
        time.sleep(APPLY_SECONDS)
        before = len(self.lots[0].counts()["arrivals"])
        self.restore()
        deadline = time.monotonic() + STABLE_SECONDS
        while time.monotonic() < deadline:
            for entry in self.fleet.entries:
                self.assertEqual(entry.send("/lots/x").status, 200)
        self.assertEqual(len(self.lots[0].counts()["arrivals"]), before)


class Members(unittest.TestCase):
    # Guards against entries that nobody finds any more without a seed: the store has lost their registrations.
    def test_entries_register_again(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        fleet = PlatformFleet(directory, entries=2, seeds=())
        self.addCleanup(fleet.end)
        fleet.store.control(copy=True)
        self.assertEqual(fleet.store.keys("keyed.members"), [])
        names = [entry.name for entry in fleet.entries]
        wait_until(lambda: fleet.store.keys("keyed.members") == names, what="the entries are registered")
        fleet.store.put_config(5, {"lots": route("/lots/")})
        time.sleep(APPLY_SECONDS)
        fleet.store.control(restore=True)
        wait_until(lambda: fleet.store.keys("keyed.members") == names, STABLE_SECONDS, "they are registered again")


if __name__ == "__main__":
    unittest.main()
