"""Entries on the users' platform during configuration changes, draining of servers, faults and shutdowns."""

import json
import signal
import subprocess
import tempfile
import threading
import time
import unittest

from fleet import BIN, ask, wait_until
from platformfleet import PlatformFleet, backend_report, route

DRAIN_SECONDS = 2.0
APPLY_SECONDS = 2.0


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory)
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store

    def serve(self, **routes):
        self.backends = [self.fleet.add_backend("s-1"), self.fleet.add_backend("s-2")]
        self.store.put_config(5, {"lots": route("/lots/"), "weigh": route("/weigh/", kind="unsafe")} | routes)
        self.fleet.wait_until_serving()
        return self.fleet.entries


class Serving(PlatformTest):
    def test_entry_without_configuration_returns_503_and_is_not_ready(self):
        entry = self.fleet.entries[0]
        wait_until(lambda: entry.send("/lots/x").status == 503, what="the entry responds")
        self.assertFalse(entry.ready())

    def test_response_has_seal_and_unknown_path_returns_404(self):
        entry = self.serve()[0]
        answer = entry.send("/lots/x", attempt="id-7")
        self.assertEqual(answer.headers["attempt-id"], "id-7")
        self.assertIn(answer.headers["server-seal"], ("s-1", "s-2"))
        self.assertEqual(entry.send("/other/x").status, 404)

    def test_entries_discover_each_other_and_resolve_all_addresses(self):
        entries = self.serve()
        expected = {entry.traffic for entry in entries}
        for entry in entries:
            wait_until(lambda: set(entry.addresses()) == expected, what="both addresses are resolved")

    def test_refused_request_is_logged_with_reason(self):
        entry = self.serve(gone=route("/gone/", service="nobody"))[0]
        for path, code in (("/other/x", "route_unknown"), ("/gone/x", "no_backend")):
            entry.send(path, attempt=f"refused-{code}")
            line = wait_until(lambda: entry.lines("request_refused", id=f"refused-{code}"), what="the log line")[0]
            for part in (f"code={code}", "config=5", "leaving=false"):
                self.assertIn(part, line)

    def test_request_is_logged_with_its_id(self):
        entry = self.serve()[0]
        entry.send("/lots/x", attempt="followed")
        line = wait_until(lambda: entry.lines("request", id="followed"), what="the log line")[0]
        for part in ("rule=lots", "config=5", "service=lots", "outcome=ok", "status=200", "backend=s-"):
            self.assertIn(part, line)


class Administration(PlatformTest):
    def tool(self, entry, *arguments):
        return subprocess.run([BIN / "cardamomctl", f"--api={entry.api}", *arguments], capture_output=True, text=True,
                              timeout=20)

    def test_tool_shows_fleet_and_request(self):
        entry = self.serve()[0]
        entry.send("/lots/x", attempt="asked-for")
        # The peer announces its readiness in a separate datagram.
        tool_output = wait_until(lambda: (text := self.tool(entry, "fleet").stdout) and 'member "entry-1" ready' in text
                                 and text, 1, "the tool shows the peer as ready")
        for part in ("config 5", 'backend "s-1" of "lots" ready'):
            self.assertIn(part, tool_output)
        self.assertIn("outcome=ok", self.tool(entry, "request", "asked-for").stdout)
        self.assertEqual(self.tool(entry, "request", "unknown").returncode, 4)

    def test_metrics_are_exported(self):
        entry = self.serve()[0]
        text = ask(entry.api, "GET", "/metrics").body.decode()
        for part in ("cardamomdeck_requests_total", "cardamomdeck_probes_total", "cardamomdeck_config_version 5",
                     "cardamomdeck_request_latency_ms", "cardamomdeck_view_age_ms"):
            self.assertIn(part, text)

    def test_settings_are_checked_and_reloaded(self):
        entry = self.serve()[0]
        daemon = BIN / "cardamomdeckd"
        check = [daemon, "--check", f"--settings={entry.settings_path}"]
        self.assertEqual(subprocess.run(check, capture_output=True, timeout=20).returncode, 0)
        text = entry.settings_path.read_text()
        entry.settings_path.write_text(text.replace("grace_s=3", "grace_s=2"))
        entry.signal(signal.SIGHUP)
        wait_until(lambda: entry.lines("settings_reloaded", reason="SIGHUP"), what="the change is logged")
        entry.settings_path.write_text("ip = ")
        entry.signal(signal.SIGHUP)
        wait_until(lambda: entry.lines("settings_rejected", reason="SIGHUP"), what="the rejection is logged")
        self.assertEqual(subprocess.run(check, capture_output=True, timeout=20).returncode, 2)
        self.assertEqual(entry.send("/lots/x").status, 200)


