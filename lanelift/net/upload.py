"""A request body that is too long to be buffered, and is streamed from client to upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from lanelift.policy.upload_deadline import UploadDeadline

if TYPE_CHECKING:
    from lanelift.net.upstream_connection import UpstreamConnection

LAST_CHUNK = b"0\r\n\r\n"


class Upload:
    """A streamed request body.

    Until a connection is attached, the received part is buffered here and reading from the client is paused;
    the request can still go to another upstream. After that each piece is written as it arrives, and reading
    is paused whenever the upstream accepts no more.

    Attributes:
        set_reading: Called with True to resume reading from the client, and with False to pause reading.
        length_bytes: The stated length; None if the body is sent in chunks.
        buffered: The part received before a connection is attached: at most as many bytes as the longest
            buffered body, plus one read.
        complete: Whether the last byte was received.
        consumed: Whether a connection was attached, after which the request can't be sent again.
        connection: The attached connection.
        deadline: When the answer is due while the last byte of the body is unread.
    """

    __slots__ = (
        "buffered",
        "complete",
        "connection",
        "consumed",
        "deadline",
        "length_bytes",
        "set_reading",
    )

    def __init__(
        self,
        set_reading: Callable[[bool], None],
        length_bytes: int | None,
        deadline: UploadDeadline,
    ) -> None:
        self.set_reading = set_reading
        self.length_bytes = length_bytes
        self.deadline = deadline
        self.buffered: list[bytes] = []
        self.complete = False
        self.consumed = False
        self.connection: UpstreamConnection | None = None

    def receive(self, data: bytes) -> None:
        """Forwards or buffers a piece from the client; drops the piece if the attempt is over."""
        if self.connection is not None:
            self.connection.write_body(self._frame(data))
        elif not self.consumed:
            self.buffered.append(data)
        if self.connection is None:
            self.set_reading(False)

    def finish(self) -> None:
        """Ends the body after its last byte."""
        self.complete = True
        if self.connection is not None:
            self.connection.write_body(b"" if self.length_bytes is not None else LAST_CHUNK)

    def attach(self, connection: UpstreamConnection) -> bytes:
        """Attaches the connection to which the body is written.

        Returns:
            The received part, framed, which has to be written first.
        """
        self.connection, self.consumed = connection, True
        buffered, self.buffered = self.buffered, []
        start = b"".join(map(self._frame, buffered))
        return start + LAST_CHUNK if self.complete and self.length_bytes is None else start

    def _frame(self, data: bytes) -> bytes:
        return data if self.length_bytes is not None else b"%x\r\n%b\r\n" % (len(data), data)
