"""A runner is lost for good, as an entry of another writer takes its address.

With VARIANT=restart the former entry of a runner that has started again does it instead.
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import sim  # noqa: E402

RECOVER_S = 12.0
DOWN_S = 1.0
RUNNER_DOWN_S = 1.0
# `heartbeatMs` of the settings: an entry is removed after three ping intervals of silence.
HEARTBEAT_S = 1.2
VARIANT = os.environ.get("VARIANT", "foreign")
# Requests a second.
LOAD = 20


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


async def start_again(site, runner, runner_id):
    """Starts a crashed runner again at its address, with a new id. The store keeps the former entry
    until three ping intervals have passed."""
    former = runner.id
    crashed_at = sim.now()
    site.record.write(f"{former} crashes")
    runner.server.close()
    await asyncio.sleep(RUNNER_DOWN_S)
    ip, port = runner.addr.split(":")
    runner.id, runner.born = runner_id, int(time.time() * 1000)
    runner.server = await asyncio.start_server(runner.connection, ip, int(port), limit=1 << 20)
    await runner.register()
    site.record.write(f"{runner_id} starts at the same address and registers")

    async def lapse():
        await asyncio.sleep(3 * HEARTBEAT_S - (sim.now() - crashed_at))
        await site.store.delete("servers", former)
        site.record.write(f"the entry of {former} has lapsed")
    asyncio.ensure_future(lapse())


async def leave_foreign_entry(site, runner):
    """Another writer keeps a list of its own: "monitoring" is no service of the manifest."""
    await site.store.put("servers", "watch-1", {
        "service": "monitoring", "address": runner.addr, "zone": runner.zone, "state": "ready"})
    site.record.write(f"another writer left an entry with the address of {runner.id}")


async def case(site):
    for zone in ("east", "west"):
        site.gateway(f"front-{zone}", zone)
    runner = await site.runner("i-7f3a91c2", "ledger", register=False)
    if sim.TROUBLE and VARIANT == "foreign":
        await leave_foreign_entry(site, runner)
    await site.manifest(7, [sim.route("reads", "safe", "ledger")], [sim.plain_service("ledger")])
    for gateway in site.gateways:
        await gateway.start()
    await asyncio.sleep(1)
    # The runner registers while the machines run, so that they see its entry after the other one.
    await runner.register()
    for gateway in site.gateways:
        if not await gateway.until_ready(10):
            return None
    before = await traffic(site, "before", 6)
    if before < 0.25:
        return None
    if sim.TROUBLE and VARIANT == "restart":
        await start_again(site, runner, "i-2c81e0d5")
        await asyncio.sleep(0.3)

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
    site.record.say(f"entries in the store: {sorted(site.store.kinds['servers'])}")
    direct = await sim.call(runner.addr, "GET", "/reads/x", "direct-1")
    site.record.say(f"{runner.id} itself answers {direct[0]}")
    site.record.write(f"the machines were back at {back_at:.3f}")
    held = after >= 0.25
    site.record.say("RECOVER held" if held else "RECOVER is broken")
    return held


sim.main(case, HERE)