class InvalidInput(PlatformTest):
    def test_invalid_request_gets_its_status_and_entry_keeps_serving(self):
        entry = self.serve()[0]
        self.assertEqual(entry.send("/lots/x", "POST", b"x" * 70000).status, 413)
        self.assertEqual(entry.send("/lots/x", **{"Long": "y" * 20000}).status, 431)
        self.assertEqual(ask(entry.traffic, "BAD REQUEST", "/x").status, 400)
        self.assertEqual(entry.send("/lots/x").status, 200)

    def test_invalid_store_records_are_logged_and_skipped(self):
        entry = self.serve()[0]
        self.store.write("keyed.servers", "odd", b"\x00\xff not json")
        self.store.write("keyed.servers", "odder", {"address": 3})
        wait_until(lambda: any(e.lines("record_rejected", key="odder") for e in self.fleet.entries),
                   what="the record is logged")
        self.assertEqual(entry.send("/lots/x").status, 200)

    def write_foreign_records(self):
        """Records of another writer: nested, with numbers and ports out of range, and with odd keys and names."""
        address = self.backends[0].address
        valid = backend_report(address, "lots", capacity=200)
        nested = b"[" * 100_000 + b"]" * 100_000
        values = {"nested": nested, "nested-field": b'{"info":' + nested + b"}", "zeros": bytes(1000)}
        for number, (old, new) in enumerate([
                ('"sequence": 1', '"sequence": 1e999'), ('"sequence": 1', '"sequence": 99999999999999999999'),
                ('"capacity": 200', '"capacity": -1'), (address, address.split(":")[0] + ":65536"),
                (address, address.split(":")[0] + ":-1"), ('"warmup_left_s": 0', '"warmup_left_s": 1e308'),
                ('"zone-a"', '"' + "z" * 200_000 + '"'), ('"lots"', '"lots\\r\\n"'), ('"lots"', "7")]):
            values[f"edited-{number}"] = json.dumps(valid).replace(old, new).encode()
        for key in (b"i\r\nOdd-Field: 1", b"i\xff\xfe", b"", b"i " + b"x" * 250, b"a&after=z"):
            values[key] = json.dumps(valid).encode()
        for key, value in values.items():
            self.store.write("keyed.servers", key, value)

    # Guards against entries that end, or stop following the servers, because of one record that another writer left.
    def test_foreign_records_do_not_keep_entries_from_following_the_servers(self):
        entries = self.serve()
        for compacted in (False, True):
            self.write_foreign_records()
            if compacted:
                self.store.control(compact=True)
                entries.append(self.fleet.start_entry(2))
                wait_until(lambda: entries[2].send("/lots/x").status == 200, what="the new entry serves")
            name = f"s-new-{compacted}"
            self.fleet.add_backend(name)
            for entry in entries:
                wait_until(lambda: entry.send("/lots/x").headers.get("server-seal") == name, DRAIN_SECONDS + 3,
                           f"{entry.name} uses the new server", reporter=entry)
            self.backends[int(compacted)].report("draining")
            time.sleep(DRAIN_SECONDS)
            for entry in entries:
                seals = {entry.send("/lots/x").headers.get("server-seal") for _ in range(20)}
                self.assertNotIn(self.backends[int(compacted)].name, seals, entry.name)
                self.assertIsNone(entry.child.poll())
        rejected = [line for entry in entries for line in entry.lines("record_rejected")]
        self.assertTrue(any("Odd-Field" in line for line in rejected))


