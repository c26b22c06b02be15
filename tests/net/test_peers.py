"""Messages between replicas."""

from __future__ import annotations

import asyncio
import socket

import pytest

from lanelift.net import dispatch
from lanelift.policy.actions import Action, SendPeerMessage
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    EndpointUpdate,
    PeerMessageReceived,
)
from tests.fakes import run
from tests.in_process import EventRecorder, in_process_balancer


def test_only_valid_messages_of_peers_are_accepted(recorded: EventRecorder) -> None:
    """Datagrams come from an unknown address, or are too large. Only a peer's valid message is accepted."""

    async def test() -> None:
        with (
            socket.socket(type=socket.SOCK_DGRAM) as peer,
            socket.socket(type=socket.SOCK_DGRAM) as odd,
            socket.socket(type=socket.SOCK_DGRAM) as own,
        ):
            for sock in (peer, odd, own):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            address = own.getsockname()
            own.close()
            async with in_process_balancer(
                peer_listen=address, peers=[address, peer.getsockname()], peers_all=peer.getsockname()
            ):
                await recorded.until(lambda: recorded.of(EndpointUpdate))
                odd.sendto(b"from nobody", address)
                peer.sendto(b"x" * 300, address)
                peer.sendto(b"hello", address)
                await recorded.until(lambda: recorded.of(PeerMessageReceived))
                assert [(m.sender, m.data) for m in recorded.of(PeerMessageReceived)] == [(1, b"hello")]

    run(test())


def test_a_message_is_sent_to_one_peer_or_to_all(monkeypatch: pytest.MonkeyPatch) -> None:
    class SendingBalancer(Balancer):
        def handle(self, now: int, events: object) -> list[Action]:
            return [SendPeerMessage(b"one", 0), SendPeerMessage(b"all")]

    monkeypatch.setattr(dispatch, "Balancer", SendingBalancer)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with (
            socket.socket(type=socket.SOCK_DGRAM) as peer,
            socket.socket(type=socket.SOCK_DGRAM) as broadcast,
        ):
            for sock in (peer, broadcast):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            async with in_process_balancer(
                peer_listen=("127.0.0.1", 0), peers=[peer.getsockname()], peers_all=broadcast.getsockname()
            ):
                assert await loop.sock_recv(peer, 300) == b"one"
                assert await loop.sock_recv(broadcast, 300) == b"all"

    run(test())
