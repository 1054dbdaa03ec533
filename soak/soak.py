"""Runs entries, store and back ends as processes, injects faults from outside, and checks what callers were told.

    python3 soak/soak.py [--seed N] [--seeds COUNT] [--seconds S] [--entries N] [--backends N]

Each seed fixes the series of faults. Exit code 1 when a promise was broken; the seed and the logs are kept.
"""

import argparse
import asyncio
import collections
import contextlib
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "tests" / "system"), str(ROOT / "soak")]

from caller import NOT_RUN, TIMEOUT, Caller  # noqa: E402
from faultproxy import MODES, FaultProxy  # noqa: E402
from fleet import wait_until  # noqa: E402
from platformfleet import PlatformFleet, route  # noqa: E402
from rawbackend import RawBackend  # noqa: E402

REPORT_SECONDS = 0.5
SETTLE_SECONDS = 6.0
# Bounds of the pages: a change is in force, and a draining server gets nothing, after 2 s; disturbed for 3 s after a fault.
IN_FORCE_SECONDS, DRAIN_SECONDS, CONTACT_SECONDS = 2.0, 2.0, 3.0
BACKEND_MODES = ("ok", "refuse", "fail_fast", "answer_late", "unsealed", "cut")
# Of a back end that sends its bytes as it likes: second copies, answers that break off, and such without end.
RAW_MODES = ("second_copy", "cut", "cut_chunked", "reset_unframed", "endless_chunks", "endless_unframed",
             "endless_interim", "endless_others")
# A rule's timeout ends a request with an answer; the margin is the promised half second and the loopback's own time.
ANSWER_SECONDS = TIMEOUT + 0.6


