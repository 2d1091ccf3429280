"""Amounts of processor, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Hold an amount of each resource that a worker offers or a task uses."""

    cpu_millicores: int = 0
    memory_mib: int = 0
    accelerator_count: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mib + other.memory_mib,
            self.accelerator_count + other.accelerator_count,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mib - other.memory_mib,
            self.accelerator_count - other.accelerator_count,
        )

    def fits_in(self, room: Resources) -> bool:
        """Tell whether this amount is at most ``room`` in every resource."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mib <= room.memory_mib
            and self.accelerator_count <= room.accelerator_count
        )

    def at_most(self, limit: Resources) -> Resources:
        """Return this amount, cut to ``limit`` in each resource."""
        return Resources(
            min(self.cpu_millicores, limit.cpu_millicores),
            min(self.memory_mib, limit.memory_mib),
            min(self.accelerator_count, limit.accelerator_count),
        )

    def at_least(self, floor: Resources) -> Resources:
        """Return this amount, raised to ``floor`` in each resource."""
        return Resources(
            max(self.cpu_millicores, floor.cpu_millicores),
            max(self.memory_mib, floor.memory_mib),
            max(self.accelerator_count, floor.accelerator_count),
        )

    def dominant_share(self, total: Resources) -> float:
        """Return the largest fraction of ``total`` that this amount takes.

        Source: dominant-resource fairness. A resource of which there is none
        does not count.
        """
        shares = [0.0]
        if total.cpu_millicores:
            shares.append(self.cpu_millicores / total.cpu_millicores)
        if total.memory_mib:
            shares.append(self.memory_mib / total.memory_mib)
        if total.accelerator_count:
            shares.append(self.accelerator_count / total.accelerator_count)
        return max(shares)


NO_RESOURCES = Resources()
