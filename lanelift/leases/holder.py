"""Holds a lease, and runs commands only while it is held: socket, timers and processes around `client.py`."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import signal
import sys
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any

from lanelift.fleet.clocks import Clock
from lanelift.fleet.cluster import ClusterConfiguration
from lanelift.fleet.messages import Message, Response
from lanelift.fleet.transport import Address, DatagramTransport
from lanelift.leases.client import ClientState, LeaseClient
from lanelift.leases.watchdog import NOT_HELD, SIGNAL_EXIT_CODE

MAX_RELEASE_ROUNDS = 3  # a release that is lost costs others the rest of a lease
# Under this name the watchdog is found in the files of earlier releases as well: see `warden.py`.
WATCHDOG_MODULE = "lanelift.leases.warden"


class LeaseHolder:
    """One lease client on a socket, and commands that run only while it holds.

    An asynchronous context manager: at its end it ends the command, and releases the lease.

    What ends a command in time, in this order: the watchdog, a process of its own; if that is stopped, this
    process, which kills the watchdog and the command with it; if the watchdog is killed, this process,
    which kills the command's group.

    Attributes:
        client: The lease client.
        transport: Its socket.
        watchdog: The watchdog of the running command; None while no command runs.
    """

    def __init__(
        self,
        cluster: ClusterConfiguration,
        clock: Clock,
        lease: str,
        name: str,
        log: Any,
        wait_timeout_ns: int | None = None,
        successor: str = "",
        transport: DatagramTransport | None = None,
    ) -> None:
        """Creates a holder that does nothing yet.

        Args:
            cluster: The fleet.
            clock: This process' clock.
            lease: Name of the lease.
            name: As whom it is held.
            log: A logger.
            wait_timeout_ns: How long the lease is waited for; 0: not at all; None: for ever.
            successor: Who alone may have the lease next, for a while; empty for anybody.
            transport: One that the caller has opened, whose responses it passes to `receive`; None for one
                of its own.
        """
        self.cluster, self.clock, self.lease, self.successor = cluster, clock, lease, successor
        self.log = log.bind(lease=lease, who=name)
        self.voter_addresses = {member.id: member.address for member in cluster.members if member.votes}
        self._owns_transport = transport is None
        self.transport = transport or DatagramTransport(cluster.digest, self.receive, self._foreign_cluster)
        nonce, rng = secrets.randbits(60) | 1, random.Random(secrets.randbits(64))
        voters = len(cluster.voters)
        self.client = LeaseClient(lease, name, nonce, cluster.timing, voters, rng, clock(), wait_timeout_ns)
        self._timer: asyncio.TimerHandle | None = None  # of `client.due_ns`
        self._changed = asyncio.Event()  # something that `_until` may wait for
        self._released_by: set[str] = set()  # voters that responded to the release
        self._release_request_id = -1
        self.watchdog: asyncio.subprocess.Process | None = None
        self._until_sent_ns = 0  # end of the lease for which the watchdog has deadlines
        self._killed_watchdog = False
        self._command_group: int | None = None  # its process group, once the watchdog has written it
        self._watchdog_timer: asyncio.TimerHandle | None = (
            None  # kills a watchdog that does not end the command
        )
        self._signalled = False  # a signal has ended the wait for the lease

    async def __aenter__(self) -> LeaseHolder:
        """Opens the socket.

        Raises:
            OSError: The socket can't be opened.
        """
        if self._owns_transport:
            await self.transport.open(("0.0.0.0", 0))
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Ends the command, and releases the lease if it is held."""
        try:
            if self.watchdog is not None and self.watchdog.stdin is not None:
                self.watchdog.stdin.close()  # the watchdog ends the command, in time
                await self._wait_for_watchdog(self.watchdog)
            if self.holds:
                await self._release()
        finally:
            if self._timer is not None:
                self._timer.cancel()
            if self._owns_transport:
                self.transport.close()

    @property
    def holds(self) -> bool:
        """Whether the lease is held now."""
        return self.client.holds(self.clock())

    async def acquire(self) -> bool:
        """Waits for the lease; returns whether it is held. It is not if it was rejected, or a signal came."""
        self._tick()
        await self._until(lambda: self.client.state is not ClientState.ACQUIRING or self._signalled)
        if self.client.state is not ClientState.HOLDING:
            self.log.warning("lease_refused", why=self.client.reason)
            return False
        waited_ms = (self.clock() - self.client.started_ns) // 1_000_000
        self.log.info("lease_held", token=self.client.proposer.token, waited_ms=waited_ms)
        return True

    async def wait(self, seconds: float) -> None:
        """Waits so long, or until the lease is lost."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._until(lambda: self.client.state is not ClientState.HOLDING)

    async def run_command(self, command: Sequence[str]) -> int:
        """Runs a command while the lease is held.

        Returns:
            Its exit code; 75 where the lease ended first.
        """
        if not self.holds:
            return NOT_HELD
        token = self.client.proposer.token
        watchdog = await self._start_watchdog(command, token)
        assert watchdog.stdout is not None
        self._arm_watchdog_timer(watchdog)
        if self._signalled:  # a signal came before there was a command to pass it to
            watchdog.send_signal(signal.SIGTERM)
        group_line = await watchdog.stdout.readline()
        self._command_group = int(group_line) if group_line.strip() else None
        code = await self._wait_for_watchdog(watchdog)
        until_ns = self.clock.to_boottime_ns(self.client.proposer.until_ns)
        self.log.info("lease_task_ended", token=token, code=code, until_ns=until_ns)
        if self._killed_watchdog or not self.holds:
            self.log.error("lease_lost", token=token, why=self.client.reason)
            return NOT_HELD
        return code

    def stop(self, number: int) -> None:
        """Passes a signal to the command, or ends the wait for the lease."""
        self._signalled = True
        if self.watchdog is not None:
            self.watchdog.send_signal(number)
        self._changed.set()

    def receive(self, message: Message, source: Address) -> None:
        """Takes a message of the transport; ignores what is not for this client, or not from a voter."""
        if not isinstance(message, Response) or self.voter_addresses.get(message.voter) != source:
            return
        own = message.nonce == self.client.proposer.nonce
        if own and message.request_id == self._release_request_id:
            # Whatever the verdict: it released the lease, or it was not bound under that ballot.
            self._released_by.add(message.voter)
        self._send(self.client.receive(message, self.clock()))
        self._after_event()

    # The command and its watchdog.

    async def _start_watchdog(self, command: Sequence[str], token: int) -> asyncio.subprocess.Process:
        """Starts the watchdog, which starts the command with the deadlines that are known now."""
        remaining_ms = max(0, self._deadlines_ns()[0] - self.clock()) // 1_000_000
        self._until_sent_ns, self._killed_watchdog = self.client.proposer.until_ns, False
        deadlines = [str(self.clock.to_boottime_ns(at)) for at in self._deadlines_ns()]
        environment = {
            **os.environ,
            "LANELIFT_LEASE": self.lease,
            "LANELIFT_LEASE_TOKEN": str(token),
            "LANELIFT_LEASE_LEFT_MS": str(remaining_ms),
        }
        watchdog = self.watchdog = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            WATCHDOG_MODULE,
            *deadlines,
            *command,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            env=environment,
        )
        return watchdog

    async def _wait_for_watchdog(self, watchdog: asyncio.subprocess.Process) -> int:
        """Waits for its end; returns its exit code, as a shell gives it."""
        code = await watchdog.wait()
        if code < 0:  # somebody killed it: what it started must not stay
            if self._command_group is not None:
                with suppress(ProcessLookupError):
                    os.killpg(self._command_group, signal.SIGKILL)
            code = SIGNAL_EXIT_CODE - code
        self.watchdog = self._command_group = None
        if self._watchdog_timer is not None:
            self._watchdog_timer.cancel()
        return code

    def _deadlines_ns(self) -> tuple[int, int]:
        """Returns when the command is sent SIGTERM and SIGKILL, on this clock; both before the lease ends."""
        until_ns, margin_ns = self.client.proposer.until_ns, self.cluster.timing.stop_margin_ns
        return until_ns - margin_ns, until_ns - margin_ns // 2

    def _send_deadlines(self) -> None:
        """Writes later deadlines to the watchdog after a renewal, as times of the machine's clock."""
        watchdog = self.watchdog
        if watchdog is None or watchdog.stdin is None or watchdog.stdin.is_closing():
            return
        if self.client.proposer.until_ns > self._until_sent_ns:
            self._until_sent_ns = self.client.proposer.until_ns
            term_ns, kill_ns = (self.clock.to_boottime_ns(at) for at in self._deadlines_ns())
            watchdog.stdin.write(f"{term_ns} {kill_ns}\n".encode())
        self._arm_watchdog_timer(watchdog)

    def _arm_watchdog_timer(self, watchdog: asyncio.subprocess.Process) -> None:
        """Guards against a watchdog that is stopped itself.

        It is killed, and its command with it, in what is left of the margin after the second deadline.
        """
        if self._watchdog_timer is not None:
            self._watchdog_timer.cancel()
        last_ns = self._deadlines_ns()[1] + self.cluster.timing.stop_margin_ns // 4
        wait_s = max(0, last_ns - self.clock()) / 1e9
        loop = asyncio.get_running_loop()
        self._watchdog_timer = loop.call_later(wait_s, self._kill_watchdog, watchdog)

    def _kill_watchdog(self, watchdog: asyncio.subprocess.Process) -> None:
        if watchdog.returncode is None:
            self._killed_watchdog = True
            watchdog.kill()

    # The lease client's timer and messages.

    async def _release(self) -> None:
        """Releases the lease, and waits for the voters' responses; some more times if they are missing."""
        message = self.client.release(self.successor)
        self._release_request_id = message.request_id
        for _ in range(MAX_RELEASE_ROUNDS):
            for voter, address in self.voter_addresses.items():
                if voter not in self._released_by:
                    self.transport.send(message, address)
            with suppress(TimeoutError):
                async with asyncio.timeout(self.cluster.timing.response_timeout_ns / 1e9):
                    await self._until(lambda: len(self._released_by) == len(self.voter_addresses))
                    break
        self.log.info("lease_released", token=self.client.proposer.token, told=len(self._released_by))

    async def _until(self, done: Callable[[], bool]) -> None:
        while not done():
            self._changed.clear()
            await self._changed.wait()

    def _tick(self) -> None:
        self._send(self.client.tick(self.clock()))
        self._after_event()

    def _after_event(self) -> None:
        """Brings the watchdog, the waiting tasks and the timer up to date."""
        self._send_deadlines()
        self._changed.set()
        if self._timer is not None:
            self._timer.cancel()
        if self.client.due_ns is not None:
            wait_s = max(0, self.client.due_ns - self.clock()) / 1e9
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)

    def _send(self, outgoing: Sequence[tuple[str | None, Message]]) -> None:
        for to, message in outgoing:
            for voter, address in self.voter_addresses.items():
                if to in (None, voter):
                    self.transport.send(message, address)

    def _foreign_cluster(self, source: Address) -> None:
        digest = self.cluster.digest.hex()
        self.log.warning("fleet_other_plan", source=f"{source[0]}:{source[1]}", plan=digest)
