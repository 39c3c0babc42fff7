"""Two instances pace the same server: a late removal hides an instance that has started again."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import sim  # noqa: E402

# Requests a second that each runner takes from all machines together.
LIMIT = 20
# Requests a second that clients send for each service to each machine.
LOAD = 40
# Which machine paces a service depends on names, so there are some services.
SERVICES = ["svc-0", "svc-1", "svc-2", "svc-3"]
CONTACT_S = 3.0
WINDOW_S = 4.0
# The rule's bound for one window.
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5
# The answers of some writes are lost for this long at most, of this share of them at most, and the
# writes are done this much later. The site file allows 4.5 s and 0.35, `kinds` 1 to 6 s.
LOSS_S = 4.5
LOSS_SHARE = 0.35
LATE_S = 4.5


class Client:
    def __init__(self, site, gateway, service):
        self.site, self.gateway, self.service = site, gateway, service
        self.limit_seen_at = None
        self.statuses = {}

    async def send(self, number):
        attempt = f"{self.gateway.name}.{self.service}.{number}"
        sent = sim.call(self.gateway.callers, "GET", f"/{self.service}/x", attempt, 1500)
        try:
            status, headers, _ = await asyncio.wait_for(sent, 2)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, headers = 0, {}
        if "server-limit" in headers and self.limit_seen_at is None:
            self.limit_seen_at = sim.now()
        self.site.record.write(f"{attempt} sent to {self.gateway.name}, answered {status}")
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def run(self, seconds):
        end, number = sim.now() + seconds, 0
        while sim.now() < end:
            number += 1
            asyncio.ensure_future(self.send(number))
            await asyncio.sleep(1 / LOAD)
        await asyncio.sleep(2)


async def case(site):
    gateways = [site.gateway("front-a"), site.gateway("front-b")]
    for i, service in enumerate(SERVICES):
        runner = await site.runner(f"i-{i}", service, work_s=0.01)
        runner.extra = [("Server-Limit", str(LIMIT))]
    await site.manifest(7, [sim.route(s, "safe", s) for s in SERVICES],
                        [sim.plain_service(s) for s in SERVICES])
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        if not await gateway.until_ready(10):
            return None
    await asyncio.sleep(3)

    stopped = gateways[1]
    lost = []

    def lose(method, kind, name):
        # The last write of the process that stops is among the share whose answers are lost.
        if sim.TROUBLE and method == "DELETE" and name == stopped.name and not lost:
            lost.append(sim.now())
            return LATE_S
        return None

    writes_before = len(site.store.writes)
    site.store.lose_write = lose
    stopped.signal(signal.SIGTERM)
    await stopped.wait(9)
    if sim.TROUBLE:
        if not lost:
            site.record.say("the process that stopped has removed nothing: the case can't run")
            return None
        since = lost[0] - LOSS_S
        writes = [w for w in site.store.writes[writes_before:] if w[0] >= since]
        site.record.say(f"platform_lost: {len(lost)} of {len(writes)} writes in {LOSS_S} s")
        if len(lost) > LOSS_SHARE * len(writes):
            return None
    await asyncio.sleep(0.5)
    await stopped.start()
    if not await stopped.until_ready(10):
        return None
    # The late write is done, and both machines have been in touch for long.
    await asyncio.sleep(LATE_S + CONTACT_S)
    site.record.say(f"instances in the store: {sorted(site.store.kinds['hemlockwind-instances'])}")

    clients = [Client(site, g, s) for g in gateways for s in SERVICES]
    await asyncio.gather(*[client.run(16) for client in clients])
    held = True
    for client in clients:
        site.record.write(f"{client.gateway.name} {client.service}: {sorted(client.statuses.items())}, "
                          f"limit passed on at {client.limit_seen_at}")
    for runner in site.runners:
        passed_on = {c.gateway.name: c.limit_seen_at for c in clients if c.service == runner.service}
        if None in passed_on.values():
            site.record.say(f"{runner.service}: the limit was not passed on: the case can't run")
            return None
        arrivals = [(t, attempt.split(".")[0]) for t, attempt, _ in runner.arrivals]
        first = min(passed_on.values())
        counts = []
        for start in [first + CONTACT_S + 0.1 * k for k in range(80)]:
            counted = [g for t, g in arrivals
                       if start <= t < start + WINDOW_S and passed_on[g] + 0.5 <= t]
            counts.append((len(counted), {g: counted.count(g) for g in passed_on}))
        worst = max(counts, key=lambda c: c[0])
        site.record.say(f"{runner.service}: at most {worst[0]} requests in {WINDOW_S} s {worst[1]}, "
                        f"allowed {ALLOWED}")
        held &= worst[0] <= ALLOWED
    site.record.say("LIMIT held" if held else "LIMIT is broken")
    return held


sim.main(case, HERE)
