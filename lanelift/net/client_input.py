"""Receiving from a client: reads, parses in slices, and waits for a turn if its input takes much time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, cast

from lanelift.net.client_responses import ClientResponses
from lanelift.net.connection_phases import Phase
from lanelift.net.event_log import EventKind
from lanelift.net.http_parser import RequestParser
from lanelift.net.memory import READ_BUFFER
from lanelift.net.socket_options import peer_state, unread_bytes
from lanelift.policy.turns import TURN_S, ProcessingAccount

if TYPE_CHECKING:
    from lanelift.net.frontend import Frontend

# The parser gets at most this many bytes at a time, as pipelined requests take less memory unparsed.
PARSE_SLICE_BYTES = 16 * 1024
HEAD_END = b"\r\n\r\n"
# What a client may send ahead while its request is open.
MAX_PIPELINED_BYTES = 256 * 1024


class ClientInput(ClientResponses, asyncio.BufferedProtocol):
    """The receiving part of a client's connection; `ClientConnection` handles the requests.

    Attributes:
        parser: The parser of the client's requests.
        unparsed: Received bytes that are not parsed yet.
        received_ns: When the bytes that are being parsed were received (monotonic clock).
        account: The processing time that the client's input has used.
        waits_for_turn: Whether its input waits in the queue for processing time.
    """

    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend)
        self.parser = RequestParser()
        self.unparsed = bytearray()
        self.received_ns = 0
        self.account = ProcessingAccount()
        self.waits_for_turn = False

    def _parse_until(self, until_s: float) -> bool:
        raise NotImplementedError

    def _disconnected(self) -> None:
        raise NotImplementedError

    @property
    def has_data(self) -> bool:
        """Whether part of a request has been received, or an error that is not answered yet."""
        parser = self.parser
        return bool(parser.has_partial or parser.messages or self.unparsed or parser.error)

    # ---- reading -----------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to wait for the first request."""
        self.transport = cast(asyncio.Transport, transport)
        self.table.enter(self, Phase.READING_HEAD)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return READ_BUFFER[: self.frontend.memory.read_bytes]

    def buffer_updated(self, count: int) -> None:
        """Receives bytes from the client.

        The kernel is queried for when the bytes arrived and whether the client is still connected. Deadlines
        count from when the client sent the request, and the request may have waited in the backlog or for a
        late event loop. Work for a client that has disconnected would delay other clients, and these might
        then disconnect as well. The bytes that a client may send while its request is open are limited, as
        they are kept in memory.
        """
        if self.ignores_input:
            self.received_bytes += count
            return
        assert self.transport is not None
        state = peer_state(self.transport.get_extra_info("socket"))
        if state.ended:
            self.abort()
            return
        self.received_ns = time.monotonic_ns() - state.last_data_ns
        self.received_bytes += count
        if len(self.unparsed) > MAX_PIPELINED_BYTES:
            self._record(EventKind.SENT_AHEAD, f"{len(self.unparsed)} bytes")
            self.abort()
            return
        if not self.has_data:
            self.waiting_since_s = self._loop.time()
        self.unparsed += READ_BUFFER[:count]
        self._parse()
        self.frontend.memory.client_received(self, count)

    def eof_received(self) -> bool:
        """Treats a client that has ended its sending as disconnected."""
        self._disconnected()
        return False

    def is_connected(self) -> bool:
        """Returns whether the client of the open request is still connected, and ends the request if not."""
        if self.transport is not None and peer_state(self.transport.get_extra_info("socket")).ended:
            self._disconnected()
            self.abort()
        return self.request is not None

    def _may_hide_close(self) -> bool:
        """Returns whether the client may have closed its connection behind data that is unread.

        Failure guarded against: a client that sends much and closes may have gone long ago, and its request
        would still be forwarded. So all that it has sent is read first.
        """
        return unread_bytes(self.transport) > 0

    # ---- parsing -----------------------------------------------------------------------------------------

    def _parse(self) -> None:
        """Parses further, now or in this client's turn if its input takes much processing time."""
        if not self.has_data or self._may_not_parse:
            return
        if self.frontend.turns.may_handle_at_once(self, len(self.unparsed)):
            self.take_turn()
        elif not self.waits_for_turn:
            self._wait_for_turn()

    @property
    def _may_not_parse(self) -> bool:
        """Whether parsing waits for the open request, or for the client to read its responses."""
        is_waiting = self.request is not None and self.upload is None
        return is_waiting or self.write_paused or self.ignores_input

    def _wait_for_turn(self) -> None:
        """Joins the queue; nothing more is read until this client's turn."""
        self.waits_for_turn = True
        self.frontend.turns.join(self)
        if self.transport is not None:
            self.transport.pause_reading()

    def take_turn(self) -> None:
        """Parses for at most `TURN_S`, or a step longer, and waits for another turn if input is left."""
        started_s, before_bytes = time.monotonic(), len(self.unparsed)
        was_waiting = self.waits_for_turn
        self.waits_for_turn = False
        self.is_parsing = True
        try:
            finished = self._parse_until(started_s + TURN_S)
        finally:
            self.is_parsing = False
        # one request at a time is open, and parsing ends with its beginning
        begun = int(self.request is not None and self.upload is None)
        used_s, handled_bytes = time.monotonic() - started_s, before_bytes - len(self.unparsed)
        self.frontend.turns.charge(self, used_s, handled_bytes, begun)
        if not finished:
            self._wait_for_turn()
        elif was_waiting and not self.reading_paused and self.transport is not None:
            self.transport.resume_reading()

    def _parse_slice(self) -> bool:
        """Parses one slice of the received bytes; returns False if nothing is left."""
        if self.unparsed:
            size = self._slice_bytes()
            data = bytes(self.unparsed[:size])
            del self.unparsed[:size]
            self.parser.feed(data)
            return True
        if self.parser.expects_continue:
            self.parser.expects_continue = False
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return False

    def _slice_bytes(self) -> int:
        """Returns how much to parse next: at the start of a request its head alone, if that is complete."""
        if self.parser.has_partial:
            return PARSE_SLICE_BYTES
        end = self.unparsed.find(HEAD_END, 0, PARSE_SLICE_BYTES)
        return PARSE_SLICE_BYTES if end < 0 else end + len(HEAD_END)
