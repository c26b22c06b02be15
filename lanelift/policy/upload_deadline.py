"""When the answer to a request with a streamed body is due, though its last byte may still be unread.

A request's time counts from when its client has written the last byte. While reading waits for the upstream,
that byte may stand in this machine's receive buffer, or in the client's send buffer, where it can't be seen.
So the wait starts at the last moment at which the client had certainly not finished.

Inputs: how much of the body was received, how much is unread, when bytes last arrived, and the time. While
little is unread, the client is not held up, and its last byte was written when it arrived. Once much is
unread, the client's buffer may hold the rest of the body. This ends when the connection stays empty, or when
more bytes were received than both buffers can hold.
"""

from __future__ import annotations

# with less than this unread, the receive window is open and holds up no client
OPEN_WINDOW_BYTES = 32 * 1024
# what a client's send buffer (tcp_wmem, 4 MiB) and the receive buffer can hold
MAX_HIDDEN_BYTES = 4 * 1024 * 1024 + 512 * 1024
# an empty connection that stays empty for this long has delivered everything that its client wrote
SETTLE_NS = 10_000_000


class UploadDeadline:
    """Tracks when the answer to a streamed request is due.

    Attributes:
        wait_ns: How long the client waits for its answer.
        length_bytes: The stated length of the body; None if it is sent in chunks.
        held_up: Whether bytes that the client has written may be hidden in its send buffer.
        unfinished_ns: The last time at which the client had certainly not written its last byte.
    """

    __slots__ = (
        "_checkpoint_bytes",
        "_checkpoint_ns",
        "_emptied_ns",
        "_received_bytes",
        "held_up",
        "length_bytes",
        "unfinished_ns",
        "wait_ns",
    )

    def __init__(self, now: int, wait_ns: int, length_bytes: int | None) -> None:
        self.wait_ns = wait_ns
        self.length_bytes = length_bytes
        self.held_up = False
        self.unfinished_ns = now
        self._received_bytes = 0
        self._emptied_ns = now
        self._checkpoint_ns, self._checkpoint_bytes = now, 0

    @property
    def due_ns(self) -> int:
        """When the answer is due if the client has written its last byte (monotonic clock)."""
        return self.unfinished_ns + self.wait_ns

    def observe(
        self, now: int, arrived_ns: int, received_bytes: int, unparsed_bytes: int, unread_bytes: int
    ) -> None:
        """Update the estimate while the body is not known to be complete.

        Args:
            now: The time.
            arrived_ns: When bytes last arrived from the client.
            received_bytes: The number of bytes of the body that were parsed.
            unparsed_bytes: The number of bytes that were read and not parsed.
            unread_bytes: The number of bytes that wait in the receive buffer.
        """
        waiting_bytes = unparsed_bytes + unread_bytes
        if received_bytes != self._received_bytes or unread_bytes:
            self._emptied_ns = now
        self._received_bytes = received_bytes
        if self.held_up:
            self._observe_held_up(now, received_bytes, unread_bytes)
        elif unread_bytes >= OPEN_WINDOW_BYTES:
            self.held_up = True
            self._checkpoint_ns, self._checkpoint_bytes = now, received_bytes
        elif not waiting_bytes or received_bytes + waiting_bytes < (self.length_bytes or 0):
            self.unfinished_ns = now
        else:
            self.unfinished_ns = max(self.unfinished_ns, arrived_ns)

    def complete(self, arrived_ns: int) -> None:
        """Update the estimate once the last byte was read, which arrived at the given time."""
        if not self.held_up:
            self.unfinished_ns = max(self.unfinished_ns, arrived_ns)

    def _observe_held_up(self, now: int, received_bytes: int, unread_bytes: int) -> None:
        if not unread_bytes and now - self._emptied_ns >= SETTLE_NS:
            self.held_up = False
            self.unfinished_ns = now
        elif received_bytes - self._checkpoint_bytes >= MAX_HIDDEN_BYTES:
            # what was hidden at the checkpoint has arrived since, and more behind it
            self.unfinished_ns = self._checkpoint_ns
            self._checkpoint_ns, self._checkpoint_bytes = now, received_bytes
