"""An engine leaves; the streams on it that may not be resumed are cut though it goes on serving."""

import asyncio
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standin


async def scenario(site, has_trouble):
    configure = site.configure
    site.configure = lambda: configure(lambda m: m["routes"][0].update(streamResume=False))
    await site.start(gateways=2, engines=4)
    for engine in site.engines():
        engine.event_s = 0.1
    tasks = []
    for number in range(24):
        parts = ["c0ffee01", f"{number:08x}"]
        tasks.append(site.spawn(site.stream(site.gateways[number % 2], parts, "200,60")))
    await asyncio.sleep(0.8)
    leaving = max(site.engines(), key=lambda e: len(e.paths))
    on_it = len(leaving.paths)
    if has_trouble:
        leaving.leave()
    answers = [answer for _, answer in await asyncio.gather(*tasks)]
    cut = sum(not answer.is_complete for answer in answers)
    print(f"streams: {len(answers)}; on the leaving engine: {on_it}; cut: {cut}")
    return cut > 3


standin.main(tempfile.mkdtemp(), scenario)
