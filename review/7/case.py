"""An evacuation that is acknowledged after the store has returned from an earlier copy is never obeyed."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from standins2 import ZONES, config, play, route  # noqa: E402

EVACUATE_S = 5.0
CONTACT_S = 3.0
EVACUATED = ZONES[1]


async def case(fleet, trouble):
    store = fleet.store
    store.write("keyed.op", "config", config(0x0a, {"lots": route("/lots/", "lots")}, ("lots",)))
    for zone in ZONES:
        for number in range(2):
            await fleet.add_instance(f"i-{zone}-{number}", "lots", zone)
    await fleet.start_entries()
    for entry in fleet.entries:
        fleet.load(entry, "/lots/x", per_s=10)
    await asyncio.sleep(6)
    saved = store.copy()
    fleet.record.write("the store takes a copy")
    await asyncio.sleep(0.5)
    offset = store.write("keyed.op", f"evacuate/{EVACUATED}", {"at": 1})
    fleet.record.say(f"the evacuation of {EVACUATED} is acknowledged at offset {offset}")
    await asyncio.sleep(2)
    offset = store.write("keyed.op", f"evacuate/{EVACUATED}", b"")
    fleet.record.say(f"it is taken back at offset {offset}")
    await asyncio.sleep(1.5)
    if trouble:
        fleet.record.say("the drill: the store is away for 1 s, and returns from the copy, which is 4 s old")
        store.away = True
        await asyncio.sleep(1)
        # The operator has nothing to write again: the configuration is in the copy, and no zone is evacuated.
        store.restore(saved)
        store.away = False
    else:
        await asyncio.sleep(1)
    # The core is stable again; twice the time that the pages ask for.
    await asyncio.sleep(2 * CONTACT_S)
    offset = store.write("keyed.op", f"evacuate/{EVACUATED}", {"at": 2})
    acknowledged = fleet.record.now()
    fleet.record.say(f"a second evacuation of {EVACUATED} is acknowledged at offset {offset}")
    await asyncio.sleep(EVACUATE_S + 10)
    late = [run for run in fleet.runs() if run[0] > acknowledged + EVACUATE_S]
    wrong = [run for run in late if run[2].zone == EVACUATED]
    fleet.record.say(f"of {len(late)} runs later than evacuate_s after the acknowledgement, {len(wrong)} were in "
                     f"{EVACUATED}")
    if len(late) < 100:
        fleet.record.say("too few requests ran")
        sys.exit(2)
    return not wrong

play(Path(__file__).resolve().parent, case, parameters={"evacuate_s": 5, "apply_s": 2.5, "drain_s": 2.5, "ack_s": 5,
                                                        "sync_s": 6, "probes_per_s": 42})
