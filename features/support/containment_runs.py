"""Runs of a cluster while one of its inputs is odd, with their log lines."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from features.standins.platform_fleet import Fleet, PlatformWorker
from features.support.platform_actions import (
    finish_all,
    job_ids,
    run_on_cluster,
    start_instances,
    submit_all,
)
from features.support.platform_cluster import PlatformCluster, job


class LogLines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.elected_epochs: list[int] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())
        if record.getMessage() == "leadership: elected.":
            self.elected_epochs.append(record.__dict__["epoch"])

    def count(self, text: str) -> int:
        return sum(text in line for line in self.lines)


def run_with_lines(
    context: Any, scenario: Callable[[PlatformCluster], Awaitable[None]]
) -> None:
    """Run a scenario on a cluster; keep the log lines until it is over."""
    lines = LogLines()
    context.lines = lines
    logger = logging.getLogger("cicadatrail")
    level = logger.level
    logger.setLevel(logging.INFO)

    async def run(cluster: PlatformCluster) -> None:
        logger.addHandler(lines)
        try:
            await scenario(cluster)
        finally:
            logger.removeHandler(lines)
            logger.setLevel(level)

    run_on_cluster(context, run)


@contextmanager
def spoil_answer(
    worker: PlatformWorker, call: str, answer: tuple[int, dict[str, Any]]
) -> Iterator[None]:
    """Make a worker answer one of its calls oddly, at least once."""
    right = worker._answer
    given: list[str] = []

    def answer_oddly(made: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if made != call:
            return right(made, body)
        given.append(made)
        return answer[0], dict(answer[1])

    with patch.object(worker, "_answer", answer_oddly):
        yield
    assert given, "the worker was not asked"


async def run_jobs(cluster: PlatformCluster) -> None:
    await start_instances(cluster, 3)
    name = cluster.leader()
    assert name is not None
    ids = job_ids(4)
    await submit_all(cluster, name, ids, job(ms=100))
    await finish_all(cluster, ids)


async def finish_jobs(cluster: PlatformCluster, leader: str) -> None:
    ids = job_ids(4)
    await submit_all(cluster, leader, ids, job(ms=100))
    await finish_all(cluster, ids)


def check_never_twice(fleet: Fleet) -> None:
    assert not fleet.violations, fleet.violations
