"""Engines hand out wrong bytes inside events; clients get those events twice."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standin

# The disruption at its dose: a third of the engines spoil two answers in a hundred for 5.5 s.
SHARE, SPOILT, WINDOW_S = 0.35, 0.02, 5.5
EVENTS = 8


class Trouble:
    """Picks the answers that are spoilt: one byte in the data of one event."""

    def __init__(self, engines):
        # Those that are used most.
        ordered = sorted(engines, key=lambda e: -len(e.runs))
        self.engines = ordered[: int(len(engines) * SHARE)]
        self.is_on = False
        self.ran, self.spoilt = 0, {}
        for engine in self.engines:
            engine.spoils = self.spoils

    def spoils(self, attempt, event):
        if not self.is_on:
            return False
        self.ran += event == 1
        if event != 4 or attempt in self.spoilt or len(self.spoilt) + 1 > SPOILT * self.ran:
            return False
        self.spoilt[attempt] = event
        return True


def ids(body):
    """Returns the ids of the events in an answer."""
    lines = body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


async def scenario(site, has_trouble):
    await site.start(gateways=3, engines=8)
    for engine in site.engines():
        engine.first_event_s, engine.event_s = 0.06, 0.02
    answers = []

    async def one(number):
        gateway = site.gateways[number % len(site.gateways)]
        answers.append(await site.stream(gateway, ["c0ffee01", f"{number:08x}"], "200,16"))

    start = site.record.now()
    trouble = None
    number = 0
    while (at := site.record.now() - start) < 2 + WINDOW_S:
        if at >= 2 and trouble is None:
            trouble = Trouble(site.engines())
            trouble.is_on = has_trouble
        number += 1
        site.spawn(one(number))
        await asyncio.sleep(0.012)
    trouble.is_on = False
    await asyncio.sleep(2)
    wrong = {a: ids(answer.body) for a, answer in answers
             if answer.status == 200 and answer.is_complete
             and ids(answer.body) != list(range(1, EVENTS + 1))}
    site.record.line(f"engines that spoil answers: {len(trouble.engines)} of "
                     f"{len(site.engines())}; answers in the window: {trouble.ran}, "
                     f"spoilt: {len(trouble.spoilt)}")
    for attempt, events in wrong.items():
        site.record.line(f"{attempt} complete, with the events {events}")
    site.record.line(f"streams: {len(answers)}; with a piece missing or twice: {len(wrong)}, "
                     f"allowed 0")
    return bool(wrong)


standin.main(pathlib.Path(__file__).resolve().parent, scenario)
