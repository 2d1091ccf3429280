"""A caller in a thread of its own, which a blocked event loop does not hold up."""

from __future__ import annotations

import socket
import threading
import time

from features.support.open_caller import CallOutcome

REQUEST = b"GET / HTTP/1.1\r\nHost: jobs.example\r\n\r\n"


class ThreadCaller:
    """Send one request, on a connection opened before if ``is_connected``."""

    def __init__(self, host: str, port: int, is_connected: bool) -> None:
        self._address = (host, port)
        self._socket = socket.create_connection(self._address) if is_connected else None
        self._thread: threading.Thread | None = None
        self._sent = threading.Event()
        self._outcome = CallOutcome("GET /", 0, 0.0)

    def start(self, delay_s: float) -> None:
        """Send the request after a delay."""
        self._thread = threading.Thread(target=self._call, args=(delay_s,))
        self._thread.start()

    def wait_sent(self, timeout_s: float = 10.0) -> None:
        """Block until the request has been sent, or could not be."""
        assert self._sent.wait(timeout_s)

    def join(self) -> CallOutcome:
        """Return how the request ended."""
        assert self._thread is not None
        self._thread.join()
        return self._outcome

    def _call(self, delay_s: float) -> None:
        time.sleep(delay_s)
        began_s = time.monotonic()
        data = b""
        try:
            with self._socket or socket.create_connection(self._address) as connection:
                connection.settimeout(3.0)
                connection.sendall(REQUEST)
                self._sent.set()
                data = connection.recv(4096)
        except OSError:
            data = b""
        finally:
            self._sent.set()
        status = int(data.split()[1]) if data else 0
        self._outcome = CallOutcome("GET /", status, time.monotonic() - began_s)
