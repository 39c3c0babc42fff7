"""Waiting watches are cut off; a server whose entry is removed after that still gets requests."""

import asyncio
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standin

DRAIN_S = standin.BOUNDS["drainTimeoutMs"] / 1e3


async def send(site, count):
    """Sends that many calls at once to each machine."""
    calls = [site.plain_call(g, "GET", "/reads/2f") for _ in range(count) for g in site.gateways]
    await asyncio.gather(*calls)


async def scenario(site, has_trouble):
    site.zones = ("north", "south", "east")
    await site.start(gateways=6, plain=3)
    await send(site, 4)
    if has_trouble:
        site.store.cut_watches()
    # Even if that counts as a disturbance, the store is stable again after this time.
    await asyncio.sleep(standin.CONTACT_S + 0.2)
    # It doesn't report `draining`: its entry is removed, and it goes on serving.
    leaving = site.servers[0]
    leaving.state = "draining"
    acked_at = site.store.remove("servers", leaving.name)
    site.record.line(f"{leaving.name}: entry removed, acknowledged")
    await asyncio.sleep(DRAIN_S + 0.05)
    for _ in range(2):
        await send(site, 4)
        await asyncio.sleep(0.02)
    late = [(at, a) for at, a in leaving.runs if at > acked_at + DRAIN_S]
    for at, attempt in late:
        site.record.line(f"{leaving.name} ran {attempt} {at - acked_at:.3f} s after it")
    print(f"requests later than {DRAIN_S} s: {len(late)}, allowed 0")
    return bool(late)


standin.main(tempfile.mkdtemp(), scenario)
