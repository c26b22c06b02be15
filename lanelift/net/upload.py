"""The body of a request that is too long to be buffered, on its way from client to upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lanelift.net.upstream_connection import UpstreamConnection

LAST_CHUNK = b"0\r\n\r\n"


class Upload:
    """A request's body that is streamed.

    Until a connection takes it, what has come is buffered here and reading from its client is paused: so far
    the request can still go to another upstream. Then each piece is written as it comes, and reading follows
    the upstream's pace.

    Attributes:
        set_reading: Called with True or False: read from the client, or pause that.
        is_client_connected: Tells whether the client is still there. While reading is paused nothing is read
            of it, so its disconnection is not noticed either.
        length_bytes: Its stated length; None: it is sent in chunks.
        buffered: What has come and no connection has taken; no more than what is buffered of a message, and
            one read.
        complete: Its last byte has come.
        consumed: Its first byte has left: the request can't be sent again.
        connection: The connection that takes it.
    """

    __slots__ = (
        "buffered",
        "complete",
        "connection",
        "consumed",
        "is_client_connected",
        "length_bytes",
        "set_reading",
    )

    def __init__(
        self,
        set_reading: Callable[[bool], None],
        is_client_connected: Callable[[], bool],
        length_bytes: int | None,
    ) -> None:
        self.set_reading = set_reading
        self.is_client_connected = is_client_connected
        self.length_bytes = length_bytes
        self.buffered: list[bytes] = []
        self.complete = False
        self.consumed = False
        self.connection: UpstreamConnection | None = None

    def receive(self, data: bytes) -> None:
        """A piece came from the client. Nobody is left to take it where its attempt is over."""
        if self.connection is not None:
            self.connection.write_body(self._frame(data))
        elif not self.consumed:
            self.buffered.append(data)
        if self.connection is None:
            self.set_reading(False)

    def finish(self) -> None:
        """Its last byte came."""
        self.complete = True
        if self.connection is not None:
            self.connection.write_body(b"" if self.length_bytes is not None else LAST_CHUNK)

    def attach(self, connection: UpstreamConnection) -> bytes:
        """A connection takes it from here on.

        Returns:
            What has come so far, framed, to be written first.
        """
        self.connection, self.consumed = connection, True
        buffered, self.buffered = self.buffered, []
        start = b"".join(map(self._frame, buffered))
        return start + LAST_CHUNK if self.complete and self.length_bytes is None else start

    def _frame(self, data: bytes) -> bytes:
        return data if self.length_bytes is not None else b"%x\r\n%b\r\n" % (len(data), data)
