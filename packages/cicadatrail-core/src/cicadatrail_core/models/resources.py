"""Amounts of processor, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of the resources that a worker offers or a task uses."""

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

    def times(self, count: int) -> Resources:
        """Return ``count`` times this amount."""
        return Resources(
            count * self.cpu_millicores,
            count * self.memory_mib,
            count * self.accelerator_count,
        )

    def fits_in(self, capacity: Resources) -> bool:
        """Return whether this amount is at most ``capacity`` in every resource."""
        return (
            self.cpu_millicores <= capacity.cpu_millicores
            and self.memory_mib <= capacity.memory_mib
            and self.accelerator_count <= capacity.accelerator_count
        )

    def exceeding(self, capacity: Resources) -> tuple[str, ...]:
        """Return the names of the resources in which this amount is over another."""
        return tuple(
            name
            for name, amount, limit in (
                ("cpu", self.cpu_millicores, capacity.cpu_millicores),
                ("memory", self.memory_mib, capacity.memory_mib),
                ("accelerators", self.accelerator_count, capacity.accelerator_count),
            )
            if amount > limit
        )

    def at_most(self, limit: Resources) -> Resources:
        """Return this amount, limited to ``limit`` in each resource."""
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

        A resource whose total is 0 is ignored.

        Source: dominant resource fairness.
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
