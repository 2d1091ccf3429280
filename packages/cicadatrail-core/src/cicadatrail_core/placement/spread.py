"""Counts of each service's tasks by failure domain, used to spread them."""

from __future__ import annotations

from collections import Counter
from typing import TypeVar

from cicadatrail_core.models.fleet import Place

K = TypeVar("K")

DATA_CENTRE_WEIGHT = 1.5
RACK_WEIGHT = 1.5


class SpreadCounts:
    """Count the running tasks of each service by data centre and rack."""

    __slots__ = ("_data_centres", "_racks", "_services")

    def __init__(self) -> None:
        self._services: Counter[str] = Counter()
        self._data_centres: Counter[tuple[str, str, str]] = Counter()
        self._racks: Counter[tuple[str, Place]] = Counter()

    def add(self, service_id: str, place: Place, count: int = 1) -> None:
        """Count a task that starts, or with ``count=-1`` one that ends."""
        data_centre = (service_id, place.region, place.data_centre)
        _change(self._services, service_id, count)
        _change(self._data_centres, data_centre, count)
        _change(self._racks, (service_id, place), count)

    def concentration(self, service_id: str, place: Place) -> float:
        """Return how much of the service a failure at this place would affect.

        This is the fraction of its tasks in the data centre plus the fraction in the
        rack, each multiplied by its weight.
        """
        total = self._services.get(service_id, 0)
        if not total:
            return 0.0
        data_centre = (service_id, place.region, place.data_centre)
        in_data_centre = self._data_centres.get(data_centre, 0)
        in_rack = self._racks.get((service_id, place), 0)
        return (DATA_CENTRE_WEIGHT * in_data_centre + RACK_WEIGHT * in_rack) / total


def _change(counter: Counter[K], key: K, count: int) -> None:
    counter[key] += count
    if not counter[key]:
        del counter[key]
