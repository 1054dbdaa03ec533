"""A configuration that is acknowledged after the store has returned from an earlier copy is never used."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from standins2 import ZONES, config, play, route  # noqa: E402

APPLY_S = 2.5
CONTACT_S = 3.0
SERVICES = ("old", "new")


def put(fleet, body):
    offset = fleet.store.write("keyed.op", "config", body)
    fleet.record.say(f"version {body['config_version']} acknowledged at offset {offset}: "
                     f"/moved/ to {body['routes']['moved']['service']}")


async def case(fleet, trouble):
    def version(number, service, timeout):
        return config(number, {"moved": route("/moved/", service, timeout)}, SERVICES)

    store = fleet.store
    put(fleet, version(0x0a, "old", 2.0))
    for zone in ZONES:
        for service in SERVICES:
            await fleet.add_instance(f"i-{service}-{zone}", service, zone)
    await fleet.start_entries()
    for entry in fleet.entries:
        fleet.load(entry, "/moved/x", per_s=10)
    await asyncio.sleep(6)
    saved = store.copy()
    fleet.record.write("the store takes a copy")
    await asyncio.sleep(1)
    put(fleet, version(0x0c, "old", 1.9))
    await asyncio.sleep(1.5)
    newest = version(0x0d, "old", 1.8)
    put(fleet, newest)
    await asyncio.sleep(1.5)
    if trouble:
        fleet.record.say("the drill: the store is away for 1 s, and returns from the copy, which is 4 s old")
        store.away = True
        await asyncio.sleep(1)
        store.restore(saved)
        store.away = False
        # The operator writes again what it wrote: op/config is the newest configuration in full.
        put(fleet, newest)
    else:
        await asyncio.sleep(1)
    # The core is stable again; twice the time that the pages ask for.
    await asyncio.sleep(2 * CONTACT_S)
    put(fleet, version(0x11, "new", 1.8))
    acknowledged = fleet.record.now()
    await asyncio.sleep(APPLY_S + 10)
    sent = {attempt: at for at, attempt, *_ in fleet.answers}
    by_old = {}
    total = 0
    for at, attempt, instance, _ in fleet.runs():
        if sent.get(attempt, 0) > acknowledged + APPLY_S:
            total += 1
            if instance.service == "old":
                by_old.setdefault(next(a[3].name for a in fleet.answers if a[1] == attempt), []).append(attempt)
    count = sum(len(ids) for ids in by_old.values())
    fleet.record.say(f"of {total} runs of requests sent later than apply_s after the acknowledgement, {count} were "
                     f"by the service of an older version, at {len(by_old)} of {len(fleet.entries)} machines")
    if total < 100:
        fleet.record.say("too few requests ran")
        sys.exit(2)
    return count == 0

play(Path(__file__).resolve().parent, case, parameters={"apply_s": 2.5, "drain_s": 2.5, "ack_s": 5, "sync_s": 6,
                                                        "evacuate_s": 5, "probes_per_s": 42})
