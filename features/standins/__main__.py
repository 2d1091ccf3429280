"""Run all stand-ins in one process: ``python -m features.standins FILE``.

FILE is JSON: ``{"log": [host, port], "instance_list": [..], "maintenance":
[..], "collector": [..], "reboot_s": 1.0, "workers": {"w1": [host, port], ..}}``.
"""

from __future__ import annotations

import asyncio
import json
import sys
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from cicadatraild.network.http_server import Handler, HttpLimits, HttpServer
from features.standins.log_store import LogHandler, LogStore
from features.standins.platform import (
    InstanceListHandler,
    MaintenanceHandler,
    SpanCollectorHandler,
)
from features.standins.workers import Ledger, StandInWorker


async def serve(stack: AsyncExitStack, plan: dict[str, Any]) -> None:
    ledger = Ledger()
    handlers: list[tuple[str, Handler, list[Any]]] = [
        ("log", LogHandler(LogStore()), plan["log"]),
        ("instance list", InstanceListHandler(), plan["instance_list"]),
        ("maintenance", MaintenanceHandler(plan["reboot_s"]), plan["maintenance"]),
        ("collector", SpanCollectorHandler(), plan["collector"]),
    ]
    for worker_id, address in plan["workers"].items():
        handlers.append((worker_id, StandInWorker(worker_id, ledger), address))
    for name, handler, (host, port) in handlers:
        await HttpServer(name, handler, HttpLimits()).listen(stack, host, port)


async def main(plan: dict[str, Any]) -> None:
    async with AsyncExitStack() as stack:
        await serve(stack, plan)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text())))
