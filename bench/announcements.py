"""Measures how entries follow servers that announce that they leave, or that ask for pauses.

    python3 bench/announcements.py NAME=BINARIES [NAME=BINARIES ...]

BINARIES is a directory with the programs of a build. The builds are measured in turn; each case starts three entries
and six servers on loopback, with a fixed load of requests that may run once only. Prints one table row per case and
build.

release: the servers leave one after the other. Each announces it, reports it to the store 3 s later, and exits 1 s
after that, with whatever it is running; a new server has been added before.
burst: four of the six servers, then all of them, reject requests for a moment and ask for a pause of 0.5 to 3 s.
"""

import collections
import itertools
import os
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parents[1] / "tests" / "system")]

ENTRIES, SERVERS, CALLERS_PER_ENTRY = 3, 6, 6
OBJECTIVE_SECONDS = 0.3
DRAIN_SECONDS, SENT_BEFORE_SECONDS = 2.0, 0.5
REPORT_DELAY_SECONDS, EXIT_DELAY_SECONDS = 3.0, 1.0
PAUSES_SECONDS = (0.5, 1.0, 2.0, 3.0)


class Load:
    """Callers that send one request after another; a rejected caller returns when it is told to."""

    def __init__(self, entries):
        self.results, self.loaded = [], True
        self.threads = [threading.Thread(target=self.call, args=(entry, number))
                        for entry in entries for number in range(CALLERS_PER_ENTRY)]
        for thread in self.threads:
            thread.start()

    def call(self, entry, number):
        for sequence in itertools.count():
            if not self.loaded:
                return
            request_id = f"{entry.name}:{number}-{sequence}"
            started_at = time.monotonic()
            answer = entry.send("/weigh/x", "POST", attempt=request_id, deadline_ms=1500)
            ended_at = time.monotonic()
            self.results.append((request_id, answer, started_at, ended_at))
            time.sleep(min(float(answer.headers.get("retry-after", 0.01)), 1.0) if answer.status == 503 else 0.01)

    def stop(self):
        self.loaded = False
        for thread in self.threads:
            thread.join()


def late_after_leaving(results, arrivals):
    """Requests that reached a server later than 2 s after their entry had passed on that it leaves."""
    told_at = {}
    for request_id, answer, _, ended_at in sorted(results, key=lambda result: result[3]):
        if answer.headers.get("server-leaving"):
            told_at.setdefault((request_id.split(":")[0], answer.headers["server-seal"]), ended_at)
    started = {request_id: started_at for request_id, _, started_at, _ in results}
    return sum(started.get(request_id, 0) > told_at.get((request_id.split(":")[0], name), float("inf")) + DRAIN_SECONDS
               for name, items in arrivals.items() for request_id, _, _ in items)


def beyond_pauses(arrivals):
    """Requests above two that reached a server from one entry in a pause, and the largest number in 50 ms after one."""
    beyond, returns = 0, [0]
    for items in arrivals.values():
        by_entry = collections.defaultdict(list)
        for request_id, at_ms, retry_after in items:
            by_entry[request_id.split(":")[0]].append((at_ms / 1000, float(retry_after or 0)))
        for times in by_entry.values():
            for at, pause in times:
                if pause:
                    inside = [other for other, _ in times if at + SENT_BEFORE_SECONDS < other < at + pause]
                    beyond = max(beyond, len(inside) - 2)
        ends = [at_ms / 1000 + float(retry_after) for _, at_ms, retry_after in items if retry_after]
        for end in ends:
            returns.append(sum(end <= at_ms / 1000 < end + 0.05 for _, at_ms, _ in items))
    return beyond, max(returns)


def release(fleet):
    for number in range(SERVERS):
        old = fleet.backends[f"s-{number}"]
        fleet.add_backend(f"n-{number}", service_ms=20)
        time.sleep(0.5)
        old.leaving_at = time.monotonic()
        old.control(leaving=True)
        time.sleep(REPORT_DELAY_SECONDS)
        old.report("draining")
        time.sleep(EXIT_DELAY_SECONDS)
        old.arrived = old.counts()["arrivals"]
        old.kill()
        old.remove()


def burst(fleet):
    servers = list(fleet.backends.values())
    for affected, pause in itertools.product((servers[:4], servers), PAUSES_SECONDS):
        for server in affected:
            server.control(mode="refuse", retry_after=str(pause))
        time.sleep(0.2)
        for server in affected:
            server.control(mode="ok", retry_after="")
        time.sleep(pause + 1.5)


def measure(case):
    from platformfleet import PlatformFleet, route
    with tempfile.TemporaryDirectory() as directory:
        fleet = PlatformFleet(directory, entries=ENTRIES)
        try:
            for number in range(SERVERS):
                fleet.add_backend(f"s-{number}", service_ms=20)
            fleet.store.put_config(5, {"weigh": route("/weigh/", kind="unsafe", timeout=1.5)})
            fleet.wait_until_serving("/weigh/x")
            load = Load(fleet.entries)
            {"release": release, "burst": burst}[case](fleet)
            load.stop()
            arrivals = {name: getattr(server, "arrived", None) or server.counts()["arrivals"]
                        for name, server in fleet.backends.items()}
        finally:
            fleet.end()
    reached = sum(at_ms / 1000 > getattr(server, "leaving_at", float("inf"))
                  for name, server in fleet.backends.items() for _, at_ms, _ in arrivals[name])
    statuses = collections.Counter(answer.status for _, answer, _, _ in load.results)
    in_time = sum(answer.status == 200 and ended_at - started_at <= OBJECTIVE_SECONDS
                  for _, answer, started_at, ended_at in load.results)
    beyond, returned = beyond_pauses(arrivals)
    failed = sum(count for status, count in statuses.items() if status not in (200, 503))
    rejections = sum(bool(retry_after) for items in arrivals.values() for _, _, retry_after in items)
    print(f"{len(load.results)} | {in_time} | {statuses[503]} | {failed} "
          f"| {reached / ENTRIES / SERVERS:.1f} | {late_after_leaving(load.results, arrivals)} | {rejections} | {beyond} | {returned} |")


def main():
    if len(sys.argv) == 3 and sys.argv[1] == "--measure":
        measure(sys.argv[2])
        return
    print("| case | build | requests | answered in time | rejected | failed "
          "| to a leaving server, by entry | of these late | rejected by servers | beyond two in a pause | most in 50 ms after a pause |")
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    for case in ("release", "burst"):
        for build in sys.argv[1:]:
            name, binaries = build.split("=", 1)
            environment = os.environ | {"CARDAMOMDECK_BIN": binaries, "PYTHONDONTWRITEBYTECODE": "1"}
            output = subprocess.run([sys.executable, __file__, "--measure", case], env=environment,
                                    capture_output=True, text=True, check=True).stdout
            print(f"| {case} | {name} | {output.strip()}", flush=True)


if __name__ == "__main__":
    main()
