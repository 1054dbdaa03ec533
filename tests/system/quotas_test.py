"""Quotas of workspaces over several entries: within the limit, beyond it, without the issuer, and with a changed limit."""

import subprocess
import tempfile
import threading
import time
import unittest

from fleet import BIN, ask, wait_until
from platformfleet import PlatformFleet, route

APPLY_SECONDS = 2.5
WINDOW_SECONDS = 5.0
EXCESS, SLACK = 0.1, 20


def permitted(rate, burst, seconds):
    return (rate * seconds + burst) * (1 + EXCESS) + SLACK


class Callers:
    """Threads that send requests of one workspace to some entries at a constant rate, until they are stopped."""

    def __init__(self, entries, key, rate):
        self.results, self.lock, self.running = [], threading.Lock(), True
        self.threads = [threading.Thread(target=self.run, args=(entry, key, rate / len(entries)), daemon=True)
                        for entry in entries]
        for thread in self.threads:
            thread.start()

    def run(self, entry, key, rate):
        next_at = time.monotonic()
        number = 0
        while self.running:
            number += 1
            try:
                answer = entry.send("/lots/x", attempt=f"{entry.name}-{key}-{number}-{time.monotonic_ns()}", Key=key)
                status, headers = answer.status, answer.headers
            except OSError:
                status, headers = 0, {}
            with self.lock:
                self.results.append((time.monotonic(), status, headers))
            next_at = max(next_at + 1 / rate, time.monotonic() - 0.5)
            time.sleep(max(0.0, next_at - time.monotonic()))

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def count(self, status, since=0.0, until=float("inf")):
        with self.lock:
            return sum(1 for at, code, _ in self.results if code == status and since <= at < until)

    def largest_window(self, since=0.0):
        with self.lock:
            times = sorted(at for at, code, _ in self.results if code == 200 and at >= since)
        return max((sum(1 for other in times if at <= other < at + WINDOW_SECONDS) for at in times), default=0)


class QuotaTest(unittest.TestCase):
    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=3)
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store
        self.backends = [self.fleet.add_backend(f"s-{number}") for number in range(2)]
        self.version = 4
        self.configure(w={"api_keys": ["k"], "rate_per_s": 20, "burst": 20},
                       free={"api_keys": ["f"], "rate_per_s": 0, "burst": 0})
        for entry in self.fleet.entries:
            wait_until(lambda: entry.send("/lots/x", Key="f").status == 200, what=f"{entry.name} serves", reporter=entry)
            wait_until(lambda: len(entry.addresses()) == 3, 5, "the entries know each other")

    def configure(self, **tenants):
        self.version += 1
        self.store.write("keyed.op", "config", {
            "config_version": f"{self.version:08x}",
            "routes": {"lots": route("/lots/")},
            "services": {"lots": {"health_path": "/health", "max_conns": 220}},
            "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_s": 1,
                       "idle_timeout_s": 15}})

    def quotas(self, entry):
        return {quota["workspace"]: quota for quota in ask(entry.api, "GET", "/v1/quotas").json["workspaces"]}

    def wait_for_issuer(self):
        def has_issuer():
            return any(self.quotas(entry)["w"]["bucket_tokens"] is not None for entry in self.fleet.entries)
        wait_until(has_issuer, 5, "an entry issues the tokens")
        return next(entry for entry in self.fleet.entries if self.quotas(entry)["w"]["bucket_tokens"] is not None)


