"""Measures how the control plane cost of an entry grows with the number of services, backend servers and entries.

Prints a table and writes it to docs/measurements/slopes.md.
"""

import json
import os
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "system"))

from fleet import Fleet, ask, wait_until  # noqa: E402

SECONDS = 5
BACKENDS_PER_SERVICE = 10


# Returns the user and system CPU time of a process, in seconds.
def cpu_seconds(process):
    fields = Path(f"/proc/{process.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(process):
    for line in Path(f"/proc/{process.child.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def peer_bytes(entry):
    for line in ask(entry.api, "GET", "/metrics").body.decode().splitlines():
        if line.startswith("cardamomdeck_peer_bytes_total"):
            return float(line.split()[1])
    return 0.0


def preload(fleet, services):
    """Appends resources directly to the log, as the changes of one operator; backend servers have a closed port."""
    for number in range(services):
        name = f"service-{number}"
        records = [{"id": f"p-{name}", "op": "put", "kind": "services", "name": name,
                    "body": {"name": name, "probes_per_ten_seconds": 0}}]
        for index in range(BACKENDS_PER_SERVICE):
            backend = f"{name}-{index}"
            records.append({"id": f"p-{backend}", "op": "put", "kind": "backends", "name": backend,
                            "body": {"name": backend, "service": name, "address": "127.0.0.1:1", "zone": "zone-a"}})
        records.append({"id": f"r-{name}", "op": "put", "kind": "rules", "name": name,
                        "body": {"name": name, "path_prefix": f"/{name}/", "service": name}})
        for record in records:
            answer = ask(fleet.log_addresses[0], "POST", "/streams/config/records", json.dumps(record))
            assert answer.status == 200


# Measures a fleet with the given numbers of entries and services; returns the table row.
def measure(entries, services):
    with Fleet() as fleet:
        fleet.start_log()
        preload(fleet, services)
        members = [fleet.start_entry(f"entry-{i}", wait=False, zone=f"zone-{i % 3}", extra=["--log_level=OFF"])
                   for i in range(entries)]
        wait_until(lambda: all(entry.status().get("member") for entry in members), 120, "all are members")
        time.sleep(3)
        observed = members[0]
        started_at, cpu_before, peer_bytes_before = time.monotonic(), cpu_seconds(observed), peer_bytes(observed)
        time.sleep(SECONDS)
        elapsed = time.monotonic() - started_at
        idle_cpu = (cpu_seconds(observed) - cpu_before) / elapsed * 100
        bytes_per_second = (peer_bytes(observed) - peer_bytes_before) / elapsed

        durations = []
        for number in range(10):
            started_at = time.monotonic()
            result = observed.put("services", f"changed-{number}", {})
            assert result.status == 200, result.body
            version = result.json["version"]
            wait_until(lambda: all(entry.status().get("installed", 0) >= version for entry in members), 10, "in force")
            durations.append(time.monotonic() - started_at)
        cpu_before = cpu_seconds(observed)
        started_at = time.monotonic()
        for number in range(10):
            observed.put("services", f"changed-{number}", {"timeout_ms": 900})
        change_ms = (cpu_seconds(observed) - cpu_before) / 10 * 1000
        return (f"| {entries} | {services} | {services * BACKENDS_PER_SERVICE} | {memory_mb(observed):.1f} "
                f"| {idle_cpu:.2f} | {bytes_per_second:.0f} | {sorted(durations)[5]:.3f} | {max(durations):.3f} | {change_ms:.1f} |")


def main():
    rows = ["| entries | services | backend servers | memory MB | idle processor % | peer bytes/s, both ways "
            "| change in force everywhere, median s | worst s | processor ms per change |", "|---|---|---|---|---|---|---|---|---|"]
    for entries, services in ((1, 1), (3, 1), (8, 1), (15, 1), (24, 1), (3, 50), (3, 200), (3, 500), (15, 100)):
        rows.append(measure(entries, services))
        print(rows[-1], flush=True)
    (ROOT / "docs" / "measurements" / "slopes.md").write_text("\n".join(rows) + "\n")


if __name__ == "__main__":
    main()
