"""Two processes of one balancer in a hot restart."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from lanelift.daemon_config import RESERVED_SOCKETS, connection_caps
from lanelift.net import hot_restart
from lanelift.net.hot_restart import HotRestart
from tests.fakes import Observable, run


class ProcessCounter(Observable):
    """Records the numbers of running processes that `HotRestart` reports to one process."""

    def __init__(self, folder: Path, number: int) -> None:
        super().__init__()
        self.counts: list[int] = []
        self.hot_restart = HotRestart(folder, self._count, number)

    def _count(self, processes: int) -> None:
        self.counts.append(processes)
        self.notify()


def test_both_processes_detect_each_other_and_the_end_of_either(tmp_path: Path) -> None:
    """Two processes of one balancer run during a hot restart, and one of them ends or fails. Each process
    detects the other process and the end of that process.
    """

    async def test() -> None:
        old, new = ProcessCounter(tmp_path, 1), ProcessCounter(tmp_path, 2)
        await old.hot_restart.start()
        assert old.counts == []
        await new.hot_restart.start()
        await old.until(lambda: old.counts == [2])
        assert new.counts == [2]
        new.hot_restart.close()  # the new process failed; the old one has the whole limit again
        await old.until(lambda: old.counts == [2, 1])
        again = ProcessCounter(tmp_path, 3)
        await again.hot_restart.start()
        await old.until(lambda: old.counts == [2, 1, 2])
        old.hot_restart.close()  # the old process has ended
        await again.until(lambda: again.counts == [2, 1])
        again.hot_restart.close()
        assert list(tmp_path.iterdir()) == []

    run(test())


def test_the_socket_of_a_killed_process_does_not_count_as_a_process(tmp_path: Path) -> None:
    """A killed process has left its socket behind. No process listens on the socket, so the killed process is
    not counted, and the socket is removed.
    """

    async def test() -> None:
        with socket.socket(socket.AF_UNIX) as abandoned:
            abandoned.bind(str(tmp_path / "lanelift-9.sock"))
        (tmp_path / "lanelift-8.sock").write_text("no socket at all")
        counter = ProcessCounter(tmp_path, 1)
        await counter.hot_restart.start()
        assert counter.counts == [] and counter.hot_restart.server is not None
        assert not (tmp_path / "lanelift-9.sock").exists()
        counter.hot_restart.close()

    run(test())


def test_a_process_that_does_not_answer_does_not_delay_a_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other process hangs, and its backlog is full. The start continues after a time-out, and the other
    process's socket is not removed, as that process may still run.
    """
    monkeypatch.setattr(hot_restart, "CONNECT_TIMEOUT_S", 0.05)

    async def test() -> None:
        with socket.socket(socket.AF_UNIX) as full:
            full.bind(str(tmp_path / "lanelift-9.sock"))
            full.listen(0)
            waiting = [socket.socket(socket.AF_UNIX) for _ in range(2)]
            for sock in waiting:
                sock.setblocking(False)
                sock.connect_ex(str(tmp_path / "lanelift-9.sock"))
            counter = ProcessCounter(tmp_path, 1)
            await counter.hot_restart.start()
            assert counter.hot_restart.server is not None
            assert (tmp_path / "lanelift-9.sock").exists()  # the process that owns the socket may still run
            counter.hot_restart.close()
            for sock in waiting:
                sock.close()

    run(test())


@pytest.mark.parametrize("folder", ["x" * 120, "not/there"])
def test_an_unusable_folder_is_logged_in_one_line_and_the_start_continues(
    tmp_path: Path, folder: str, caplog: pytest.LogCaptureFixture
) -> None:
    """The folder for the processes of a hot restart can't be used. That is logged once, and the start
    continues.
    """

    async def test() -> None:
        counter = ProcessCounter(tmp_path / folder, 1)
        await counter.hot_restart.start()
        assert counter.hot_restart.server is None
        counter.hot_restart.close()

    run(test())
    assert len([r for r in caplog.records if "will not be shared" in r.message]) == 1


@pytest.mark.parametrize("sockets", [64, 256, 384, 1024])
def test_the_processes_of_a_hot_restart_keep_within_the_limit_on_descriptors(sockets: int) -> None:
    alone = connection_caps(sockets, 1)
    assert sum(alone) + RESERVED_SOCKETS == sockets
    if sockets >= 4 * RESERVED_SOCKETS:
        assert 2 * (sum(connection_caps(sockets, 2)) + RESERVED_SOCKETS) <= sockets
    assert all(count >= 1 for count in connection_caps(sockets, 2))


def test_bytes_on_a_link_are_ignored(tmp_path: Path) -> None:
    """A process connects to the socket of a hot restart and sends noise. The noise is ignored, and the end
    of the process is noticed.
    """

    async def test() -> None:
        counter = ProcessCounter(tmp_path, 1)
        await counter.hot_restart.start()
        _, writer = await asyncio.open_unix_connection(str(counter.hot_restart.path))
        await counter.until(lambda: counter.counts == [2])
        writer.write(b"noise" * 1000)
        writer.close()
        await counter.until(lambda: counter.counts == [2, 1])
        counter.hot_restart.close()

    run(test())
