"""Baseline for benchmarks: a relay on the same libraries that makes no decisions.

``python -m features.support.bare_relay HOST PORT WORKER_PORT...`` forwards
requests to the workers in round-robin order.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from contextlib import AsyncExitStack

from cicadatraild.network.http_client import Address, ConnectionPool
from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from cicadatraild.serving.outcomes import end_to_end_headers


class BareRelay:
    """Forward each request and its response, both buffered in full."""

    def __init__(self, pool: ConnectionPool, workers: list[Address]) -> None:
        self._pool = pool
        self._workers = itertools.cycle(workers)

    async def __call__(self, exchange: HttpExchange) -> None:
        body = await exchange.read_body()
        fetched = await self._pool.fetch(
            next(self._workers),
            exchange.method,
            exchange.target,
            headers=end_to_end_headers(exchange.headers),
            body=body,
            timeout_s=30.0,
        )
        response = fetched.unwrap()
        headers = end_to_end_headers(response.headers)
        await exchange.respond(response.status, response.body, headers)


async def main(host: str, port: int, workers: list[Address]) -> None:
    async with AsyncExitStack() as stack:
        pool = ConnectionPool(1.0)
        await pool.open(stack)
        server = HttpServer("relay", BareRelay(pool, workers), HttpLimits())
        await server.listen(stack, host, port)
        await asyncio.Event().wait()


if __name__ == "__main__":
    name, *ports = sys.argv[1:]
    addresses = [Address(name, int(port)) for port in ports[1:]]
    asyncio.run(main(name, int(ports[0]), addresses))
