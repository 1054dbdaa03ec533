"""Consistency of the configuration with store outages, delays, expired records and concurrent changes."""

import json
import signal
import subprocess
import threading
import time
import unittest

from fleet import BIN, Fleet, ask, wait_until

IN_FORCE_SECONDS = 4.0


class InstalledVersionMonitor(threading.Thread):
    """Polls the installed configuration version of every entry and records the versions in order."""

    def __init__(self, entries):
        super().__init__(daemon=True)
        self._entries = entries
        self._stop_event = threading.Event()
        self.installed = {entry.name: [] for entry in entries}

    def run(self):
        while not self._stop_event.is_set():
            for entry in self._entries:
                if entry.child.poll() is None:
                    status = entry.status()
                    if status:
                        self.installed[entry.name].append(status["installed"])
            time.sleep(0.02)

    def finish(self):
        self._stop_event.set()
        self.join(timeout=30)
        return self.installed


def served_by(entry, path="/lots"):
    """Returns the name of the backend server that responds, or the outcome if the request fails."""
    answer = ask(entry.traffic, "GET", path, timeout=5)
    return answer.json["backend"] if answer.status == 200 else answer.outcome


class FleetTest(unittest.TestCase):
    ENTRIES = 5

    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.fleet.start_log(ports=self.ENTRIES + 1)
        self.backends = [self.fleet.start_backend(f"lots-{i}") for i in range(3)]
        self.entries = [self.fleet.start_entry(f"entry-{i}", port=i, zone=f"zone-{i % 3}", extra=self.extra_arguments())
                        for i in range(self.ENTRIES)]
        self.fleet.define_service(self.entries[0], "lots", self.backends)
        # The tests move a rule between two services; the backend server of a response shows which version is in force.
        self.old = self.fleet.start_backend("old-1")
        self.new = self.fleet.start_backend("new-1")
        self.fleet.define_service(self.entries[0], "old", [self.old])
        self.fleet.define_service(self.entries[0], "new", [self.new])
        result = self.route_to("old", self.entries[0])
        self.wait_in_force(result.json["version"], self.entries)

    def extra_arguments(self):
        return ()

    def route_to(self, service, entry, version=None, change_id=None):
        return entry.put("rules", "moved", {"path_prefix": "/moved", "service": service}, version, change_id)

    def wait_in_force(self, version, entries, seconds=IN_FORCE_SECONDS):
        for entry in entries:
            wait_until(lambda: entry.status().get("installed", 0) >= version, seconds, f"{version} at {entry.name}")


class ChangesReachEveryEntry(FleetTest):
    def test_change_accepted_by_one_entry_is_in_force_everywhere(self):
        result = self.route_to("new", self.entries[3])
        self.assertEqual((result.status, result.json["accepted"]), (200, True))
        self.wait_in_force(result.json["version"], self.entries)
        wait_until(lambda: self.entries[1].condition("rules", "moved", "in_force_everywhere").get("status"),
                   IN_FORCE_SECONDS, "condition in_force_everywhere")
        for entry in self.entries:
            self.assertEqual(served_by(entry, "/moved"), "new-1")

    def test_concurrent_changes_accept_one_and_report_version_conflict(self):
        for round_number in range(5):
            version = self.entries[0].resource("rules", "moved")["version"]
            results = {}

            def change(service, entry):
                results[service] = self.route_to(service, entry, version)

            threads = [threading.Thread(target=change, args=("old", self.entries[1])),
                       threading.Thread(target=change, args=("new", self.entries[4]))]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            statuses = sorted(result.status for result in results.values())
            self.assertEqual(statuses, [200, 409], (round_number, [r.body for r in results.values()]))
            accepted_service = next(service for service, result in results.items() if result.status == 200)
            rejected_result = next(result for result in results.values() if result.status == 409)
            self.assertEqual(rejected_result.json["code"], 202)
            self.wait_in_force(results[accepted_service].json["version"] + 1, self.entries)
            self.assertEqual({served_by(entry, "/moved") for entry in self.entries}, {f"{accepted_service}-1"})

    def test_change_is_idempotent_when_store_response_is_lost(self):
        version = self.entries[0].resource("rules", "moved")["version"]
        self.fleet.log_control(2, mode="lose_answers")
        result = self.route_to("new", self.entries[2], version, change_id="operator-7")
        self.fleet.log_control(2, mode="ok")
        self.assertEqual(result.status, 200, result.body)
        repeated = self.route_to("new", self.entries[0], version, change_id="operator-7")
        self.assertEqual((repeated.status, repeated.json["version"]), (200, result.json["version"]))
        self.assertEqual(self.entries[0].resource("rules", "moved")["generation"], 2)

    def test_duplicate_record_does_not_restore_older_value(self):
        first = self.route_to("new", self.entries[0], change_id="operator-8")
        records = ask(self.fleet.log_addresses[0], "GET", f"/streams/config/records?from={first.json['version']}").json
        self.assertEqual(self.route_to("old", self.entries[1]).status, 200)
        # Appends the record a second time, as an entry does that retries after a late response.
        ask(self.fleet.log_addresses[0], "POST", "/streams/config/records", records["records"][0]["data"])
        last = self.route_to("old", self.entries[2])
        self.wait_in_force(last.json["version"], self.entries)
        self.assertEqual(self.entries[0].resource("rules", "moved")["generation"], 4)
        self.assertEqual({served_by(entry, "/moved") for entry in self.entries}, {"old-1"})

    def test_watch_resumes_from_version_and_reports_each_change(self):
        version = self.entries[0].status()["applied"]
        process = subprocess.Popen(
            [BIN / "cardamomctl", f"--api={self.entries[4].api}", f"--from={version}", "--json", "watch"],
            stdout=subprocess.PIPE, text=True)
        result = self.route_to("new", self.entries[1])
        output, _ = process.communicate(timeout=15)
        event = json.loads(output)
        self.assertEqual(event["version"], result.json["version"])
        self.assertEqual([item["name"] for item in event["changed"]], ["moved"])
        self.assertEqual(event["changed"][0]["spec"]["service"], "new")

    def test_deleted_rule_is_removed_everywhere(self):
        answer = ask(self.entries[0].api, "DELETE", "/v1/rules/moved")
        self.assertEqual(answer.status, 200)
        self.wait_in_force(answer.json["version"], self.entries)
        self.assertEqual({ask(entry.traffic, "GET", "/moved").status for entry in self.entries}, {404})


