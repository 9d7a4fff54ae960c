"""Case 1: a request that offers an upgrade leaves a handler that answers into a freed connection."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from fleet import Client, Fleet, main, read_only_routes, request_bytes  # noqa: E402

SERVICE = "roster-app"
# What an HTTP client that is also able to speak HTTP/2 sends with its first request.
OFFER = [("Connection", "Upgrade, HTTP2-Settings"), ("Upgrade", "h2c"),
         ("HTTP2-Settings", "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA")]
ROUNDS = 20
OTHERS = 4


async def play(folder, trouble):
    fleet = Fleet(folder, read_only_routes(SERVICE), [{"name": SERVICE, "max-connections": 110}])
    faults = []
    try:
        await fleet.start_store()
        for i, zone in enumerate(("centru-a", "centru-b", "centru-c")):
            await fleet.add_worker(f"i-{i}", SERVICE, zone, work_s=0.06)
        for zone in ("centru-a", "centru-b", "centru-c"):
            fleet.add_gateway(f"front-{zone}", zone)
        await fleet.until_ready()
        await asyncio.sleep(1.5)  # All gateways have read the list of gateways.

        async def ask(client, request_id, headers=()):
            client.send(request_bytes(fleet, "POST", "/pule252/2f", 2500, request_id, headers,
                                      b"assign=1"), request_id)
            answer = await client.answer(3)
            if answer is None:
                faults.append(f"LOST? {client.name}: {request_id} has no answer")
            elif answer.get("Attempt-Id", request_id) != request_id:
                faults.append(f"MIXED {client.name}: asked {request_id}, "
                              f"got {answer.status} of {answer.get('Attempt-Id')}")

        for number in range(ROUNDS):
            running = [each for each in fleet.gateways if each.exit_code() is None]
            if not running:
                break
            gateway = running[number % len(running)]
            first = await Client(fleet, gateway, f"offering-{number}").connect()
            await ask(first, fleet.new_id(), OFFER if trouble else ())
            first.close()
            try:
                others = [await Client(fleet, gateway, f"other-{number}-{i}").connect()
                          for i in range(OTHERS)]
            except ConnectionError:
                continue  # The gateway has ended.
            await asyncio.gather(*(ask(other, fleet.new_id()) for other in others))
            for other in others:
                other.close()
        for fault in faults:
            fleet.record.add("fault", text=fault)
            print(fault)
        for each in fleet.gateways:
            if each.exit_code() is not None:
                fleet.record.add("ended", gateway=each.name, code=each.exit_code())
                print(f"{each.name} ended by itself with {each.exit_code()}")
        return not any(fault.startswith("MIXED") for fault in faults)
    finally:
        await fleet.close()


main(Path(__file__).resolve().parent, play)
