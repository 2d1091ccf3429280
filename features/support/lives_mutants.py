"""Rules on the lives of workers that a history can leave out of the product."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from cicadatraild.scheduling import worker_links, worker_orders
from cicadatraild.scheduling.worker_lives import WorkerLives


def _any_answer_is_proof() -> Any:
    """Count no lease of a life that was not known as the call was sent."""

    def count_none(*_: object) -> bool:
        return True

    return _patch_both("count_call", count_none)


def _no_life_is_asked_for() -> Any:
    async def confirm(*_: object) -> bool:
        return True

    return patch.multiple(WorkerLives, confirm=confirm, is_same=lambda *_: True)


def _patch_both(name: str, value: Any) -> Any:
    class Both:
        def __enter__(self) -> None:
            self._patches = [
                patch.object(module, name, value)
                for module in (worker_links, worker_orders)
            ]
            for each in self._patches:
                each.start()

        def __exit__(self, *_: object) -> None:
            for each in self._patches:
                each.stop()

    return Both()


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "every answer is a proof": _any_answer_is_proof,
    "no life is asked for": _no_life_is_asked_for,
}
