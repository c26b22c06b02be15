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


class Told(Observable):
    """What one process hears."""

    def __init__(self, folder: Path, number: int) -> None:
        super().__init__()
        self.heard: list[int] = []
        self.succession = HotRestart(folder, self._heard, number)

    def _heard(self, processes: int) -> None:
        self.heard.append(processes)
        self.notify()


def test_both_hear_of_each_other_and_of_the_end_of_either(tmp_path: Path) -> None:
    """Two processes of one balancer run during a hot restart, and one of them ends or fails. Each knows of
    the other, and of its end.
    """

    async def test() -> None:
        old, new = Told(tmp_path, 1), Told(tmp_path, 2)
        await old.succession.start()
        assert old.heard == []
        await new.succession.start()
        await old.until(lambda: old.heard == [2])
        assert new.heard == [2]
        new.succession.close()  # it failed: the old one has all again
        await old.until(lambda: old.heard == [2, 1])
        again = Told(tmp_path, 3)
        await again.succession.start()
        await old.until(lambda: old.heard == [2, 1, 2])
        old.succession.close()  # it has left
        await again.until(lambda: again.heard == [2, 1])
        again.succession.close()
        assert list(tmp_path.iterdir()) == []

    run(test())


def test_what_a_killed_process_left_behind_is_not_taken_for_one(tmp_path: Path) -> None:
    """A process was killed and left its socket behind. Nobody listens there: it is not counted, and the
    socket is removed.
    """

    async def test() -> None:
        with socket.socket(socket.AF_UNIX) as left:
            left.bind(str(tmp_path / "lanelift-9.sock"))
        (tmp_path / "lanelift-8.sock").write_text("no socket at all")
        told = Told(tmp_path, 1)
        await told.succession.start()
        assert told.heard == [] and told.succession.server is not None
        assert not (tmp_path / "lanelift-9.sock").exists()
        told.succession.close()

    run(test())


def test_a_process_that_does_not_answer_holds_up_no_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other process hangs, and its backlog has no place. The start goes on after a moment, and its
    socket stays, as it may run.
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
            told = Told(tmp_path, 1)
            await told.succession.start()
            assert told.succession.server is not None
            assert (tmp_path / "lanelift-9.sock").exists()  # it may run: its name stays
            told.succession.close()
            for sock in waiting:
                sock.close()

    run(test())


@pytest.mark.parametrize("folder", ["x" * 120, "not/there"])
def test_a_folder_that_can_not_be_used_costs_a_line_and_no_start(
    tmp_path: Path, folder: str, caplog: pytest.LogCaptureFixture
) -> None:
    """The folder for the processes of a hot restart can't be used. That is logged once, and the start goes
    on.
    """

    async def test() -> None:
        told = Told(tmp_path / folder, 1)
        await told.succession.start()
        assert told.succession.server is None
        told.succession.close()

    run(test())
    assert len([r for r in caplog.records if "will not be shared" in r.message]) == 1


@pytest.mark.parametrize("sockets", [64, 256, 384, 1024])
def test_the_processes_of_an_upgrade_keep_within_the_balancers_descriptors(sockets: int) -> None:
    alone = connection_caps(sockets, 1)
    assert sum(alone) + RESERVED_SOCKETS == sockets
    if sockets >= 4 * RESERVED_SOCKETS:
        assert 2 * (sum(connection_caps(sockets, 2)) + RESERVED_SOCKETS) <= sockets
    assert all(count >= 1 for count in connection_caps(sockets, 2))


def test_links_are_bounded_by_processes_not_by_what_they_say(tmp_path: Path) -> None:
    """Something connects to the socket of a hot restart and sends noise. What it sends is ignored, and its
    end is noticed.
    """

    async def test() -> None:
        told = Told(tmp_path, 1)
        await told.succession.start()
        _, writer = await asyncio.open_unix_connection(str(told.succession.path))
        await told.until(lambda: told.heard == [2])
        writer.write(b"noise" * 1000)
        writer.close()
        await told.until(lambda: told.heard == [2, 1])
        told.succession.close()

    run(test())
