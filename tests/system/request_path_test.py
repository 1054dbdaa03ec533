"""End-to-end test of a request with separate processes."""

import subprocess
import unittest

from fleet import BIN, Fleet, ask


class EndToEndRequest(unittest.TestCase):
    def test_caller_gets_response_of_configured_service(self):
        with Fleet() as fleet:
            fleet.start_log()
            backend = fleet.start_backend("lots-1")
            entry = fleet.start_entry("entry-1")
            fleet.define_service(entry, "lots", [backend])

            addresses = ask(entry.traffic, "GET", "/.well-known/cardamomdeck/addresses").json["addresses"]
            self.assertEqual([item["address"] for item in addresses], [entry.traffic])

            answer = ask(addresses[0]["address"], "POST", "/lots/7", b"weighing", {"x-request-id": "lot-7"})
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.outcome, "answered")
            self.assertEqual(answer.json, {"backend": "lots-1", "id": "lot-7", "echo": 8})

            tool_result = subprocess.run(
                [BIN / "cardamomctl", f"--api={entry.api}", "get", "services", "lots"],
                capture_output=True, text=True, timeout=10, check=True)
            self.assertIn("in_force_everywhere: yes", tool_result.stdout)


if __name__ == "__main__":
    unittest.main()
