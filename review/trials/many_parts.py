"""The part that crashes engines comes after 70 parts that all requests share."""

import asyncio
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standin

BAD_PART = "bad0a17e"
COMMON_PARTS = [f"c0{n:06x}" for n in range(70)]
# The rule allows three requests later than `contactMs` after the fifth crash.
ALLOWED = 3


async def send_sound(site):
    number = 0
    while True:
        number += 1
        gateway = site.gateways[number % len(site.gateways)]
        site.spawn(site.stream(gateway, [*COMMON_PARTS, f"{number:08x}"], note="sound "))
        await asyncio.sleep(0.2)


async def scenario(site, has_trouble):
    await site.start(gateways=4, engines=8)
    for engine in site.engines():
        engine.crash_part = BAD_PART if has_trouble else None
    sound = site.spawn(send_sound(site))
    await asyncio.sleep(2)
    bad = set()
    for number in range(20):
        parts = [*COMMON_PARTS, BAD_PART, f"{0xb0000 + number:08x}"]
        gateway = site.gateways[number % len(site.gateways)]
        task = site.spawn(site.stream(gateway, parts, note="crashing "))
        task.add_done_callback(lambda t: bad.add(t.result()[0]))
        await asyncio.sleep(1)
    await asyncio.sleep(1)
    sound.cancel()
    crashes = sorted(at for e in site.engines() for at in e.crashes)
    if len(crashes) < 5:
        return False
    since = crashes[4] + standin.CONTACT_S
    late = [a for e in site.engines() for at, a in e.arrivals if a in bad and at > since]
    print(f"crashes: {len(crashes)}; requests later than contactMs after the fifth: {len(late)}, "
          f"allowed {ALLOWED}")
    return len(late) > ALLOWED


standin.main(tempfile.mkdtemp(), scenario)