class Soak:
    def __init__(self, seed, seconds, entries, backends, directory):
        self.random = random.Random(seed)
        self.seconds, self.directory = seconds, directory
        self.fleet = PlatformFleet(directory, entries)
        self.version = 1
        self.told, self.faults, self.disturbed = [], [], {}
        # Times of acknowledgements by version; (start, end) of faults of the store and of pauses; drains seen.
        self.acknowledged, self.unstable, self.late_work = {}, [], []
        self.backends = [self.fleet.add_backend(f"s-{number}", service_ms=8) for number in range(backends)]
        self.raw = RawBackend(self.fleet.store, "raw-1")

    def note(self, fault):
        self.faults.append(f"{time.monotonic() - self.began:.2f} {fault}")

    async def run(self):
        self.began = time.monotonic()
        self.proxies = [FaultProxy(backend.address) for backend in self.backends]
        for backend, proxy in zip(self.backends, self.proxies):
            await proxy.start()
            backend.direct, backend.address = backend.address, proxy.address
        self.change_config()
        reporting = asyncio.create_task(self.report_loop())
        await asyncio.to_thread(self.fleet.wait_until_serving)
        until = time.monotonic() + self.seconds
        callers = [Caller(f"c{n}", self.fleet.entries, random.Random(n), self.told, self.paths) for n in range(8)]
        await asyncio.gather(self.disturb(until), *(caller.run(until + SETTLE_SECONDS, 0.05) for caller in callers))
        reporting.cancel()
        for proxy in self.proxies:
            proxy.stop()
        await asyncio.sleep(1.0)
        return self.check(until + SETTLE_SECONDS - 2.0)

    async def report_loop(self):
        while True:
            for backend in [*self.backends, self.raw]:
                await self.in_store(backend.report, getattr(backend, "state", "ready"))
            await asyncio.sleep(REPORT_SECONDS)

    async def in_store(self, call, *arguments):
        """True when the store has acknowledged; it may be down by the soak's own fault."""
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
        self.acknowledged[self.version] = time.monotonic()

    def paths(self):
        """A request of a rule that was added lately shows which configuration an entry acts on."""
        added = [f"/v{version}/x" for version in list(self.acknowledged)[-2:]]
        return ["/lots/x", "/weigh/x", "/weigh/x", *added]

    def was_stable(self, start, end):
        return not any(fault_start < end and start < fault_end for fault_start, fault_end in self.unstable)

    @contextlib.contextmanager
    def instability(self):
        """Until its end, and for a while after it, bounds of time do not hold."""
        fault = (time.monotonic(), float("inf"))
        self.unstable.append(fault)
        try:
            yield
        finally:
            self.unstable[self.unstable.index(fault)] = (fault[0], time.monotonic() + CONTACT_SECONDS)

    async def disturb(self, until):
        kinds = [self.kill, self.terminate, self.pause, self.cut_backend, self.spoil_backend, self.spoil_raw, self.store_away,
                 self.new_config, self.drain_backend]
        # Few kinds at a time leave room for the bounds of time to be checked; many kinds overlap.
        kinds = self.random.sample(kinds, self.random.randint(2, len(kinds))) + [self.new_config]
        running = set()
        while time.monotonic() < until - 1.5:
            running.add(asyncio.create_task(self.random.choice(kinds)()))
            await asyncio.sleep(self.random.uniform(0.1, 0.9))
        await asyncio.gather(*running)
        self.raw.mode = "ok"
        for proxy in self.proxies:
            proxy.set_mode("ok")
        for backend in self.backends:
            backend_address, backend.address = backend.address, backend.direct
            backend.control(mode="ok")
            backend.address = backend_address
        self.fleet.store.control(mode="ok", delay_ms=0)

    def pick_entry(self):
        number = self.random.randrange(len(self.fleet.entries))
        return number, self.fleet.entries[number]

    async def kill(self):
        number, entry = self.pick_entry()
        self.note(f"kill {entry.name}")
        entry.kill()
        await self.restart(number)

    async def terminate(self):
        number, entry = self.pick_entry()
        self.note(f"terminate {entry.name}")
        entry.signal(signal.SIGTERM)
        if self.random.random() < 0.3:
            await asyncio.sleep(0.2)
            self.note(f"kill {entry.name} while it leaves")
            entry.kill()
        await asyncio.to_thread(entry.child.wait, 10)
        await self.restart(number)

    async def restart(self, number):
        await asyncio.sleep(self.random.uniform(0, 0.5))
        old = self.fleet.entries[number]
        if old.child.poll() is not None:
            entry = self.fleet.start_entry(number)
            self.note(f"start {entry.name}")

    async def pause(self):
        _, entry = self.pick_entry()
        if entry.child.poll() is not None:
            return
        self.note(f"pause {entry.name}")
        self.disturbed[entry.name] = time.monotonic() + 60
        with self.instability():
            entry.signal(signal.SIGSTOP)
            # Some last longer than what the entry knew may be acted on.
            await asyncio.sleep(self.random.uniform(0.1, 4.0))
            if entry.child.poll() is None:
                entry.signal(signal.SIGCONT)
        self.disturbed[entry.name] = time.monotonic() + TIMEOUT

    async def cut_backend(self):
        proxy = self.random.choice(self.proxies)
        mode = self.random.choice(MODES[1:])
        self.note(f"link {self.proxies.index(proxy)} {mode}")
        proxy.set_mode(mode)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        proxy.set_mode("ok")

    async def spoil_backend(self):
        backend = self.random.choice(self.backends)
        mode = self.random.choice(BACKEND_MODES)
        self.note(f"back end {backend.name} {mode}")
        await asyncio.to_thread(self.control, backend, mode)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await asyncio.to_thread(self.control, backend, "ok")

    async def spoil_raw(self):
        self.raw.mode = self.random.choice(RAW_MODES)
        self.note(f"back end {self.raw.name} {self.raw.mode}")
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.raw.mode = "ok"

    @staticmethod
    def control(backend, mode):
        from fleet import ask
        ask(backend.direct, "POST", "/control", '{"mode": "%s", "late_ms": 200}' % mode)

    async def store_away(self):
        mode = self.random.choice(("down", "lose_answers"))
        self.note(f"store {mode}")
        with self.instability():
            await asyncio.to_thread(lambda: self.fleet.store.control(mode=mode))
            await asyncio.sleep(self.random.uniform(0.2, 3.0))
            await asyncio.to_thread(lambda: self.fleet.store.control(mode="ok"))

    async def new_config(self):
        self.note(f"config {self.version + 1}")
        await self.in_store(self.change_config)

    async def drain_backend(self):
        backend = self.random.choice(self.backends)
        if getattr(backend, "state", "ready") != "ready":
            return
        self.note(f"drain {backend.name}")
        backend.state = "draining"
        if await self.in_store(backend.report, "draining"):
            acknowledged = time.monotonic()
            await asyncio.sleep(DRAIN_SECONDS)
            before = await asyncio.to_thread(self.started, backend)
            await asyncio.sleep(1.0)
            after = await asyncio.to_thread(self.started, backend)
            if after > before and self.was_stable(acknowledged - CONTACT_SECONDS, time.monotonic()):
                self.late_work.append(f"{backend.name} was given {after - before} requests while it drained")
        # It starts anew.
        backend.born, backend.state = int(time.time() * 1000), "ready"

    @staticmethod
    def started(backend):
        from fleet import ask
        return ask(backend.direct, "GET", "/counts").json["started"]

    def check_versions(self):
        """Answers of an older configuration than the one that must be in force, or was acted on before."""
        broken, seen = [], {}
        for request in sorted(self.told, key=lambda told: told.started):
            if not request.path.startswith("/v"):
                continue
            version = int(request.path[2:].split("/")[0])
            if request.status == 200:
                seen[request.process] = max(version, seen.get(request.process, 0))
            if request.status != 404:
                continue
            due = self.acknowledged[version] + IN_FORCE_SECONDS
            if request.started > due and self.was_stable(due - IN_FORCE_SECONDS - CONTACT_SECONDS, request.ended):
                broken.append(f"{request.identity} met a configuration before {version} at {request.entry}")
            if version <= seen.get(request.process, 0):
                broken.append(f"{request.identity} met an older configuration than before at {request.entry}")
        return broken

    def check(self, settled):
        """Every broken promise, as text."""
        from fleet import ask
        runs = dict(collections.Counter(self.raw.requests))
        for backend in self.backends:
            counts = ask(backend.direct, "GET", "/counts").json
            for identity, count in counts["runs"].items():
                runs[identity] = runs.get(identity, 0) + count
        broken = self.late_work + self.check_versions()
        for request in self.told:
            ran = runs.get(request.identity, 0)
            if request.path.startswith("/weigh") and ran > 1:
                broken.append(f"{request.identity} ran {ran} times")
            if request.path.startswith("/weigh") and request.status in NOT_RUN and ran:
                broken.append(f"{request.identity} was told {request.status} and ran")
            if request.status == 200 and (not request.headers.get("server-seal")
                                          or request.headers.get("attempt-id") != request.identity):
                broken.append(f"{request.identity} got a success that is not its own")
            if request.status and request.ended - request.started > ANSWER_SECONDS \
                    and request.entry not in self.disturbed:
                broken.append(f"{request.identity} was answered after {request.ended - request.started:.2f} s")
            if request.status == 404 and not request.path.startswith("/v"):
                broken.append(f"{request.identity} was denied")
        late = [request for request in self.told if request.started > settled]
        served = sum(request.status == 200 for request in late)
        if not late or served < 0.9 * len(late):
            broken.append(f"{served} of {len(late)} were served after the faults")
        return broken


def play(seed, options):
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, options.seconds, options.entries, options.backends, directory)
    try:
        broken = asyncio.run(soak.run())
    finally:
        soak.fleet.end()
        soak.raw.end()
    served = sum(request.status == 200 for request in soak.told)
    print(f"seed={seed} requests={len(soak.told)} served={served} faults={len(soak.faults)} broken={len(broken)}")
    if broken:
        (directory / "faults.txt").write_text("\n".join(soak.faults + broken) + "\n")
        print(f"kept: {directory}\n  " + "\n  ".join(broken[:10]))
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
    passed = [play(seed, options) for seed in range(options.seed, options.seed + options.seeds)]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
