"""After a kill of all processes no instance reads the list of runners any more.

With VARIANT=unreadable the name has bytes that are no UTF-8 in place of control characters.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import sim  # noqa: E402

RECOVER_S = 12.0
DOWN_S = 1.0
# Requests a second.
LOAD = 20
# Another writer's entry: bytes that can't be read, close to the largest value that the store takes
# (1,048,576 bytes), so that a page of the list ends with it. Its name sorts before the runners'.
FOREIGN_NAME = {"control": "\x01\x02\x1f\x03", "unreadable": "0\udcff\udcfe"}[
    os.environ.get("VARIANT", "control")]
FOREIGN_SPEC = "\x04" * 174_720


async def traffic(site, name, seconds):
    """Sends requests to all machines in turn. Returns the share that is served."""
    answered = []

    async def send(number):
        gateway = site.gateways[number % len(site.gateways)]
        attempt = f"{name}-{number}"
        sent = sim.call(gateway.callers, "GET", "/reads/x", attempt, 1500)
        try:
            status, _, body = await asyncio.wait_for(sent, 2)
            served = status == 200 and body == b"done " + attempt.encode()
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, served = "no answer", False
        site.record.write(f"{attempt} sent to {gateway.name}, answered {status}")
        answered.append(served)

    for number in range(int(seconds * LOAD)):
        asyncio.ensure_future(send(number))
        await asyncio.sleep(1 / LOAD)
    await asyncio.sleep(2.5)
    share = sum(answered) / len(answered)
    site.record.say(f"{name}: {sum(answered)} of {len(answered)} requests are served")
    return share


async def case(site):
    for zone in ("east", "west"):
        site.gateway(f"front-{zone}", zone)
        await site.runner(f"r-{zone}", "ledger", zone=zone)
    await site.manifest(7, [sim.route("reads", "safe", "ledger")], [sim.plain_service("ledger")])
    for gateway in site.gateways:
        await gateway.start()
    for gateway in site.gateways:
        if not await gateway.until_ready(10):
            return None
    if sim.TROUBLE:
        await site.store.put("servers", FOREIGN_NAME, FOREIGN_SPEC)
        site.record.write("another writer left an entry")
        await asyncio.sleep(1)
    before = await traffic(site, "before", 6)
    if before < 0.25:
        return None

    for gateway in site.gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in site.gateways:
        await gateway.wait(5)
    await asyncio.sleep(DOWN_S)
    for gateway in site.gateways:
        await gateway.start()
    back_at = sim.now()
    await asyncio.sleep(RECOVER_S + 1)
    after = await traffic(site, "after", 8)
    for gateway in site.gateways:
        site.record.say(f"{gateway.name}: ready {await gateway.is_ready()}")
        for line in gateway.log().splitlines():
            if "panicked" in line or "store lost" in line:
                site.record.say(f"{gateway.name} logs: {line}")
    site.record.write(f"the machines were back at {back_at:.3f}")
    held = after >= 0.25
    site.record.say("RECOVER held" if held else "RECOVER is broken")
    return held


sim.main(case, HERE)
