"""Case 3: requests with a very large output limit end gateway processes."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from fleet import (Client, Engine, Fleet, main, read_only_routes, request_bytes,  # noqa: E402
                   route)

PLAIN = "roster-app"
POOL = "tarragon-pool"
ZONES = ("centru-a", "centru-b", "centru-c")
PLAY_S = 60
ROUND_S = 0.5
WRITERS = 8
DRAFTERS = 1
# Prompt tokens and output tokens. The largest 32-bit integer stands for "no limit of my own".
SIZE = "1460,80"
UNLIMITED = "1460,2147483647"


async def play(folder, trouble):
    routes = read_only_routes(PLAIN) + [
        route("leak-triage", "/lohu930/", "stream", POOL, 6000, 1500, 2, resumable=True,
              sticky=True, **{"gap-target-ms": 180})]
    engine = {"slots": 24, "kv-capacity": 34371, "moves": True, "backups": True}
    fleet = Fleet(folder, routes, [{"name": PLAIN, "max-connections": 110},
                                   {"name": POOL, "max-connections": 252, "engine": engine}])
    try:
        await fleet.start_store()
        for i in range(3):
            await fleet.add_worker(f"i-{i}", PLAIN, ZONES[i], work_s=0.06)
        for i in range(12):
            await fleet.add_worker(f"e-{i}", POOL, ZONES[i % 3], kind=Engine)
        for i in range(8):
            fleet.add_gateway(f"front-{i}", ZONES[i % 3])
        await fleet.until_ready()
        await asyncio.sleep(1.5)
        stop = asyncio.Event()
        cut = {}

        def lost():
            return {name: ids for name, ids in cut.items() if len(ids) > 3}

        async def writer(gateway, number):
            """A client with a kept connection and one unsafe request after the other."""
            client = await Client(fleet, gateway, f"{gateway.name}-w{number}").connect()
            sent = 0
            while not stop.is_set():
                request_id = fleet.new_id()
                client.send(request_bytes(fleet, "POST", "/pule252/2f", 2500, request_id,
                                          body=b"assign=1"), request_id)
                if await client.answer(4) is None:
                    if request_id in fleet.passed_on and sent > 0:
                        cut.setdefault(gateway.name, []).append(request_id)
                    return
                sent += 1
                await asyncio.sleep(0.02)
            client.close()

        async def drafter(gateway, number, size):
            try:
                client = await Client(fleet, gateway, f"{gateway.name}-d{number}").connect()
            except OSError:
                return
            request_id = fleet.new_id()
            headers = [("Model", "m"), ("Token-Usage", size),
                       ("Prompt-Prefix", f"5c1e07a2:800,{request_id}:660")]
            client.send(request_bytes(fleet, "POST", "/lohu930/2f", 6000, request_id, headers,
                                      b"report"), request_id)
            await client.answer(7)
            client.close()

        writers = [asyncio.create_task(writer(g, i)) for g in fleet.gateways for i in range(WRITERS)]
        await asyncio.sleep(2)
        drafters = []
        end = time.monotonic() + PLAY_S
        while time.monotonic() < end and not lost():
            for gateway in fleet.gateways:
                for i in range(DRAFTERS):
                    size = UNLIMITED if trouble else SIZE
                    drafters.append(asyncio.create_task(drafter(gateway, i, size)))
            await asyncio.sleep(ROUND_S)
        await asyncio.sleep(1)
        stop.set()
        await asyncio.gather(*writers, *drafters)
        ended = {g.name: g.exit_code() for g in fleet.gateways if g.exit_code() is not None}
        for name, code in ended.items():
            fleet.record.add("ended", gateway=name, code=code)
            print(f"{name} ended by itself with {code}, {len(cut.get(name, []))} requests that it had passed on were cut off")
        for name, ids in lost().items():
            fleet.record.add("fault", text=f"LOST {name} {','.join(ids)}")
        print(f"{len(fleet.runs)} requests ran")
        return not lost()
    finally:
        await fleet.close()


main(Path(__file__).resolve().parent, play)
