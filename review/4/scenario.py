"""Requests with a part that crashes engines get another part quarantined, which sound requests
have."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standin

BAD_PART, COMMON_PART = "bad0a17e", "c0ffee01"
SOUND_GAP_S = 1.0


class Sound:
    """Sound requests at a steady rate: when each was sent, and whether it began at once."""

    def __init__(self, site):
        self.site, self.sent = site, []

    async def run(self):
        number = 0
        while True:
            number += 1
            self.site.spawn(self.one(number))
            await asyncio.sleep(SOUND_GAP_S)

    async def one(self, number):
        gateway = self.site.gateways[number % len(self.site.gateways)]
        at = self.site.record.now()
        parts = [f"{number % 7:08x}", COMMON_PART, f"{0xa0000 + number:08x}"]
        _, answer = await self.site.stream(gateway, parts, note="sound ")
        self.sent.append((at, answer.status == 200 and bool(answer.body)))

    def begun(self, start, end):
        within = [ok for at, ok in self.sent if start <= at < end]
        return sum(within), len(within)


async def send_bad(site, number):
    gateway = site.gateways[number % len(site.gateways)]
    parts = [BAD_PART, COMMON_PART, f"{0xb0000 + number:08x}"]
    await site.stream(gateway, parts, note="crashing ")


async def scenario(site, has_trouble):
    await site.start(gateways=8, engines=10)
    for engine in site.engines():
        engine.crash_part = BAD_PART
    sound = Sound(site)
    start = site.record.now()
    sending = site.spawn(sound.run())
    await asyncio.sleep(25 * SOUND_GAP_S)
    before_end = site.record.now()
    # Between two sound requests, several clients send requests with the part.
    await asyncio.sleep(0.4)
    number = 0
    if has_trouble:
        for number in range(5):
            site.spawn(send_bad(site, number))
            await asyncio.sleep(0.06)
    await asyncio.sleep(2)
    crashes = sorted(at for e in site.engines() for at in e.crashes)
    # Such requests still come.
    counted_from = None
    end = site.record.now() + 30
    while site.record.now() < end:
        number += 1
        if has_trouble:
            site.spawn(send_bad(site, number))
        await asyncio.sleep(1)
        crashes = sorted(at for e in site.engines() for at in e.crashes)
    fifth = crashes[min(4, len(crashes) - 1)] if crashes else before_end
    counted_from = fifth + 2 * standin.CONTACT_S
    sending.cancel()
    begun, sent = sound.begun(start, before_end)
    begun_after, sent_after = sound.begun(counted_from, site.record.now() - 1)
    site.record.line(f"crashes: {', '.join(f'{at:.3f}' for at in crashes)}")
    site.record.line(f"sound requests before: {begun} of {sent} began at the first attempt")
    site.record.line(f"sound requests from {counted_from:.3f}: {begun_after} of {sent_after} "
                     f"began at the first attempt")
    if min(sent, sent_after) < 20:
        raise standin.CannotRun("fewer than 20 sound requests")
    return begun_after / sent_after < 0.5 * begun / sent


standin.main(pathlib.Path(__file__).resolve().parent, scenario)
