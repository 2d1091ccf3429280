"""Links of daemons to the store, to each other and to workers, which can be cut.

A daemon connects to its peers at the port that it listens on itself. Each daemon has a
port of its own, so that a proxy at a peer's address and this port stands in for the
link between the two. The store's list gives each daemon proxies in place of workers.
"""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import AsyncExitStack

from features.support.faulty_proxy import HOST, FaultyProxy
from features.support.platform_cluster import PlatformCluster, free_port, is_free

STORE = "store"


class FaultyNetwork:
    """The links of a cluster's daemons; ``links`` has them by source and target."""

    def __init__(self, cluster: PlatformCluster, names: list[str]) -> None:
        self.links: dict[tuple[str, str], FaultyProxy] = {}
        self._cluster = cluster
        hosts = [cluster.host(name) for name in names]
        # Drawn as a set, as a free port may be drawn twice.
        ports: set[int] = set()
        while len(ports) < len(names):
            port = free_port()
            # Ends of relays in an earlier run of this process may still use it there.
            if all(is_free(host, port) for host in hosts):
                ports.add(port)
        self._peer_ports = dict(zip(names, ports, strict=True))
        self._store_ports: dict[str, int] = {}

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
    ) -> None:
        """Cut the links from some daemons to others, to workers or to the store.

        The links are silent, or with ``refuses`` refuse connections.
        """
        for proxy in self._between(sources, targets):
            if refuses:
                proxy.refuse()
            else:
                proxy.silent = True

    def part(
        self, names: Iterable[str], others: Iterable[str], refuses: bool = False
    ) -> None:
        """Cut the links between two groups of daemons, as seen from both."""
        self.cut(names, others, refuses)
        self.cut(others, names, refuses)

    async def heal(self) -> None:
        """Restore all links; their connections are broken, as data was lost."""
        for proxy in self.links.values():
            if proxy.silent or proxy.loses_requests or proxy.loses_answers:
                proxy.silent = proxy.loses_requests = proxy.loses_answers = False
                proxy.reset()
            await proxy.accept()

    def _between(
        self, sources: Iterable[str], targets: Iterable[str]
    ) -> list[FaultyProxy]:
        wanted = {(source, target) for source in sources for target in targets}
        return [proxy for link, proxy in self.links.items() if link in wanted]
