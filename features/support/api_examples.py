"""Print the examples of docs/HTTP-API.md with the responses of an entry instance."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from features.support.edge_caller import EdgeCaller, request_bytes
from features.support.edge_world import EdgeWorld
from features.support.paused_loop import run_paused

SHOWN_BYTES = 700


async def show(world: EdgeWorld, title: str, data: bytes) -> None:
    """Print a request and the bytes of its response."""
    caller = await EdgeCaller.connect(world.instances[0].caller)
    await caller.send(data)
    answer = bytearray()
    for _ in range(40):
        try:
            async with asyncio.timeout(2.0):
                answer += await caller.reader.read(65536)
        except TimeoutError:
            break
    caller.close()
    print(f"### {title}\n")
    for text in (data, bytes(answer)):
        shown = text if len(text) < SHOWN_BYTES else text[:420] + b"[...]" + text[-60:]
        print(shown.decode().replace("\r\n", "\n").strip(), end="\n\n")


async def main() -> None:
    async with AsyncExitStack() as stack:
        world = EdgeWorld(stack)
        await world.add_worker("w0")
        await world.add_instance()
        await world.settle({0: {"w0"}})
        named = world.headers(Cicadatrail_Request_Id=str(world.identifiers.new()))
        await show(world, "A booking", request_bytes(named, b"one van"))
        await show(world, "The same booking again", request_bytes(named, b"one van"))
        bad = world.headers(Cicadatrail_Size="cpu=1", Cicadatrail_Urgency="soon")
        await show(world, "Two faults", request_bytes(bad))
        huge = world.headers(Cicadatrail_Size="cpu_millicores=64000")
        await show(world, "A job that fits no worker", request_bytes(huge))
        long_target = request_bytes(world.headers(), target="/report?bytes=70000")
        await show(world, "A long reply", long_target)


if __name__ == "__main__":
    run_paused(main())