class StoreFailures(FleetTest):
    def test_store_outage_keeps_current_configuration_and_defers_changes(self):
        self.fleet.all_logs(mode="down")
        wait_until(lambda: not any(entry.status()["store_reachable"] for entry in self.entries),
                   what="all entries report the outage")
        time.sleep(4)
        for entry in self.entries:
            self.assertEqual(served_by(entry, "/moved"), "old-1")
        refused = self.route_to("new", self.entries[0], change_id="during-outage")
        self.assertEqual((refused.status, refused.json["code"]), (202, 207))
        self.fleet.all_logs(mode="ok")
        retried = self.route_to("new", self.entries[1], change_id="during-outage")
        self.assertEqual(retried.status, 200)
        self.wait_in_force(retried.json["version"], self.entries)

    def test_an_entry_cut_from_the_store_gets_changes_from_its_peers(self):
        self.fleet.log_control(1, mode="down")
        result = self.route_to("new", self.entries[0])
        self.assertEqual(result.status, 200)
        self.wait_in_force(result.json["version"], self.entries)
        self.assertEqual(served_by(self.entries[1], "/moved"), "new-1")

    def test_slow_store_delays_acceptance_but_not_propagation(self):
        self.fleet.all_logs(delay_ms=600)
        result = self.route_to("new", self.entries[2])
        self.assertEqual(result.status, 200, result.body)
        self.wait_in_force(result.json["version"], self.entries)

    def test_new_entry_bootstraps_from_peers_during_store_outage(self):
        self.fleet.all_logs(mode="down")
        wait_until(lambda: not any(entry.status()["store_reachable"] for entry in self.entries),
                   what="all entries report the outage")
        new_entry = self.fleet.start_entry("entry-9", port=self.ENTRIES, wait=False)
        wait_until(lambda: served_by(new_entry, "/moved") == "old-1", 10, "the new entry serves")
        self.assertFalse(new_entry.status()["member"])
        self.fleet.all_logs(mode="ok")
        wait_until(lambda: new_entry.status().get("member"), 10, "the new entry joins")


class StoreRetention(FleetTest):
    def extra_arguments(self):
        return ("--snapshot_every=5",)

    def test_entry_paused_past_retention_resumes_without_reverting(self):
        paused_entry = self.entries[4]
        paused_entry.signal(signal.SIGSTOP)
        for i in range(12):
            result = self.route_to("new" if i % 2 else "old", self.entries[0])
            self.assertEqual(result.status, 200)
        wait_until(lambda: self.fleet.log_control(0)["streams"].get("snapshots", {}).get("next", 1) > 1, 10,
                   "a snapshot is written")
        time.sleep(1)
        self.fleet.log_control(0, retain=2)
        paused_entry.signal(signal.SIGCONT)
        self.wait_in_force(result.json["version"], [paused_entry])
        self.assertEqual(served_by(paused_entry, "/moved"), "new-1")

    def test_a_fresh_entry_starts_from_a_snapshot_when_the_records_have_expired(self):
        for i in range(12):
            self.route_to("new" if i % 2 else "old", self.entries[0])
        wait_until(lambda: self.fleet.log_control(0)["streams"].get("snapshots", {}).get("next", 1) > 1, 10,
                   "a snapshot is written")
        time.sleep(1)
        self.fleet.log_control(0, retain=2)
        # Without seeds, the entry can only read from the log service.
        others, self.fleet.entries = self.fleet.entries, {}
        new_entry = self.fleet.start_entry("entry-9", port=self.ENTRIES)
        self.fleet.entries |= others
        wait_until(lambda: served_by(new_entry, "/moved") == "new-1", 10, "the new entry uses the latest rule")

    def test_corrupt_record_is_logged_and_skipped_by_all_entries(self):
        ask(self.fleet.log_addresses[0], "POST", "/streams/config/records", b"\xff\xfe not json")
        ask(self.fleet.log_addresses[0], "POST", "/streams/config/records", b'{"id":"x","op":"dance"}')
        result = self.route_to("new", self.entries[0])
        self.assertEqual(result.status, 200)
        self.wait_in_force(result.json["version"], self.entries)
        for entry in self.entries:
            self.assertEqual(served_by(entry, "/moved"), "new-1")
            self.assertIn("code=record_corrupt", entry.log())
            self.assertIn("code=record_unsupported", entry.log())