class Configuration(PlatformTest):
    def test_change_is_in_force_in_time_after_another_entry_is_killed(self):
        entries = self.serve()
        entries[0].kill()
        self.store.put_config(9, {"lots": route("/lots/"), "new": route("/new/", service="lots")})
        wait_until(lambda: entries[1].send("/new/x").status == 200, APPLY_SECONDS, "the change is in force")

    def test_older_version_is_ignored(self):
        entry = self.serve()[0]
        self.store.put_config(4, {"other": route("/other/")})
        time.sleep(APPLY_SECONDS)
        self.assertEqual(entry.send("/lots/x").status, 200)

    def test_store_outage_keeps_current_view_and_changes_apply_after_it(self):
        entries = self.serve()
        self.store.control(mode="down")
        time.sleep(3)
        for entry in entries:
            self.assertEqual(entry.send("/lots/x").status, 200)
        self.store.control(mode="ok")
        self.store.put_config(9, {"new": route("/new/")})
        for entry in entries:
            wait_until(lambda: entry.send("/new/x").status == 200, 4, "the change is in force")

    def test_store_is_read_again_after_compaction(self):
        entries = self.serve()
        self.store.control(compact=True)
        self.store.put_config(9, {"new": route("/new/")})
        self.store.control(compact=True)
        for entry in entries:
            wait_until(lambda: entry.send("/new/x").status == 200, APPLY_SECONDS, "the change is in force")

    def test_started_entry_gets_view_from_peers_during_store_outage(self):
        entries = self.serve()
        self.store.control(mode="down")
        entries[1].kill()
        restarted = self.fleet.start_entry(1)
        wait_until(lambda: restarted.send("/lots/x").status == 200, 5, "the new entry serves")


class ManyServers(PlatformTest):
    """More servers than the store returns in one response."""

    COUNT = 1600

    def setUp(self):
        super().setUp()
        self.serve()
        self.report_all(sequence=1)

    def report_all(self, sequence, **values):
        born = 1_700_000_000_000
        self.store.write_all("keyed.servers", {f"desk-{number:05}": backend_report(
            f"127.1.{number // 250}.{number % 250 + 1}:9", "desk", sequence=sequence, born=born, **values)
            for number in range(self.COUNT)})

    def test_all_entries_start_again_while_each_page_of_the_listing_takes_long(self):
        for entry in self.fleet.entries:
            entry.kill()
        self.store.control(delay_ms=350)
        for number in range(2):
            self.fleet.start_entry(number)
        self.fleet.wait_until_serving()

    def test_reports_beyond_one_store_response_are_read_before_the_view_counts_as_fresh(self):
        # The store gets about 3 MB between two reads; one of its responses holds 1 MB.
        for sequence in range(2, 10):
            self.report_all(sequence)
        self.fleet.backends["s-1"].report("draining")
        drained_at = time.monotonic()
        time.sleep(max(0.0, drained_at + DRAIN_SECONDS - time.monotonic()))
        before = self.fleet.backends["s-1"].counts()["started"]
        for entry in self.fleet.entries:
            for number in range(20):
                entry.send("/lots/x", attempt=f"{entry.name}-{number}")
        self.assertEqual(self.fleet.backends["s-1"].counts()["started"], before)


class DrainingAndRemoval(PlatformTest):
    def assert_no_new_requests(self, backend):
        time.sleep(DRAIN_SECONDS)
        before = backend.counts()["started"]
        for number in range(20):
            self.assertEqual(self.fleet.entries[number % 2].send("/lots/x").status, 200)
        self.assertEqual(backend.counts()["started"], before)

    def test_draining_server_gets_no_new_requests(self):
        self.serve()
        self.backends[0].report("draining")
        self.assert_no_new_requests(self.backends[0])

    def test_removed_server_gets_no_new_requests(self):
        self.serve()
        self.backends[0].remove()
        self.assert_no_new_requests(self.backends[0])

    def test_outdated_report_does_not_end_draining(self):
        self.serve()
        self.backends[0].sequence = 50
        self.backends[0].report("draining")
        self.backends[0].sequence = 10
        self.backends[0].report("ready")
        self.assert_no_new_requests(self.backends[0])

    def test_server_that_reuses_an_address_gets_no_requests_for_the_previous_server(self):
        self.serve()
        address = self.backends[0].address
        self.backends[0].kill()
        port = int(address.rsplit(":", 1)[1])
        new_server = self.fleet.add_backend("d-1", service="desk", port=port)
        for number in range(20):
            self.assertEqual(self.fleet.entries[number % 2].send("/lots/x", attempt=f"r{number}").status, 200)
        self.assertEqual(new_server.counts()["started"], 0)


