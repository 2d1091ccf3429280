"""Steps of shutdown.feature on the time that a shutdown takes, on paused clocks."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest.mock import patch

from behave import then, when

from cicadatraild.network.http_server import HttpLimits, HttpServer
from cicadatraild.platform.settings import parse_platform_settings
from cicadatraild.scheduling.instance import PlatformInstance
from cicadatraild.utils.output import OutputHandler
from features.support.faulty_proxy import HOST
from features.support.paused_loop import PausedLoop, run_paused
from features.support.platform_cluster import settings_table
from features.support.thread_caller import REQUEST

# ruff: noqa: SLF001

END_MARGIN_S = 1.0


async def _hang(*_: Any) -> None:
    await asyncio.sleep(60)


@when(
    "an instance with {grace_s:g} s stops, and its loop is {late_s:g} s late for "
    "its end"
)
def step_stop_late(context: Any, grace_s: float, late_s: float) -> None:
    context.grace_s = grace_s
    parsed = parse_platform_settings(settings_table(), "settings").unwrap()
    output = OutputHandler.__new__(OutputHandler)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, PausedLoop)
        settings = replace(parsed, grace_s=grace_s)
        instance = PlatformInstance(settings, Path("/nowhere"), output)
        selector = loop.paused_selector

        def block() -> None:
            selector.now_s += late_s

        async with AsyncExitStack() as stack:
            server = HttpServer("callers", _hang, HttpLimits())
            port = await server.listen(stack, HOST, 0)
            _, writer = await asyncio.open_connection(HOST, port)
            stack.callback(writer.close)
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            began_s = loop.time()
            end_s = began_s + max(0.0, grace_s - END_MARGIN_S)
            loop.call_at(end_s, block)
            with patch.object(instance.handover, "release", _hang):
                await instance._shut_down(server)
            context.duration_s = loop.time() - began_s

    run_paused(scenario())


@then("it has ended {margin_s:g} s before the kill, though a caller and the store hang")
def step_ended_before(context: Any, margin_s: float) -> None:
    limit_s = context.grace_s - margin_s
    assert context.duration_s <= limit_s + 0.001, (context.duration_s, limit_s)
