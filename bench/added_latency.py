"""Measures the latency that an entry adds to a direct request on loopback, and its CPU time per request.

Requests are sent alternately to the backend server and to the entry, so that noise of the machine affects both alike.
Prints a table and writes it to docs/measurements/added_latency.md.
"""

import json
import os
import statistics
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "system"))

from fleet import BIN, Fleet  # noqa: E402

RATES = (400, 1000, 2000, 4000)
ROUNDS = 5
SECONDS = 4
TARGET_ADDED_P99_MS = 0.45


def cpu_seconds(process):
    """Returns the user and system CPU time of a process, in seconds."""
    fields = Path(f"/proc/{process.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# Runs the load generator and returns its results by target.
def run_load(targets, path, rate, seed):
    output = subprocess.run(
        [BIN / "loadgen", f"--targets={','.join(targets)}", f"--path={path}", f"--rate={rate}",
         f"--seconds={SECONDS}", f"--seed={seed}"],
        capture_output=True, text=True, check=True, timeout=60).stdout
    return json.loads(output)


def format_row(rate, direct, proxied, cpu_us):
    """Formats one row of the table: medians over the rounds, and the range of the added p99 latency."""
    def median(results, name):
        return statistics.median(item[name] for item in results)

    added_p99 = sorted(proxied_result["p99"] - direct_result["p99"]
                       for proxied_result, direct_result in zip(proxied, direct))
    all_answered = all(item["statuses"].get("200", 0) == item["requests"] for item in proxied)
    return (f"| {rate} | {median(direct, 'p50'):.3f} | {median(direct, 'p99'):.3f} | {median(proxied, 'p50'):.3f} "
            f"| {median(proxied, 'p99'):.3f} | {median(proxied, 'p50') - median(direct, 'p50'):.3f} "
            f"| {statistics.median(added_p99):.3f} ({added_p99[0]:.3f} to {added_p99[-1]:.3f}) "
            f"| {statistics.median(cpu_us):.0f} | {'all' if all_answered else 'not all'} |")


def main():
    rows = ["| requests/s | direct p50 ms | direct p99 ms | entry p50 ms | entry p99 ms | added p50 ms | added p99 ms "
            "| entry processor us per request | answered |", "|---|---|---|---|---|---|---|---|---|"]
    with Fleet() as fleet:
        fleet.start_log()
        backend = fleet.start_backend("b-0", slots=256, service_ms=0.001)
        entry = fleet.start_entry("entry-1")
        fleet.define_service(entry, "lots", [backend], slots_per_backend=256, connections_per_backend=256,
                             hedge_percent=0)
        targets = [backend.address, entry.traffic]
        run_load(targets, "/lots", RATES[0], 0)
        for rate in RATES:
            direct, proxied, cpu_us = [], [], []
            for round_number in range(ROUNDS):
                cpu_before = cpu_seconds(entry)
                result = run_load(targets, "/lots", rate, round_number)
                direct.append(result[backend.address])
                proxied.append(result[entry.traffic])
                cpu_us.append((cpu_seconds(entry) - cpu_before) / proxied[-1]["requests"] * 1e6)
            rows.append(format_row(rate, direct, proxied, cpu_us))
            print(rows[-1], flush=True)
    text = "\n".join(rows) + f"\n\nMedians of {ROUNDS} runs of {SECONDS} s; half of the requests go to the backend server, half to the entry. Target: {TARGET_ADDED_P99_MS} ms added at p99.\n"
    (ROOT / "docs" / "measurements" / "added_latency.md").write_text(text)


if __name__ == "__main__":
    main()