class PausedAndIsolatedEntries(FleetTest):
    def test_resumed_entry_does_not_use_stale_configuration(self):
        paused_entry = self.entries[4]
        for _ in range(3):
            paused_entry.signal(signal.SIGSTOP)
            target = "new" if served_by(self.entries[0], "/moved") == "old-1" else "old"
            result = self.route_to(target, self.entries[0])
            self.assertEqual(result.status, 200, "a paused minority does not block acceptance")
            time.sleep(3)
            # With its store port down, the entry gets updates only from its peers, with a short delay.
            self.fleet.log_control(4, mode="down")
            served = []
            callers = [threading.Thread(target=lambda: served.append(served_by(paused_entry, "/moved")))
                       for _ in range(8)]
            for caller in callers:
                caller.start()
            time.sleep(0.2)
            paused_entry.signal(signal.SIGCONT)
            for caller in callers:
                caller.join()
            self.fleet.log_control(4, mode="ok")
            self.assertLessEqual(set(served), {f"{target}-1", "not_run"})
            wait_until(lambda: served_by(paused_entry, "/moved") == f"{target}-1", 5,
                       "the resumed entry uses the current configuration")

    def test_isolated_entry_stops_serving_in_time_and_reports_not_run(self):
        # The entry has neither peers nor store, so its configuration may be out of date.
        isolated = self.entries[0]
        self.fleet.log_control(0, mode="down")
        for entry in self.entries[1:]:
            entry.signal(signal.SIGSTOP)
        time.sleep(IN_FORCE_SECONDS)
        self.assertEqual(served_by(isolated, "/moved"), "not_run")
        for entry in self.entries[1:]:
            entry.signal(signal.SIGCONT)
        wait_until(lambda: served_by(isolated, "/moved") == "old-1", 5, "the entry serves again")

    def test_installed_version_never_decreases_under_combined_faults(self):
        monitor = InstalledVersionMonitor(self.entries)
        monitor.start()
        accepted = []
        for i in range(4):
            interrupted_entry = self.entries[1 + i % 4]
            interrupted_entry.signal(signal.SIGSTOP)
            self.fleet.log_control((2 + i) % self.ENTRIES, mode="down")
            result = self.route_to("new" if i % 2 else "old", self.entries[0])
            if result.status == 200:
                accepted.append(result.json["version"])
            interrupted_entry.signal(signal.SIGCONT)
            self.fleet.all_logs(mode="ok")
            if accepted:
                self.wait_in_force(accepted[-1], self.entries)
        for name, versions in monitor.finish().items():
            self.assertEqual(versions, sorted(versions), name)
        self.assertGreaterEqual(len(accepted), 3)


class Replacement(FleetTest):
    def test_killed_entry_is_evicted_and_replacement_joins(self):
        self.entries[4].kill()
        result = self.route_to("new", self.entries[0])
        self.assertEqual(result.status, 200)
        replacement = self.fleet.start_entry("entry-5", port=self.ENTRIES)
        self.assertEqual(served_by(replacement, "/moved"), "new-1")
        wait_until(lambda: "entry-4" not in [member["name"] for member in self.entries[0].status()["members"]], 25,
                   "entry-4 is evicted")

    def test_all_entries_can_be_replaced_at_once_under_new_names(self):
        for entry in self.entries:
            entry.kill()
        names = ["entry-7", "entry-8"]
        self.fleet.log_control(0, vms={"version": 5, "live": names, "leaving": []})
        self.fleet.entries = {}
        new_entries = [self.fleet.start_entry(name, port=0, wait=False, vm_list=self.fleet.log_addresses[0])
                       for name in names]
        wait_until(lambda: all(entry.status().get("member") for entry in new_entries), 100,
                   "the new entries are members")
        self.assertEqual(self.route_to("new", new_entries[0]).status, 200)

    def test_all_entries_can_restart_at_once_under_their_names(self):
        for entry in self.entries:
            entry.kill()
        self.fleet.entries = {}
        restarted = [self.fleet.start_entry(f"entry-{i}", port=i, wait=False) for i in range(self.ENTRIES)]
        wait_until(lambda: all(entry.status().get("member") for entry in restarted), 20, "all are members again")
        self.assertEqual(self.route_to("new", restarted[0]).status, 200)


if __name__ == "__main__":
    unittest.main()
