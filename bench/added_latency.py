"""Measures the time that an entry adds on loopback against a direct call, and its processor time for a request.

Requests go to the back end and to the entry in turn, so that a noisy moment of the machine meets both. Prints a table and writes it to docs/measurements/added_latency.md.
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
TARGET_MS = 0.45


def processor_seconds(process):
    """User and system time of a process so far."""
    fields = Path(f"/proc/{process.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(targets, path, rate, seed):
    output = subprocess.run(
        [BIN / "loadgen", f"--targets={','.join(targets)}", f"--path={path}", f"--rate={rate}",
         f"--seconds={SECONDS}", f"--seed={seed}"],
        capture_output=True, text=True, check=True, timeout=60).stdout
    return json.loads(output)


def row(rate, direct, proxied, processor):
    """One line of the table: medians over the rounds, and the range of the added time."""
    def median(results, name):
        return statistics.median(item[name] for item in results)

    added = sorted(through["p99"] - alone["p99"] for through, alone in zip(proxied, direct))
    answered = all(item["statuses"].get("200", 0) == item["requests"] for item in proxied)
    return (f"| {rate} | {median(direct, 'p50'):.3f} | {median(direct, 'p99'):.3f} | {median(proxied, 'p50'):.3f} "
            f"| {median(proxied, 'p99'):.3f} | {median(proxied, 'p50') - median(direct, 'p50'):.3f} "
            f"| {statistics.median(added):.3f} ({added[0]:.3f} to {added[-1]:.3f}) "
            f"| {statistics.median(processor):.0f} | {'all' if answered else 'not all'} |")


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
        measure(targets, "/lots", RATES[0], 0)
        for rate in RATES:
            direct, proxied, processor = [], [], []
            for round_number in range(ROUNDS):
                before = processor_seconds(entry)
                result = measure(targets, "/lots", rate, round_number)
                direct.append(result[backend.address])
                proxied.append(result[entry.traffic])
                processor.append((processor_seconds(entry) - before) / proxied[-1]["requests"] * 1e6)
            rows.append(row(rate, direct, proxied, processor))
            print(rows[-1], flush=True)
    text = "\n".join(rows) + f"\n\nMedians of {ROUNDS} runs of {SECONDS} s; half of the requests go to the back end, half to the entry. Target: {TARGET_MS} ms added at p99.\n"
    (ROOT / "docs" / "measurements" / "added_latency.md").write_text(text)


if __name__ == "__main__":
    main()
