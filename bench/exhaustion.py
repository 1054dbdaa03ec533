"""Measures the resource use of an entry while backend servers send endless data or callers stall.

    python3 bench/exhaustion.py

Starts one entry (from build/bin or $CARDAMOMDECK_BIN) and test backend servers on loopback. Prints one table row per
case: peak memory of the entry, longest wait and response statuses of the callers, and the slowest request and the
statuses of concurrent requests to another service.
"""

import collections
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parents[1] / "tests" / "system")]

from platformfleet import HOST, PlatformFleet, route  # noqa: E402
from rawbackend import RawBackend  # noqa: E402

REQUESTS, CALLERS, TIMEOUT = 24, 150, 8.0
ENDLESS_MODES = ("endless_chunks", "endless_unframed", "endless_interim", "endless_others", "endless_head",
                 "endless_noise")


# Starts one entry and a backend server for each of two services; raw-1 behaves according to the mode.
def start(directory, mode):
    fleet = PlatformFleet(directory, entries=1)
    RawBackend(fleet.store, "raw-1", mode=mode)
    RawBackend(fleet.store, "desk-1", service="desk")
    fleet.store.put_config(5, {"weigh": route("/weigh/", kind="unsafe", timeout=TIMEOUT), "lots": route("/lots/"),
                               "desk": route("/desk/", "desk")}, max_body_bytes=2_000_000)
    fleet.wait_until_serving("/desk/x")
    return fleet, fleet.entries[0]


# Starts concurrent requests; returns their threads, and the statuses and durations that the threads fill in.
def send_many(entry):
    statuses, durations = collections.Counter(), []

    def send(number):
        started_at = time.monotonic()
        statuses[entry.send("/weigh/x", "POST", attempt=f"r{number}", deadline_ms=int(TIMEOUT * 1000)).status] += 1
        durations.append(time.monotonic() - started_at)

    threads = [threading.Thread(target=send, args=(number,)) for number in range(REQUESTS)]
    for thread in threads:
        thread.start()
    return threads, statuses, durations


# Opens connections that send the message and never read.
def open_stalled_connections(entry, message):
    connections = [entry.connect() for _ in range(CALLERS)]
    for connection in connections:
        try:
            connection.sendall(message)
        except OSError:
            pass  # The entry closed the connection before the complete message was sent.
    return connections


def measure_other_service(entry, seconds):
    """Sends requests to another service; returns the longest duration in seconds, and the count of each status."""
    end_time, slowest, statuses = time.monotonic() + seconds, 0.0, collections.Counter()
    while time.monotonic() < end_time:
        started_at = time.monotonic()
        statuses[entry.send("/desk/x", attempt="beside", deadline_ms=8000).status] += 1
        slowest = max(slowest, time.monotonic() - started_at)
        time.sleep(0.02)
    return slowest, dict(statuses)


def main():
    headers = f"Host: {HOST}\r\nAttempt-Id: p\r\nDeadline-Ms: 5000\r\n"
    pipelined_requests = f"GET /lots/x HTTP/1.1\r\n{headers}\r\n".encode() * 16
    incomplete_request = f"POST /weigh/x HTTP/1.1\r\n{headers}Content-Length: 2000000\r\n\r\n".encode() + b"x" * 1_800_000
    print("| case | peak MB | longest wait s | statuses | others: slowest s, statuses |\n"
          "| --- | --- | --- | --- | --- |")
    cases = [(mode, mode, None) for mode in ENDLESS_MODES] + [("callers do not read", "large", pipelined_requests),
                                                              ("callers stop in their bodies", "ok", incomplete_request)]
    for name, mode, message in cases:
        with tempfile.TemporaryDirectory() as directory:
            fleet, entry = start(directory, mode)
            try:
                threads, statuses, durations = send_many(entry) if message is None else ([], {}, [0.0])
                connections = [] if message is None else open_stalled_connections(entry, message)
                slowest, other_statuses = measure_other_service(entry, 4.0)
                for thread in threads:
                    thread.join()
                print(f"| {name} | {entry.peak_memory_mb():.0f} | {max(durations):.1f} | {dict(statuses)} | {slowest:.2f}, "
                      f"{other_statuses} |", flush=True)
                for connection in connections:
                    connection.close()
            finally:
                fleet.end()


if __name__ == "__main__":
    main()
