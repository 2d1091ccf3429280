"""Steps about random histories of workers and leaders that restart."""

from __future__ import annotations

import logging
from typing import Any

from behave import then

from features.support.lives_history import LivesHistory, play_lives
from features.support.lives_wide import WideHistory


def _play(
    seed: int, rule: str = "", kind: type[LivesHistory] = LivesHistory
) -> LivesHistory:
    logging.disable(logging.CRITICAL)
    try:
        return play_lives(seed, rule, kind=kind)
    finally:
        logging.disable(logging.NOTSET)


@then("in the history of seed {seed:d} nothing runs twice, and all jobs complete")
def step_never_twice(context: Any, seed: int) -> None:
    history = _play(seed)
    assert not history.findings, (history.findings, history.actions)


@then(
    "in {count:d} histories from seed {first:d} on nothing runs twice,"
    " and all jobs complete"
)
def step_none_twice(context: Any, count: int, first: int) -> None:
    for seed in range(first, first + count):
        history = _play(seed)
        assert not history.findings, (seed, history.findings, history.actions)


@then("in the wide histories {seeds} nothing runs twice, and all jobs complete")
def step_none_twice_wide(context: Any, seeds: str) -> None:
    for seed in seeds.split(","):
        history = _play(int(seed), kind=WideHistory)
        assert not history.findings, (seed, history.findings, history.actions)


@then("something runs twice in one of the histories {seeds} if {rule}")
def step_told(context: Any, seeds: str, rule: str) -> None:
    _check_told(seeds, rule, LivesHistory)


@then("something runs twice in one of the wide histories {seeds} if {rule}")
def step_told_wide(context: Any, seeds: str, rule: str) -> None:
    _check_told(seeds, rule, WideHistory)


def _check_told(seeds: str, rule: str, kind: type[LivesHistory]) -> None:
    played = [_play(int(seed), rule, kind) for seed in seeds.split(",")]
    findings = [finding for history in played for finding in history.findings]
    assert any("runs on" in finding for finding in findings), findings
