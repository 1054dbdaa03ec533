"""Invalid settings, ports in use and an unavailable log service are reported with a documented code."""

import json
import os
import subprocess
import tempfile
import time
import unittest

from fleet import BIN, Fleet, ROOT, ask, wait_until
from ports import free_port


def run(program, *arguments, **environment):
    return subprocess.run([BIN / program, *arguments], capture_output=True, text=True, timeout=20,
                          env=os.environ | environment)


class DaemonSettings(unittest.TestCase):
    def test_all_invalid_settings_are_reported_together(self):
        result = run("cardamomdeckd", "--traffic_address=nowhere", "--leave_time_ms=1", "--seeds=x", "--memory_mb=31")
        self.assertEqual(result.returncode, 2)
        for part in ("name is required", "zone is required", "traffic_address", "log_service", "leave_time_ms", "seeds",
                     "memory_mb must be from 32"):
            self.assertIn(part, result.stderr)

    def test_unknown_flag_and_invalid_variable_are_rejected(self):
        self.assertEqual(run("cardamomdeckd", "--colour=blue").returncode, 1)
        result = run("cardamomdeckd", CARDAMOMDECK_LEAVE_TIME_MS="soon")
        self.assertEqual(result.returncode, 2)
        self.assertIn("CARDAMOMDECK_LEAVE_TIME_MS", result.stderr)

    def test_help_names_each_flag_with_its_unit(self):
        text = run("cardamomdeckd", "--helpshort").stdout + run("cardamomdeckd", "--help").stdout
        for part in ("leave_time_ms", "Milliseconds", "log_service", "IP:port"):
            self.assertIn(part, text)

    def test_port_in_use_ends_daemon_with_its_exit_code(self):
        with Fleet() as fleet:
            fleet.start_log()
            entry = fleet.start_entry("entry-1")
            result = run("cardamomdeckd", "--name=entry-2", "--zone=a", f"--log_service={fleet.log_addresses[0]}",
                         f"--traffic_address={entry.traffic}", f"--api_address=127.0.0.1:{free_port()}",
                         f"--peer_address=127.0.0.1:{free_port()}")
            self.assertEqual(result.returncode, 3)
            self.assertIn("event=port_in_use", result.stdout)

    def test_entry_without_log_service_reports_it_and_rejects_requests_as_not_run(self):
        with Fleet() as fleet:
            fleet.log_addresses = [f"127.0.0.1:{free_port()}"]
            entry = fleet.start_entry("entry-1", wait=False)
            wait_until(lambda: entry.status(), what="the API responds")
            answer = ask(entry.traffic, "POST", "/lots", b"x")
            self.assertEqual((answer.status, answer.outcome, answer.headers["x-result-code"]), (503, "not_run", "307"))
            self.assertFalse(entry.status()["store_reachable"])


class Tool(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.fleet.start_log()
        self.entry = self.fleet.start_entry("entry-1", extra=["--trace_percent=100"])
        self.backend = self.fleet.start_backend("lots-1")
        self.fleet.define_service(self.entry, "lots", [self.backend])

    def tool(self, *arguments):
        return run("cardamomctl", f"--api={self.entry.api}", *arguments)

    def test_subcommands_print_and_change_resources(self):
        self.assertIn("lots-1", self.tool("list", "backends").stdout)
        drained = self.tool("drain", "lots-1")
        self.assertEqual(drained.returncode, 0, drained.stderr)
        wait_until(lambda: "drained: yes" in self.tool("get", "backends", "lots-1").stdout, 10, "drained")
        self.assertIn("draining", self.tool("status").stdout)
        self.assertEqual(self.tool("undrain", "lots-1").returncode, 0)
        self.assertEqual(json.loads(self.tool("--json", "get", "services", "lots").stdout)["name"], "lots")
        self.assertEqual(self.tool("delete", "rules", "lots").returncode, 0)

    def test_explain_shows_attempts_of_a_request(self):
        answer = ask(self.entry.traffic, "GET", "/lots")
        explanation = self.tool("explain", answer.headers["x-trace-id"]).stdout
        for part in ("attempt", "request", '"backend":"lots-1"', '"reason":"first"', '"rule":"lots"'):
            self.assertIn(part, explanation)

    def test_metrics_are_served_as_text(self):
        ask(self.entry.traffic, "GET", "/lots")
        text = wait_until(lambda: (lambda body: body if 'code="ok"' in body else "")(
            ask(self.entry.api, "GET", "/metrics").body.decode()), 5, "the metrics")
        for part in ("cardamomdeck_requests_total{", "cardamomdeck_config_offset", "cardamomdeck_probes_total"):
            self.assertIn(part, text)

    def test_rejections_and_missing_resources_have_their_exit_codes(self):
        self.assertEqual(self.tool("get", "services", "none").returncode, 4)
        self.assertEqual(self.tool("--version=1", "delete", "rules", "lots").returncode, 4)
        self.assertEqual(self.tool("dance").returncode, 1)
        self.assertEqual(run("cardamomctl", "--api=nowhere", "status").returncode, 2)
        self.assertEqual(run("cardamomctl", f"--api=127.0.0.1:{free_port()}", "status").returncode, 5)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"services": [{"name": "lots", "timeout_ms": 0}]}')
            file.flush()
            result = self.tool("apply", file.name)
            self.assertEqual(result.returncode, 4)
            self.assertIn("timeout_ms", result.stderr)


class Documents(unittest.TestCase):
    def test_error_table_lists_each_code_with_name_outcome_and_status(self):
        source = (ROOT / "libs/base/src/resultcode.cpp").read_text()
        header = (ROOT / "libs/base/include/cardamomdeck/base/resultcode.h").read_text()
        error_table = (ROOT / "docs/ERRORS.md").read_text()
        numbers = dict(line.strip().rstrip(",").split(" = ") for line in header.splitlines()
                       if line.startswith("    ") and " = " in line and line.strip().endswith(","))
        source_line = " ".join(source.split())
        rows = [row.split('"')[0] + row.split('"')[1] + row.split('"')[2]
                for row in source_line.split("{result_code::")[1:]]
        self.assertEqual(len(rows), len(numbers))
        for row in rows:
            name, _, outcome, status = [part.strip() for part in row.split(",")[:4]]
            expected_row = f"| {numbers[name]} | {name} | {outcome.removeprefix('outcome::')} | {status} |"
            self.assertIn(expected_row, error_table)


if __name__ == "__main__":
    unittest.main()
