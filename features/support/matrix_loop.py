"""A paused event loop whose callbacks belong to machines that can be frozen or killed.

A context variable names the machine and is inherited by tasks and handles. Bytes
between two machines whose link is cut stay in the kernel until it is restored,
as TCP retransmission would deliver them.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import ContextVar, copy_context
from typing import Any

from features.support.paused_loop import PausedLoop

OWNER: ContextVar[str] = ContextVar("owner", default="tests")
CLOSED_FD = 10**9
"""A file descriptor number that is never open."""


def machine_of(owner: str) -> str:
    """Return the machine on which an incarnation such as ``entry-a#2`` runs."""
    return owner.partition("#")[0]


def _owner(handle: Any) -> str:
    return str(handle._context.get(OWNER, "tests"))


class _Ready(deque[Any]):
    """Queue of ready handles that defers those of frozen or dead machines."""

    def __init__(self, loop: MachineLoop) -> None:
        super().__init__()
        self._loop = loop
        self._cancelled_handle = asyncio.Handle(lambda: None, (), loop)
        self._cancelled_handle.cancel()

    def popleft(self) -> Any:
        handle = super().popleft()
        owner = _owner(handle)
        if not self._loop.is_stopped(owner):
            return handle
        self._loop.held.setdefault(owner, []).append(handle)
        return self._cancelled_handle


class MachineLoop(PausedLoop):
    """Event loop that can freeze, kill and disconnect the machines that share it."""

    def __init__(self) -> None:
        super().__init__()
        self.held: dict[str, list[Any]] = {}
        self.frozen: set[str] = set()
        self.dead: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.delays_s: dict[tuple[str, str], float] = {}
        self.stops: dict[str, Callable[[], object]] = {}
        self._ports: dict[int, str] = {}
        self._links: dict[int, tuple[str, str]] = {}
        self._due_s: dict[int, float] = {}
        self._owned: dict[str, list[Any]] = {}
        self._listeners: dict[str, list[socket.socket]] = {}
        self._links_restored = asyncio.Event()
        self._ready: Any = _Ready(self)
        real_select = self.paused_selector.select
        self._real_select = real_select
        self.paused_selector.select = self._select  # type: ignore[method-assign]

    def run_as(self, owner: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that belongs to a machine, as do the tasks that it starts."""
        context = copy_context()
        context.run(OWNER.set, owner)
        return context.run(self.create_task, work)

    def is_stopped(self, owner: str) -> bool:
        return owner in self.dead or machine_of(owner) in self.frozen

    def freeze(self, machine: str) -> None:
        self.frozen.add(machine)

    def wake(self, machine: str) -> None:
        self.frozen.discard(machine)
        for owner in [o for o in self.held if not self.is_stopped(o)]:
            self._ready.extend(self.held.pop(owner))

    def kill(self, owner: str) -> None:
        """End an incarnation as SIGKILL would: none of its code runs any more."""
        self.dead.add(owner)
        for listener in self._listeners.pop(owner, ()):
            self._remove_reader(listener.fileno())
            listener.close()
        for transport in self._owned.pop(owner, ()):
            if transport._sock is None or transport._sock_fd < 0:
                continue
            self._remove_reader(transport._sock_fd)
            self._remove_writer(transport._sock_fd)  # type: ignore[attr-defined]
            self._transports.pop(transport._sock_fd, None)  # type: ignore[attr-defined]
            transport._sock.close()
            transport._sock_fd = CLOSED_FD
        for key in tuple(self.paused_selector.get_map().values()):
            if self._key_owner(key) == owner:
                self.paused_selector.unregister(key.fileobj)

    def cut(self, source: str, target: str) -> None:
        self.cuts.add((source, target))

    def restore_links(self) -> None:
        """Restore every link."""
        self.cuts.clear()
        self.delays_s.clear()
        self._links_restored.set()
        self._links_restored = asyncio.Event()

    def release_all(self) -> None:
        """Release all deferred handles, so that their tasks can be cancelled."""
        self.dead.clear()
        self.frozen.clear()
        self.restore_links()
        self.wake("")

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Any, *args: Any
    ) -> None:
        """Store the handler by machine; the test process keeps its own."""
        self.stops[OWNER.get()] = callback

    async def sock_connect(self, sock: Any, address: Any) -> None:
        source = machine_of(OWNER.get())
        target = machine_of(self._ports.get(address[1], ""))
        while (source, target) in self.cuts or (target, source) in self.cuts:
            await self._links_restored.wait()
        delay_s = self.delays_s.get((source, target), 0.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        # Bind first, so that the accepting side can tell which machine connects.
        sock.bind(("127.0.0.1", 0))
        self._ports[sock.getsockname()[1]] = OWNER.get()
        await super().sock_connect(sock, address)

    def add_reader(  # type: ignore[override]
        self, fd: Any, callback: Any, *args: Any
    ) -> None:
        """Note whose listener a listening socket is."""
        if fd.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            self._ports[fd.getsockname()[1]] = OWNER.get()
            self._listeners.setdefault(OWNER.get(), []).append(fd)
        super().add_reader(fd, callback, *args)

    def _remove_reader(self, fd: Any) -> bool:
        # A killed machine's sockets are closed already.
        number = fd if isinstance(fd, int) else fd.fileno()
        if number < 0:
            return False
        removed: bool = super()._remove_reader(number)  # type: ignore[misc]
        return removed

    def _make_socket_transport(self, sock: Any, *rest: Any, **named: Any) -> Any:
        fd = sock.fileno()
        here, there = OWNER.get(), self._ports.get(sock.getpeername()[1], "")
        self._links[fd] = (machine_of(there), machine_of(here))
        self._due_s.pop(fd, None)
        transport = super()._make_socket_transport(sock, *rest, **named)  # type: ignore[misc]
        self._owned.setdefault(here, []).append(transport)
        return transport

    def _key_owner(self, key: Any) -> str:
        reader, writer = key.data
        return _owner(reader or writer)

    def _select(self, timeout: float | None = None) -> Any:
        events = self._filter(self._real_select(0))
        if events or (timeout is not None and timeout <= 0):
            return events
        self.paused_selector.get_map()
        if timeout is None:
            return self._filter(self._real_select(None))
        events = self._filter(self._poll_briefly())
        if not events:
            self.paused_selector.now_s += timeout
        return events

    def _poll_briefly(self) -> Any:
        import time

        time.sleep(0.00005)
        return self._real_select(0)

    def _filter(self, events: Any) -> Any:
        return [event for event in events if self._is_deliverable(event[0])]

    def _is_deliverable(self, key: Any) -> bool:
        if self.is_stopped(self._key_owner(key)):
            return False
        reader, _ = key.data
        link = self._links.get(key.fd)
        if reader is None or link is None:
            return True
        if link in self.cuts:
            return False
        delay_s = self.delays_s.get(link, 0.0)
        if not delay_s:
            return True
        return self._is_due(key.fd, delay_s)

    def _is_due(self, fd: int, delay_s: float) -> bool:
        due_s = self._due_s.get(fd)
        if due_s is None:
            self._due_s[fd] = self.time() + delay_s
            self.call_later(delay_s, lambda: None)
            return False
        if self.time() < due_s:
            return False
        del self._due_s[fd]
        return True


def run_machines(main: Callable[[MachineLoop], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine on a new loop, then cancel all remaining tasks."""
    loop = MachineLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.set_exception_handler(lambda *_: None)
        loop.release_all()
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.wait(tasks, timeout=5.0) if tasks else _noop())
        for task in asyncio.all_tasks(loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        asyncio.set_event_loop(None)
        loop.close()


async def _noop() -> None:
    return
