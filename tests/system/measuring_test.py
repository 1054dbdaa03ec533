"""The probes of all entries together stay within the probe budget, as counted by the backend server."""

import signal
import time
import unittest

from fleet import Fleet

BUDGET = 40
WINDOW_SECONDS = 10.0
RUN_SECONDS = 24.0


class ProbeBudget(unittest.TestCase):
    def test_total_probes_stay_within_budget_during_restarts_pauses_and_replacements(self):
        with Fleet() as fleet:
            fleet.start_log()
            backend = fleet.start_backend("lots-0")
            entries = [fleet.start_entry(f"entry-{i}") for i in range(4)]
            fleet.define_service(entries[0], "lots", [backend], probes_per_ten_seconds=BUDGET, entry_ceiling=4,
                                 probe_age_ms=0)
            started_at = time.monotonic()
            samples = []
            actions = [
                (3, lambda: entries[1].signal(signal.SIGSTOP)),
                (5, lambda: entries[2].kill()),
                (6, lambda: fleet.start_entry("entry-2", wait=False)),
                (8, lambda: entries[1].signal(signal.SIGCONT)),
                (9, lambda: fleet.start_entry("entry-9", wait=False)),
                (12, lambda: entries[0].signal(signal.SIGTERM)),
                (14, lambda: fleet.all_logs(mode="down")),
                (17, lambda: fleet.all_logs(mode="ok")),
            ]
            while time.monotonic() - started_at < RUN_SECONDS:
                if actions and time.monotonic() - started_at >= actions[0][0]:
                    actions.pop(0)[1]()
                samples.append((time.monotonic(), backend.counts()["probes"]))
                time.sleep(0.05)
            max_probes = 0
            for index, (sampled_at, count) in enumerate(samples):
                highest_count = max(later_count for later_sampled_at, later_count in samples[index:]
                                    if later_sampled_at - sampled_at < WINDOW_SECONDS)
                max_probes = max(max_probes, highest_count - count)
            self.assertLessEqual(max_probes, BUDGET)
            self.assertGreater(max_probes, BUDGET // 4, "the entries send probes")


if __name__ == "__main__":
    unittest.main()
