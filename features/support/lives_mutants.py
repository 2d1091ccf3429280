"""Rules on the lives of workers that a history can leave out of the product."""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from cicadatraild.scheduling import worker_links, worker_orders
from cicadatraild.scheduling.former_leases import FormerLeases


def _any_answer_is_proof() -> Any:
    """Count no lease of a life that was not known as the call was sent."""

    def count_none(*_: object) -> bool:
        return True

    return _patch_both("count_call", count_none)


def _granted_leases_are_all() -> Any:
    """Let successors wait for the leases that their predecessors have granted alone."""
    return patch.object(FormerLeases, "_unknown_until_s", lambda *_: -math.inf)


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
    "granted leases are all": _granted_leases_are_all,
}