class Limits(QuotaTest):
    def test_use_within_the_limit_is_not_refused_wherever_it_comes(self):
        self.wait_for_issuer()
        for entries in (self.fleet.entries, self.fleet.entries[:1]):
            callers = Callers(entries, "k", 12)
            time.sleep(4)
            callers.stop()
            self.assertEqual(callers.count(429), 0)
            self.assertGreaterEqual(callers.count(200), 35)

    def test_sum_over_all_entries_stays_within_the_limit_and_uses_it(self):
        self.wait_for_issuer()
        callers = Callers(self.fleet.entries, "k", 120)
        started_at = time.monotonic()
        time.sleep(7)
        callers.stop()
        self.assertLessEqual(callers.largest_window(), permitted(20, 20, WINDOW_SECONDS))
        self.assertGreaterEqual(callers.count(200, started_at), 0.9 * 20 * 7)
        self.assertGreater(callers.count(429), 100)
        delays = [float(headers["retry-after"]) for _, status, headers in callers.results if status == 429]
        self.assertEqual(len(delays), callers.count(429))
        self.assertGreater(min(delays), 0)
        self.assertLess(max(delays), 5)
        executed = sum(backend.counts()["started"] for backend in self.backends)
        # Those of setUp() are not limited.
        self.assertLessEqual(executed, callers.count(200) + 10)

    def test_workspace_without_a_limit_is_not_limited(self):
        callers = Callers(self.fleet.entries, "f", 100)
        time.sleep(2)
        callers.stop()
        self.assertEqual(callers.count(429), 0)

    def test_lowered_limit_binds_and_removed_one_does_not(self):
        self.configure(w={"api_keys": ["k"], "rate_per_s": 200, "burst": 200})
        self.wait_for_issuer()
        callers = Callers(self.fleet.entries, "k", 120)
        time.sleep(2)
        self.configure(w={"api_keys": ["k"], "rate_per_s": 5, "burst": 5})
        lowered_at = time.monotonic()
        time.sleep(APPLY_SECONDS + WINDOW_SECONDS + 2)
        self.assertLessEqual(callers.largest_window(lowered_at + APPLY_SECONDS), permitted(5, 5, WINDOW_SECONDS))
        self.configure(w={"api_keys": ["k"]})
        time.sleep(APPLY_SECONDS)
        removed_at = time.monotonic()
        time.sleep(1)
        callers.stop()
        self.assertEqual(callers.count(429, removed_at), 0)


class Failures(QuotaTest):
    # The bucket of a killed issuer is lost, and the next entry must not grant what it granted.
    def test_killed_issuer_is_replaced_within_the_limit(self):
        issuer = self.wait_for_issuer()
        others = [entry for entry in self.fleet.entries if entry is not issuer]
        callers = Callers(others, "k", 90)
        time.sleep(3)
        killed_at = time.monotonic()
        issuer.kill()
        time.sleep(6)
        callers.stop()
        self.assertLessEqual(callers.largest_window(), permitted(20, 20, WINDOW_SECONDS))
        self.assertGreaterEqual(callers.count(200, killed_at + 1), 0.8 * 20 * 5)
        self.assertTrue(any(self.quotas(entry)["w"]["bucket_tokens"] is not None for entry in others))

    def test_all_entries_start_again(self):
        self.wait_for_issuer()
        for entry in self.fleet.entries:
            entry.kill()
        for number in range(3):
            self.fleet.start_entry(number)
        for entry in self.fleet.entries:
            wait_until(lambda: entry.send("/lots/x", Key="f").status == 200, what=f"{entry.name} serves", reporter=entry)
        self.wait_for_issuer()
        callers = Callers(self.fleet.entries, "k", 12)
        time.sleep(3)
        callers.stop()
        self.assertLessEqual(callers.count(429), 2)


class Administration(QuotaTest):
    def test_rejected_request_is_explained_by_its_id(self):
        entry = self.fleet.entries[0]
        self.wait_for_issuer()
        for number in range(60):
            answer = entry.send("/lots/x", attempt=f"over-{number}", Key="k")
            if answer.status == 429:
                break
        self.assertEqual(answer.status, 429)
        self.assertEqual(answer.json["name"], "quota_exceeded")
        line = wait_until(lambda: entry.lines("quota_exceeded", id=f"over-{number}"), what="the log line")[0]
        for part in ("workspace=w", "issuer=entry-", "stock=0", "answer_age_ms=", "limit_per_s=20", "retry_after_ms="):
            self.assertIn(part, line)
        self.assertNotIn("key=k", line)

        def tool(*arguments):
            return subprocess.run([BIN / "cardamomctl", f"--api={entry.api}", *arguments], capture_output=True,
                                  text=True, timeout=20).stdout
        self.assertIn("event=quota_exceeded", tool("request", f"over-{number}"))
        self.assertIn('workspace "w" limit 20.0/s burst 20.0 issuer "entry-', tool("quotas"))
        text = ask(entry.api, "GET", "/metrics").body.decode()
        for part in ('quota_admitted_total{workspace="w"}', 'quota_rejected_total{workspace="w"}', "quota_grants_total",
                     "quota_takeovers_total", "quota_fallback_total"):
            self.assertIn(part, text)

    # Deployments without limits are served as before: no state, no message and no metric.
    def test_nothing_is_left_of_quotas_without_limits(self):
        self.configure(w={"api_keys": ["k"]})
        for entry in self.fleet.entries:
            wait_until(lambda: self.quotas(entry) == {}, APPLY_SECONDS, "the limit is removed")
            self.assertEqual(entry.send("/lots/x", Key="k").status, 200)
            self.assertNotIn("quota_", ask(entry.api, "GET", "/metrics").body.decode())


if __name__ == "__main__":
    unittest.main()
