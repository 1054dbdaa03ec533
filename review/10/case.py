"""The directory names a machine that was killed over contact_s + 3 s before, beside running ones."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins2 import HOST, REGION, ZONES, ask, config, play, route  # noqa: E402

CONTACT_S = 3.0
# Twenty machines; the last zone has two of them.
PLACES = [ZONES[0]] * 9 + [ZONES[1]] * 9 + [ZONES[2]] * 2


async def case(fleet, trouble):
    fleet.store.write("keyed.op", "config", config(0x0a, {"lots": route("/lots/", "lots")}, ("lots",)))
    for zone in ZONES:
        await fleet.add_instance(f"i-{zone}", "lots", zone)
    await fleet.start_entries()
    await asyncio.sleep(12)
    removed = fleet.entries[4]
    directories = [entry for entry in fleet.entries if entry.zone == ZONES[2]]
    if trouble:
        removed.signal(signal.SIGKILL)
        removed.child.wait()
    removed_at = fleet.record.now()
    wrong = answers = 0
    last = 0.0
    while fleet.record.now() < removed_at + 14:
        for entry in directories:
            # As a client of the zone of this machine, which asks the nearest directory first.
            sent = fleet.record.now()
            got = await ask(entry.registry, "GET", f"/v1/resolve?name={HOST}&region={REGION}&zone={entry.zone}",
                            timeout=1)
            if got is None or got[0] != 200:
                fleet.record.write(f"{entry.name} answered {got and got[0]}")
                continue
            named = json.loads(got[2])["addresses"]
            names_removed = removed.traffic in named
            fleet.record.write(f"{sent - removed_at:6.2f} s after the removal {entry.name} names {len(named)} "
                               f"machines, {'with' if names_removed else 'without'} the removed one")
            if names_removed:
                last = sent - removed_at
            if sent > removed_at + CONTACT_S + 3:
                answers += 1
                wrong += trouble and names_removed and len(named) > 1
        await asyncio.sleep(0.1)
    fleet.record.say(f"of {answers} answers later than contact_s + 3 s after the removal, {wrong} name the removed "
                     f"machine beside running ones; it was named last after {last:.2f} s")
    if answers < 20:
        fleet.record.say("too few answers")
        sys.exit(2)
    return wrong <= 3

play(Path(__file__).resolve().parent, case, entries=len(PLACES), zones=PLACES, seeds=[0, 9, 18],
     parameters={"evacuate_s": 5, "apply_s": 2.5, "drain_s": 2.5, "ack_s": 5, "sync_s": 6, "probes_per_s": 42})