class WithoutSeeds(PlatformTest):
    def setUp(self):
        super().setUp()
        self.fleet.end()
        # No entry has this address.
        self.fleet = PlatformFleet(self.directory, entries=3, seeds=("127.0.9.9",))
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store

    def test_entries_discover_each_other_through_the_store(self):
        entries = self.serve()
        expected = {entry.traffic for entry in entries}
        for entry in entries:
            wait_until(lambda: set(entry.addresses()) == expected, 5, "all addresses are resolved")

    def test_stopped_entry_is_deregistered(self):
        entries = self.serve()
        wait_until(lambda: "entry-1" in self.store.keys("keyed.members"), 5, "entry-1 is registered")
        entries[1].signal(signal.SIGTERM)
        entries[1].child.wait(timeout=6)
        self.assertNotIn("entry-1", self.store.keys("keyed.members"))
        self.assertIn("entry-0", self.store.keys("keyed.members"))


class WithSeeds(PlatformTest):
    def test_only_the_first_entries_are_registered_in_the_store(self):
        self.fleet.end()
        self.fleet = PlatformFleet(self.directory, entries=6)
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store
        self.serve()
        for entry in self.fleet.entries:
            wait_until(lambda: len(entry.addresses()) == 6, 5, "all addresses are resolved")
        # Longer than the discovery timeout, after which an entry without contact to a peer registers itself.
        time.sleep(1.5)
        self.assertLessEqual(set(self.store.keys("keyed.members")), {"entry-0", "entry-1", "entry-2"})


class Faults(PlatformTest):
    def test_idempotent_request_is_retried_and_non_idempotent_is_not(self):
        entry = self.serve()[0]
        self.backends[0].control(mode="cut")
        for number in range(6):
            self.assertEqual(entry.send("/lots/x", attempt=f"safe{number}").status, 200)
        outcomes = [entry.send("/weigh/x", "POST", b"1", attempt=f"once{number}").status for number in range(12)]
        self.assertTrue(set(outcomes) <= {200, 502}, outcomes)
        executed_ids = [request_id for backend in self.backends
                        for request_id in backend.counts()["ids"] if "once" in request_id]
        self.assertEqual(len(executed_ids), len(set(executed_ids)))

    def test_response_without_seal_is_never_successful(self):
        entry = self.serve()[0]
        for backend in self.backends:
            backend.control(mode="unsealed")
        self.assertEqual(entry.send("/weigh/x", "POST", b"1").status, 502)

    def test_request_refused_by_all_servers_gets_retry_after(self):
        entry = self.serve()[0]
        for backend in self.backends:
            backend.control(mode="refuse")
        answer = entry.send("/weigh/x", "POST", b"1")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.assertEqual(sum(backend.counts()["started"] for backend in self.backends
                             if "weigh" in str(backend.counts()["ids"])), 0)

    def test_rule_timeout_ends_request_with_504(self):
        entry = self.serve(slow=route("/slow/", timeout=0.4))[0]
        for backend in self.backends:
            backend.control(mode="freeze")
        started_at = time.monotonic()
        self.assertEqual(entry.send("/slow/x").status, 504)
        self.assertLess(time.monotonic() - started_at, 0.9)


class Shutdown(PlatformTest):
    def test_sigterm_stops_process_after_requests_in_flight(self):
        entries = self.serve()
        wait_until(lambda: len(entries[1].addresses()) == 2, what="both addresses are resolved")
        for backend in self.backends:
            backend.control(mode="answer_late", late_ms=800)
        statuses = []
        caller = threading.Thread(target=lambda: statuses.append(entries[0].send("/lots/x").status))
        caller.start()
        time.sleep(0.2)
        entries[0].signal(signal.SIGTERM)
        wait_until(lambda: not entries[0].ready(), 1, "the entry is not ready")
        wait_until(lambda: entries[1].addresses() == [entries[1].traffic], 2, "only the other entry is resolved")
        caller.join()
        self.assertEqual(statuses, [200])
        self.assertEqual(entries[0].child.wait(timeout=3.5), 0)
        self.assertTrue(entries[0].lines("entry_stopped"))


if __name__ == "__main__":
    unittest.main()
