"""The ``pool list`` command."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from cicadatrail.commands.base import ListCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.status import ConfigurationView


class PoolListCommand(ListCommand):
    """Command that lists the pools."""

    name = "pool list"
    description = "Lists the pools with the number of workers in each."
    field_name = "pools"
    header = ("POOL", "SPARE", "WORKERS")

    def rows(self, configuration: ConfigurationView) -> Iterable[Sequence[object]]:
        """Yield a row for each pool."""
        counts = Counter(configuration.pool_of.values())
        for pool in configuration.pools:
            yield pool.pool_id, "yes" if pool.spare else "no", counts[pool.pool_id]
