"""Holds a lease and runs commands while it is held: the socket, timers and processes around `client.py`."""

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

# Maximum number of times that a release is sent; if all these messages are lost, other proposers wait until
# the lease expires.
MAX_RELEASE_ROUNDS = 3
# A module name that earlier versions of the software have as well: see `warden.py`.
WATCHDOG_MODULE = "lanelift.leases.warden"


class LeaseHolder:
    """A lease client on a socket, which runs commands only while it holds the lease.

    The holder is an asynchronous context manager: on exit it ends the command and releases the lease.

    The watchdog, a process of its own, ends a command before the lease ends. If the watchdog is stopped
    (SIGSTOP), this process kills it before the lease ends, and the command dies with it. If the watchdog is
    killed, this process kills the process group of the command.

    Attributes:
        client: The lease client.
        transport: The client's socket.
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
        """Creates a holder that has not sent anything yet.

        Args:
            cluster: The fleet.
            clock: This process's clock.
            lease: Name of the lease.
            name: The holder's name.
            log: A logger.
            wait_timeout_ns: How long to wait for the lease; 0 for no wait, None for no limit.
            successor: Name of the only proposer that may get the lease for a while after the release; empty
                for any proposer.
            transport: A transport that the caller has opened and whose responses it passes to `receive`; None
                if the holder is to open its own.
        """
        self.cluster, self.clock, self.lease, self.successor = cluster, clock, lease, successor
        self.log = log.bind(lease=lease, who=name)
        self.voter_addresses = {member.id: member.address for member in cluster.members if member.votes}
        self._owns_transport = transport is None
        self.transport = transport or DatagramTransport(cluster.digest, self.receive, self._foreign_cluster)
        nonce, rng = secrets.randbits(60) | 1, random.Random(secrets.randbits(64))
        voters = len(cluster.voters)
        self.client = LeaseClient(lease, name, nonce, cluster.timing, voters, rng, clock(), wait_timeout_ns)
        self._timer: asyncio.TimerHandle | None = None  # calls `_tick` at `client.due_ns`
        self._changed = asyncio.Event()  # set when a condition that `_until` waits for may have changed
        self._released_by: set[str] = set()  # voters that responded to the release
        self._release_request_id = -1
        self.watchdog: asyncio.subprocess.Process | None = None
        self._until_sent_ns = 0  # the lease's end, from which the watchdog's last deadlines were computed
        self._killed_watchdog = False
        # the command's process group, known once the watchdog has reported it
        self._command_group: int | None = None
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
        """Ends the command and, if the lease is held, releases it."""
        try:
            if self.watchdog is not None and self.watchdog.stdin is not None:
                self.watchdog.stdin.close()  # the watchdog then ends the command, before the lease ends
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
        """Waits for the lease; returns True once it is held, False after a rejection or a signal."""
        self._tick()
        await self._until(lambda: self.client.state is not ClientState.ACQUIRING or self._signalled)
        if self.client.state is not ClientState.HOLDING:
            self.log.warning("lease_refused", why=self.client.reason)
            return False
        waited_ms = (self.clock() - self.client.started_ns) // 1_000_000
        self.log.info("lease_held", token=self.client.proposer.token, waited_ms=waited_ms)
        return True

    async def wait(self, seconds: float) -> None:
        """Waits for this many seconds, or until the lease is lost."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._until(lambda: self.client.state is not ClientState.HOLDING)

    async def run_command(self, command: Sequence[str]) -> int:
        """Runs a command while the lease is held.

        Returns:
            The command's exit code; 75 if the lease ended before the command did.
        """
        if not self.holds:
            return NOT_HELD
        token = self.client.proposer.token
        watchdog = await self._start_watchdog(command, token)
        assert watchdog.stdout is not None
        self._arm_watchdog_timer(watchdog)
        if self._signalled:  # a signal was received before the command was started
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
        """Handles a received message; ignores those for other clients and those not from a voter."""
        if not isinstance(message, Response) or self.voter_addresses.get(message.voter) != source:
            return
        own = message.nonce == self.client.proposer.nonce
        if own and message.request_id == self._release_request_id:
            # Any verdict confirms the release: the voter released the lease, or was not bound under that
            # ballot.
            self._released_by.add(message.voter)
        self._send(self.client.receive(message, self.clock()))
        self._after_event()

    # The command and its watchdog.

    async def _start_watchdog(self, command: Sequence[str], token: int) -> asyncio.subprocess.Process:
        """Starts the watchdog with the present deadlines; the watchdog starts the command."""
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
        """Waits until the watchdog exits; returns its exit code in the form that shells use."""
        code = await watchdog.wait()
        if code < 0:  # the watchdog was killed: the processes that it started must not outlive it
            if self._command_group is not None:
                with suppress(ProcessLookupError):
                    os.killpg(self._command_group, signal.SIGKILL)
            code = SIGNAL_EXIT_CODE - code
        self.watchdog = self._command_group = None
        if self._watchdog_timer is not None:
            self._watchdog_timer.cancel()
        return code

    def _deadlines_ns(self) -> tuple[int, int]:
        """Returns when SIGTERM and SIGKILL are due, on `clock`; both times are before the lease ends."""
        until_ns, margin_ns = self.client.proposer.until_ns, self.cluster.timing.stop_margin_ns
        return until_ns - margin_ns, until_ns - margin_ns // 2

    def _send_deadlines(self) -> None:
        """After a renewal, writes the later deadlines (times of CLOCK_BOOTTIME) to the watchdog."""
        watchdog = self.watchdog
        if watchdog is None or watchdog.stdin is None or watchdog.stdin.is_closing():
            return
        if self.client.proposer.until_ns > self._until_sent_ns:
            self._until_sent_ns = self.client.proposer.until_ns
            term_ns, kill_ns = (self.clock.to_boottime_ns(at) for at in self._deadlines_ns())
            watchdog.stdin.write(f"{term_ns} {kill_ns}\n".encode())
        self._arm_watchdog_timer(watchdog)

    def _arm_watchdog_timer(self, watchdog: asyncio.subprocess.Process) -> None:
        """Sets a timer that kills the watchdog, in case the watchdog itself is stopped.

        The timer is due after the deadline for SIGKILL and before the lease ends. The command dies with the
        watchdog.
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
        """Sends the release and waits for responses; sends it again to the voters that did not respond."""
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
        """Updates the watchdog's deadlines, wakes the waiting tasks and sets the timer."""
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
