"""Case 2: a gateway that was frozen while it connected sends an unsafe request to two workers."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from fleet import Client, Fleet, main, read_only_routes, request_bytes  # noqa: E402

SERVICE = "roster-app"
ZONES = ("centru-a", "centru-b", "centru-c")
PLAY_S = 95
FREEZE_S = 0.45
CALLERS = 80


async def play(folder, trouble):
    fleet = Fleet(folder, read_only_routes(SERVICE), [{"name": SERVICE, "max-connections": 110}])
    try:
        await fleet.start_store()
        for i, zone in enumerate(ZONES):
            await fleet.add_worker(f"i-{i}", SERVICE, zone, work_s=0.03, slots=6)
        for i in range(8):
            fleet.add_gateway(f"front-{i}", ZONES[i % 3])
        await fleet.until_ready()
        await asyncio.sleep(1.5)
        gateway = fleet.gateways[0]
        answers = {}

        def broken():
            return [i for i, names in fleet.runs.items()
                    if len(names) > 1 or answers.get(i) in (408, 421, 429, 503)]

        async def caller(number, stop):
            client = await Client(fleet, gateway, f"c{number}").connect()
            while not stop.is_set():
                request_id = fleet.new_id()
                client.send(request_bytes(fleet, "POST", "/pule252/2f", 2500, request_id,
                                          body=b"assign=1"), request_id)
                answer = await client.answer(2.5)
                if answer is None:
                    client.close()
                    client = await Client(fleet, gateway, f"c{number}").connect()
                else:
                    answers[request_id] = answer.status
                await asyncio.sleep(random.uniform(0.02, 0.25))
            client.close()

        stop = asyncio.Event()
        callers = [asyncio.create_task(caller(i, stop)) for i in range(CALLERS)]
        await asyncio.sleep(1)
        freezes = 0
        end = time.monotonic() + PLAY_S
        while time.monotonic() < end and not broken():
            freezes += 1
            await asyncio.sleep(random.uniform(0.15, 0.35))
            if trouble:
                gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            if trouble:
                gateway.signal(signal.SIGCONT)
        await asyncio.sleep(2)
        stop.set()
        await asyncio.gather(*callers)
        for request_id in broken():
            names = fleet.runs[request_id]
            rule = "TWICE" if len(names) > 1 else "REFUSED"
            text = f"{rule} {request_id} ran at {' and '.join(names)}, answer {answers.get(request_id)}"
            fleet.record.add("fault", text=text)
            print(text)
        print(f"{len(fleet.runs)} requests ran, {freezes} freezes")
        return not broken()
    finally:
        await fleet.close()


main(Path(__file__).resolve().parent, play)
