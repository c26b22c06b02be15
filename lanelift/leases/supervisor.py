"""Runs the fleet's tasks in `lanelift serve`, each on one member at a time: the holder of its lease.

The holder keeps the lease from run to run, so that the pause between two runs applies to the whole fleet.
When the holder dies or is cut off, the next waiter gets the lease and runs the task immediately, since no
member knows whether the last run was completed. A task must tolerate such an early run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from lanelift.fleet.clocks import Clock
from lanelift.fleet.cluster import ClusterConfiguration
from lanelift.fleet.messages import Response
from lanelift.fleet.transport import Address, DatagramTransport
from lanelift.leases.client import ClientState
from lanelift.leases.holder import LeaseHolder

MIN_BACKOFF_S = 1.0  # first pause after a task failed, or did not get or keep its lease
# Upper limit of the pause, which doubles each time: without a majority, all tasks keep sending requests.
MAX_BACKOFF_S = 60.0


@dataclass(frozen=True, slots=True)
class FleetTask:
    """A command that one member at a time runs repeatedly.

    Attributes:
        name: Name of the task and of its lease.
        command: Program and arguments.
        every_s: Seconds from the end of a run to the start of the next one.
    """

    name: str
    command: Sequence[str]
    every_s: float


class TaskSupervisor:
    """All tasks of one member, each in an asyncio task of its own."""

    def __init__(
        self,
        cluster: ClusterConfiguration,
        member: str,
        clock: Clock,
        transport: DatagramTransport,
        tasks: Sequence[FleetTask],
        log: Any,
    ) -> None:
        """Creates a supervisor; `start` starts the tasks.

        Args:
            cluster: The fleet.
            member: This member's id, under which the leases are held.
            clock: This member's clock.
            transport: The member's socket, whose responses the caller passes to `receive`.
            tasks: The tasks to run.
            log: A logger.
        """
        self.cluster, self.member, self.clock = cluster, member, clock
        self.transport, self.tasks, self.log = transport, tasks, log
        self._holder_by_nonce: dict[int, LeaseHolder] = {}
        self._running: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts all tasks."""
        loop = asyncio.get_running_loop()
        self._running = [loop.create_task(self._supervise(task)) for task in self.tasks]

    async def close(self) -> None:
        """Ends the running commands, and releases the leases."""
        for running in self._running:
            running.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    def receive(self, message: Response, source: Address) -> None:
        """Passes a voter's response to the holder that has the response's nonce."""
        holder = self._holder_by_nonce.get(message.nonce)
        if holder is not None:
            holder.receive(message, source)

    async def _supervise(self, task: FleetTask) -> None:
        """Repeatedly acquires a task's lease and runs the task, with backoff in between."""
        backoff_s = MIN_BACKOFF_S
        while True:
            holder = LeaseHolder(
                self.cluster, self.clock, task.name, self.member, self.log, transport=self.transport
            )
            nonce = holder.client.proposer.nonce
            self._holder_by_nonce[nonce] = holder
            try:
                async with holder:
                    if await holder.acquire():
                        backoff_s = MIN_BACKOFF_S
                        await self._run_while_held(task, holder)
            except Exception as error:  # any error is logged, and the task is tried again
                self.log.error("fleet_task_failed", task=task.name, error=repr(error))
            finally:
                del self._holder_by_nonce[nonce]
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _run_while_held(self, task: FleetTask, holder: LeaseHolder) -> None:
        while holder.client.state is ClientState.HOLDING:
            await holder.run_command(task.command)
            await holder.wait(task.every_s)
