"""Links of daemons to the store, to each other and to workers, which can be cut.

A daemon connects to its peers at the port that it listens on itself. Each daemon has a
port of its own, so that a proxy at a peer's address and this port stands in for the
link between the two. The store's list gives each daemon proxies in place of workers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from contextlib import AsyncExitStack
from enum import Enum

from features.support.faulty_proxy import HOST, FaultyProxy
from features.support.platform_cluster import PlatformCluster, draw_ports

STORE = "store"


class LinkFault(Enum):
    SILENT = "silent"
    LOSES_REQUESTS = "loses requests"
    LOSES_ANSWERS = "loses answers"
    REFUSES = "refuses"


Cut = list[tuple[FaultyProxy, LinkFault]]


class FaultyNetwork:
    """The links of a cluster's daemons; ``links`` has them by source and target."""

    def __init__(self, cluster: PlatformCluster, names: list[str]) -> None:
        self.links: dict[tuple[str, str], FaultyProxy] = {}
        self._cluster = cluster
        hosts = [cluster.host(name) for name in names]
        # Ends of relays in an earlier run of this process may still use a port there.
        ports = draw_ports(hosts, len(names), cluster.ports)
        self._peer_ports = dict(zip(names, ports, strict=True))
        self._store_ports: dict[str, int] = {}
        self._faults: dict[FaultyProxy, Counter[LinkFault]] = {}

    async def open(self, stack: AsyncExitStack) -> None:
        """Open all links until ``stack`` closes; the workers must be listening."""
        for name in self._peer_ports:
            await self._open_links(stack, name)

    async def _open_links(self, stack: AsyncExitStack, name: str) -> None:
        cluster = self._cluster
        replaced: dict[bytes, bytes] = {}
        for worker in cluster.workers:
            proxy = FaultyProxy(int(worker.address.rsplit(":", 1)[1]))
            port = await proxy.listen(stack)
            replaced[f'"{worker.address}"'.encode()] = f'"{HOST}:{port}"'.encode()
            self.links[name, worker.worker_id] = proxy

        def rewrite(record: bytes) -> bytes:
            for address, proxied in replaced.items():
                record = record.replace(address, proxied)
            return record

        store = FaultyProxy(await cluster.store.listen(stack, HOST, rewrite))
        self._store_ports[name] = await store.listen(stack)
        self.links[name, STORE] = store
        for peer, peer_port in self._peer_ports.items():
            if peer == name:
                continue
            link = FaultyProxy(peer_port, cluster.host(peer), cluster.host(name))
            await link.listen(stack, cluster.host(peer), self._peer_ports[name])
            self.links[name, peer] = link

    def settings_text(self, name: str) -> str:
        """Return the settings of a daemon that uses the links."""
        return self._cluster.settings_text(
            name, self._store_ports[name], self._peer_ports[name]
        )

    def cut(
        self, sources: Iterable[str], targets: Iterable[str], refuses: bool = False
    ) -> Cut:
        """Cut the links from some daemons to others, to workers or to the store.

        The links are silent, or with ``refuses`` refuse connections.
        """
        fault = LinkFault.REFUSES if refuses else LinkFault.SILENT
        return self.disturb(self._between(sources, targets), fault)

    def part(
        self, names: Iterable[str], others: Iterable[str], refuses: bool = False
    ) -> Cut:
        """Cut the links between two groups of daemons, as seen from both."""
        return self.cut(names, others, refuses) + self.cut(others, names, refuses)

    def disturb(self, links: Iterable[FaultyProxy], fault: LinkFault) -> Cut:
        """Add a fault to links; each is to be removed as often as it was added."""
        cut = [(proxy, fault) for proxy in links]
        for proxy, _ in cut:
            self._faults.setdefault(proxy, Counter())[fault] += 1
            self._apply_faults(proxy)
        return cut

    async def restore(self, cut: Cut) -> None:
        """Remove the faults of a cut that have not been removed since."""
        for proxy, fault in cut:
            faults = self._faults.get(proxy, Counter())
            if faults[fault]:
                faults[fault] -= 1
                await self._remove_faults(proxy)

    async def heal(self) -> None:
        """Restore all links."""
        for proxy, faults in [*self._faults.items()]:
            if faults.total():
                faults.clear()
                await self._remove_faults(proxy)

    def _apply_faults(self, proxy: FaultyProxy) -> None:
        faults = self._faults[proxy]
        proxy.silent = faults[LinkFault.SILENT] > 0
        proxy.loses_requests = faults[LinkFault.LOSES_REQUESTS] > 0
        proxy.loses_answers = faults[LinkFault.LOSES_ANSWERS] > 0
        if faults[LinkFault.REFUSES]:
            proxy.refuse()

    async def _remove_faults(self, proxy: FaultyProxy) -> None:
        """Let a link do again what no fault keeps it from.

        Its connections are broken, as data was lost.
        """
        self._apply_faults(proxy)
        if not self._faults[proxy].total():
            proxy.reset()
        if not self._faults[proxy][LinkFault.REFUSES]:
            await proxy.accept()

    def _between(
        self, sources: Iterable[str], targets: Iterable[str]
    ) -> list[FaultyProxy]:
        wanted = {(source, target) for source in sources for target in targets}
        return [proxy for link, proxy in self.links.items() if link in wanted]
