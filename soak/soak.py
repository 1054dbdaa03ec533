"""Runs entries, the store and backend servers as processes, injects faults, and checks the results of callers.

    python3 soak/soak.py [--seed N] [--seeds COUNT] [--seconds S] [--entries N] [--backends N]

Each seed determines the sequence of faults. The exit code is 1 when an invariant is violated; the logs are then kept
in a directory with the seed in its name.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "tests" / "system"), str(ROOT / "soak")]

from caller import NOT_EXECUTED_STATUSES, TIMEOUT, Caller  # noqa: E402
from faultproxy import MODES, FaultProxy  # noqa: E402
from fleet import wait_until  # noqa: E402
from platformfleet import PlatformFleet, route  # noqa: E402
from rawbackend import RawBackend  # noqa: E402

REPORT_SECONDS = 0.5
SETTLE_SECONDS = 6.0
# Documented bounds: a change is in force, and a draining server gets no requests, after 2 s.
# Time bounds are not checked until 3 s after a fault.
IN_FORCE_SECONDS, DRAIN_SECONDS, RECOVERY_SECONDS = 2.0, 2.0, 3.0
MAX_REQUESTS_IN_PAUSE = 2
BACKEND_MODES = ("ok", "refuse", "fail_fast", "answer_late", "unsealed", "cut")
# Modes of the raw backend server: duplicate, truncated and endless responses.
RAW_MODES = ("second_copy", "cut", "cut_chunked", "reset_unframed", "endless_chunks", "endless_unframed",
             "endless_interim", "endless_others")
# A rule's timeout ends a request with a response; the margin is the documented half second plus the latency of the
# loopback interface.
MAX_RESPONSE_SECONDS = TIMEOUT + 0.6


class Soak:
    def __init__(self, seed, seconds, entries, backends, directory):
        self.random = random.Random(seed)
        self.seconds, self.directory = seconds, directory
        self.fleet = PlatformFleet(directory, entries)
        self.version = 1
        self.results, self.faults, self.paused_entries = [], [], {}
        # Acknowledgement times by version; (start, end) of store faults and pauses; requests to draining servers.
        self.acknowledged_at, self.unstable_periods, self.drain_violations = {}, [], []
        self.backends = [self.fleet.add_backend(f"s-{number}", service_ms=8) for number in range(backends)]
        self.raw = RawBackend(self.fleet.store, "raw-1")

        # Servers that are about to be replaced by a new instance.
        self.leaving_backends = set()
        # Times at which backend servers announced that they leave, and disrupted links, by name of the server.
        self.leaving_periods, self.link_faults = collections.defaultdict(list), collections.defaultdict(list)

    def record_fault(self, fault):
        self.faults.append(f"{time.monotonic() - self.soak_started_at:.2f} {fault}")

    async def run(self):
        self.soak_started_at = time.monotonic()
        self.proxies = [FaultProxy(backend.address) for backend in self.backends]
        for backend, proxy in zip(self.backends, self.proxies):
            await proxy.start()
            backend.direct, backend.address = backend.address, proxy.address
        self.change_config()
        report_task = asyncio.create_task(self.report_loop())
        await asyncio.to_thread(self.fleet.wait_until_serving)
        until = time.monotonic() + self.seconds
        callers = [Caller(f"c{n}", self.fleet.entries, random.Random(n), self.results, self.paths) for n in range(8)]
        await asyncio.gather(self.inject_faults(until),
                             *(caller.run(until + SETTLE_SECONDS, 0.05) for caller in callers))
        report_task.cancel()
        for proxy in self.proxies:
            proxy.stop()
        await asyncio.sleep(1.0)
        return self.find_violations(until + SETTLE_SECONDS - 2.0)

    async def report_loop(self):
        while True:
            for backend in [*self.backends, self.raw]:
                await self.try_store_call(backend.report, getattr(backend, "state", "ready"))
            await asyncio.sleep(REPORT_SECONDS)

    async def try_store_call(self, call, *arguments):
        """Returns whether the store acknowledged the call; an injected store fault makes it fail."""
        try:
            await asyncio.to_thread(call, *arguments)
        except AssertionError:
            return False
        return True

    def change_config(self):
        self.version += 1
        routes = {f"v{n}": route(f"/v{n}/", timeout=TIMEOUT) for n in range(2, self.version + 1)}
        self.fleet.store.put_config(self.version, routes | {
            "lots": route("/lots/", timeout=TIMEOUT), "weigh": route("/weigh/", kind="unsafe", timeout=TIMEOUT)})
        self.acknowledged_at[self.version] = time.monotonic()

    def paths(self):
        """Includes the two newest rules: their responses show which configuration version an entry uses."""
        added = [f"/v{version}/x" for version in list(self.acknowledged_at)[-2:]]
        return ["/lots/x", "/weigh/x", "/weigh/x", *added]

    def was_stable(self, start, end):
        return not any(fault_start < end and start < fault_end for fault_start, fault_end in self.unstable_periods)

    @contextlib.contextmanager
    def unstable_period(self):
        """Excludes the block, and RECOVERY_SECONDS after it, from the checks of time bounds."""
        fault = (time.monotonic(), float("inf"))
        self.unstable_periods.append(fault)
        try:
            yield
        finally:
            self.unstable_periods[self.unstable_periods.index(fault)] = (fault[0], time.monotonic() + RECOVERY_SECONDS)

    async def inject_faults(self, until):
        fault_kinds = [self.kill, self.terminate, self.pause, self.disrupt_backend_link, self.inject_backend_fault,
                       self.inject_raw_backend_fault, self.inject_store_fault, self.new_config, self.drain_backend,
                       self.announce_leaving, self.ask_for_pauses]
        # With few kinds there are periods in which time bounds are checked; with many kinds, faults overlap.
        fault_kinds = self.random.sample(fault_kinds, self.random.randint(2, len(fault_kinds))) + [self.new_config]
        running = set()
        while time.monotonic() < until - 1.5:
            running.add(asyncio.create_task(self.random.choice(fault_kinds)()))
            await asyncio.sleep(self.random.uniform(0.1, 0.9))
        await asyncio.gather(*running)
        self.raw.mode = "ok"
        for proxy in self.proxies:
            proxy.set_mode("ok")
        for backend in self.backends:
            backend_address, backend.address = backend.address, backend.direct
            backend.control(mode="ok", leaving=False, retry_after="")
            backend.address = backend_address
        self.fleet.store.control(mode="ok", delay_ms=0)

    def pick_entry(self):
        number = self.random.randrange(len(self.fleet.entries))
        return number, self.fleet.entries[number]

    async def kill(self):
        number, entry = self.pick_entry()
        self.record_fault(f"kill {entry.name}")
        entry.kill()
        await self.restart(number)

    async def terminate(self):
        number, entry = self.pick_entry()
        self.record_fault(f"terminate {entry.name}")
        entry.signal(signal.SIGTERM)
        if self.random.random() < 0.3:
            await asyncio.sleep(0.2)
            self.record_fault(f"kill {entry.name} during its shutdown")
            entry.kill()
        await asyncio.to_thread(entry.child.wait, 10)
        await self.restart(number)

    async def restart(self, number):
        await asyncio.sleep(self.random.uniform(0, 0.5))
        old = self.fleet.entries[number]
        if old.child.poll() is not None:
            entry = self.fleet.start_entry(number)
            self.record_fault(f"start {entry.name}")

    async def pause(self):
        _, entry = self.pick_entry()
        if entry.child.poll() is not None:
            return
        self.record_fault(f"pause {entry.name}")
        self.paused_entries[entry.name] = time.monotonic() + 60
        with self.unstable_period():
            entry.signal(signal.SIGSTOP)
            # Some pauses outlast the time for which the entry may act on its view.
            await asyncio.sleep(self.random.uniform(0.1, 4.0))
            if entry.child.poll() is None:
                entry.signal(signal.SIGCONT)
        self.paused_entries[entry.name] = time.monotonic() + TIMEOUT

    async def disrupt_backend_link(self):
        proxy = self.random.choice(self.proxies)
        mode = self.random.choice(MODES[1:])
        self.record_fault(f"link {self.proxies.index(proxy)} {mode}")
        started_at = time.monotonic()
        proxy.set_mode(mode)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        proxy.set_mode("ok")
        name = self.backends[self.proxies.index(proxy)].name
        self.link_faults[name].append((started_at, time.monotonic() + RECOVERY_SECONDS))

    async def inject_backend_fault(self):
        backend = self.random.choice(self.backends)
        mode = self.random.choice(BACKEND_MODES)
        self.record_fault(f"backend server {backend.name} {mode}")
        await asyncio.to_thread(self.control, backend, mode)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await asyncio.to_thread(self.control, backend, "ok")

    async def inject_raw_backend_fault(self):
        self.raw.mode = self.random.choice(RAW_MODES)
        self.record_fault(f"backend server {self.raw.name} {self.raw.mode}")
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.raw.mode = "ok"

    @staticmethod
    def control(backend, mode, **values):
        from fleet import ask
        ask(backend.direct, "POST", "/control", json.dumps({"mode": mode, "late_ms": 200} | values))

    async def announce_leaving(self):
        """A server announces in its responses that it leaves, and reports it later or not at all."""
        backend = self.random.choice(self.backends)
        if backend.name in self.leaving_backends:
            return
        self.record_fault(f"{backend.name} announces that it leaves")
        self.leaving_backends.add(backend.name)
        period = [time.monotonic(), float("inf")]
        self.leaving_periods[backend.name].append(period)
        await asyncio.to_thread(self.control, backend, "ok", leaving=True)
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        period[1] = time.monotonic()
        await asyncio.to_thread(self.control, backend, "ok", leaving=False)
        self.replace(backend)

    def replace(self, backend):
        """The next reports are those of a new instance."""
        backend.born, backend.state = int(time.time() * 1000), "ready"
        self.leaving_backends.discard(backend.name)

    async def ask_for_pauses(self):
        """One or all servers reject requests for a moment and ask for a pause, several times in a row."""
        backends = self.random.choice((self.backends, [self.random.choice(self.backends)]))
        for _ in range(self.random.randint(1, 3)):
            seconds = f"{self.random.uniform(0.5, 3.0):.2f}"
            self.record_fault(f"{len(backends)} servers ask for a pause of {seconds} s")
            for backend in backends:
                await asyncio.to_thread(self.control, backend, "refuse", retry_after=seconds)
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            for backend in backends:
                await asyncio.to_thread(self.control, backend, "ok", retry_after="")

    async def inject_store_fault(self):
        mode = self.random.choice(("down", "lose_answers"))
        self.record_fault(f"store {mode}")
        with self.unstable_period():
            await asyncio.to_thread(lambda: self.fleet.store.control(mode=mode))
            await asyncio.sleep(self.random.uniform(0.2, 3.0))
            await asyncio.to_thread(lambda: self.fleet.store.control(mode="ok"))

    async def new_config(self):
        self.record_fault(f"config {self.version + 1}")
        await self.try_store_call(self.change_config)

    async def drain_backend(self):
        backend = self.random.choice(self.backends)
        if backend.name in self.leaving_backends:
            return
        self.record_fault(f"drain {backend.name}")
        self.leaving_backends.add(backend.name)
        backend.state = "draining"
        if await self.try_store_call(backend.report, "draining"):
            acknowledged = time.monotonic()
            await asyncio.sleep(DRAIN_SECONDS)
            before = await asyncio.to_thread(self.started_requests, backend)
            await asyncio.sleep(1.0)
            after = await asyncio.to_thread(self.started_requests, backend)
            if after > before and self.was_stable(acknowledged - RECOVERY_SECONDS, time.monotonic()):
                self.drain_violations.append(f"{backend.name} received {after - before} requests while draining")
        self.replace(backend)

    @staticmethod
    def started_requests(backend):
        from fleet import ask
        return ask(backend.direct, "GET", "/counts").json["started"]

    def check_versions(self):
        """Returns responses from a version older than the one in force, or older than one that the process has used."""
        violations, shown_versions = [], collections.defaultdict(list)
        results = [result for result in self.results if result.path.startswith("/v")]
        for result in results:
            if result.status == 200:
                shown_versions[result.process].append((result.ended_at, int(result.path[2:].split("/")[0])))
        for result in results:
            if result.status != 404:
                continue
            version = int(result.path[2:].split("/")[0])
            in_force_by = self.acknowledged_at[version] + IN_FORCE_SECONDS
            if result.started_at > in_force_by \
                    and self.was_stable(in_force_by - IN_FORCE_SECONDS - RECOVERY_SECONDS, result.ended_at):
                violations.append(
                    f"{result.request_id} was handled by a version older than {version} at {result.entry}")
            # Only a version that was shown before the request was sent; a process that was paused reads what has
            # waited for it in any order.
            if any(ended_at < result.started_at and version <= shown
                   for ended_at, shown in shown_versions[result.process]):
                violations.append(f"{result.request_id} was handled by an older version than before at {result.entry}")
        return violations

    def check_announcements(self, backend, arrivals):
        """Returns requests that reached @p backend against what it had announced to the same process of an entry."""
        violations = []
        results = {result.request_id: result for result in self.results}
        arrived = {request_id for request_id, _, _ in arrivals}
        for leaving_from, leaving_until in self.leaving_periods[backend.name]:
            told_at = {}
            for result in sorted(self.results, key=lambda item: item.ended_at):
                in_period = leaving_from < result.started_at and result.ended_at < leaving_until
                if not in_period or not result.status:
                    continue
                if result.headers.get("server-leaving") and result.headers.get("server-seal") == backend.name:
                    told_at.setdefault(result.process, result.ended_at)
                told = told_at.get(result.process)
                if told and result.started_at > told + DRAIN_SECONDS and result.request_id in arrived \
                        and result.entry not in self.paused_entries:
                    violations.append(f"{result.request_id} reached {backend.name}, which was leaving")
        for request_id, at_ms, retry_after in arrivals:
            start, end = at_ms / 1000 + 0.5, at_ms / 1000 + float(retry_after or 0)
            faults = self.link_faults[backend.name]
            told = results.get(request_id)
            if start >= end or told is None or told.entry in self.paused_entries \
                    or any(first < end and start - 0.5 < last for first, last in faults):
                continue
            later = [other for other, other_ms, _ in arrivals if start < other_ms / 1000 < end
                     and results.get(other) and results[other].process == told.process]
            if len(later) > MAX_REQUESTS_IN_PAUSE:
                violations.append(f"{len(later)} requests reached {backend.name} in the pause after {request_id}, "
                                  f"the first {later[0]}")
        return violations

    def find_violations(self, settled_at):
        """Returns all violated invariants as text; 90 % of the requests after @p settled_at must be served."""
        from fleet import ask
        executions = dict(collections.Counter(self.raw.requests))
        violations = self.drain_violations + self.check_versions()
        for backend in self.backends:
            counts = ask(backend.direct, "GET", "/counts").json
            for request_id, count in counts["runs"].items():
                executions[request_id] = executions.get(request_id, 0) + count
            violations += self.check_announcements(backend, counts["arrivals"])
        for result in self.results:
            execution_count = executions.get(result.request_id, 0)
            if result.path.startswith("/weigh") and execution_count > 1:
                violations.append(f"{result.request_id} was executed {execution_count} times")
            if result.path.startswith("/weigh") and result.status in NOT_EXECUTED_STATUSES and execution_count:
                violations.append(f"{result.request_id} got status {result.status} but was executed")
            if result.status == 200 and (not result.headers.get("server-seal")
                                          or result.headers.get("attempt-id") != result.request_id):
                violations.append(f"{result.request_id} got a successful response without a seal or with a wrong id")
            if result.status and result.ended_at - result.started_at > MAX_RESPONSE_SECONDS \
                    and result.entry not in self.paused_entries:
                violations.append(
                    f"{result.request_id} got its response after {result.ended_at - result.started_at:.2f} s")
            if result.status == 404 and not result.path.startswith("/v"):
                violations.append(f"{result.request_id} got status 404 for a configured rule")
        late_results = [result for result in self.results if result.started_at > settled_at]
        served = sum(result.status == 200 for result in late_results)
        if not late_results or served < 0.9 * len(late_results):
            violations.append(f"{served} of {len(late_results)} requests were served after the faults")
        return violations


def run_seed(seed, options):
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, options.seconds, options.entries, options.backends, directory)
    try:
        violations = asyncio.run(soak.run())
    finally:
        soak.fleet.end()
        soak.raw.end()
    served = sum(result.status == 200 for result in soak.results)
    print(f"seed={seed} requests={len(soak.results)} served={served} faults={len(soak.faults)} "
          f"broken={len(violations)}")
    if violations:
        (directory / "faults.txt").write_text("\n".join(soak.faults + violations) + "\n")
        print(f"kept: {directory}\n  " + "\n  ".join(violations[:10]))
        return False
    shutil.rmtree(directory)
    return True


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--backends", type=int, default=4)
    options = parser.parse_args()
    passed = [run_seed(seed, options) for seed in range(options.seed, options.seed + options.seeds)]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
