"""The whole program from SIGTERM to its end: every request that its clients sent, and every answer read."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

from tests.fakes import Client, FakeDiscovery, FakeUpstream, Message, never, run
from tests.program.test_program import config, connect, listen_address, program

DEADLINE_S = 0.6
ACCEPT_WHILE_DRAINING_S = 0.4  # new connections go on coming for so long, and old ones are used up to SIGKILL
KILL_S = DEADLINE_S + 0.7
SETTINGS = {
    "profiles": [
        {"name": name, "repeat": repeat, "aim_ns": 300_000_000, "hard_limit_ns": int(DEADLINE_S * 1e9)}
        for name, repeat in (("quote", "read_like"), ("pay", "non_idempotent"))
    ],
    "limits": {"send_cap": 2, "connect_timeout_ns": 100_000_000},
}


class Town:
    """Clients that come again at once, and what became of each of their requests."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.ended = Counter[str]()
        self.asked = 0
        self.term_s = float("inf")
        self.stopped = False

    @property
    def newcomers(self) -> bool:
        return not self.stopped and asyncio.get_running_loop().time() < self.term_s + ACCEPT_WHILE_DRAINING_S

    async def live(self, kind: str, rests: bool) -> None:
        """One client: it uses its connection for as long as that is open, or rests on it until it ends."""
        while self.newcomers:
            try:
                client = await Client.to(self.address)
            except OSError:
                self.ended["turned back"] += self.newcomers
                return
            used = 0
            while await self.request(client, kind, used):
                used += 1
                if rests:
                    await client.reader.read()
                    break
            client.close()

    async def request(self, client: Client, kind: str, used: int) -> bool:
        """Ask once; may the connection be used again?"""
        self.asked += 1
        client.send(
            f"{kind}-{self.asked}",
            kind,
            "GET" if kind == "quote" else "POST",
            b"" if kind == "quote" else b"x",
            X_Deadline_Ms=int(DEADLINE_S * 1000),
        )
        try:
            got = await client.answer()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            begun = isinstance(error, asyncio.IncompleteReadError) and error.partial
            # Between requests a balancer may close; that crossed this one, if the connection was used before.
            self.ended["cut" if begun else "crossed" if used else "closed new"] += 1
            return False
        self.ended[str(got.status)] += 1
        return got.headers.get("connection") != "close"


def test_from_sigterm_to_its_end_every_request_is_answered(tmp_path: Path) -> None:
    """SIGTERM comes while clients ask on and on, on old connections and new ones, and half of the upstreams
    hang from just then on. Each request has its answer, no request that must not run twice does, and
    nothing is open when SIGKILL would come.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        boxes = [FakeUpstream(f"s-{i}") for i in range(4)]
        for box in boxes:
            await box.start()
        discovery = FakeDiscovery(box.row() for box in boxes)
        await discovery.start()
        told = config(discovery=f"127.0.0.1:{discovery.port}", known=discovery.snapshot(), settings=SETTINGS)
        async with program(tmp_path / "config.json", told) as process:
            first = await connect(listen_address(told))
            first.close()
            town = Town(listen_address(told))
            clients = [
                asyncio.create_task(town.live(kind, rests))
                for kind in ("quote", "pay")
                for rests in (False, False, False, True)
            ]
            while sum(town.ended.values()) < 200:
                await asyncio.sleep(0)
            assert town.ended == {"200": sum(town.ended.values())}

            async def hang(message: Message) -> bytes | None:
                return await never()

            for box in boxes[:2]:
                box.reply = hang
            town.term_s = loop.time()
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), KILL_S) == 0
            town.stopped = True
            await asyncio.gather(*clients)
            assert set(+town.ended) <= {"200", "502", "503", "504", "crossed"}, town.ended
            assert sum(town.ended.values()) == town.asked
            seen = Counter(m.headers["x-request-id"] for box in boxes for m in box.seen)
            assert max(count for name, count in seen.items() if name.startswith("pay")) == 1
        for server in (*boxes, discovery):
            server.stop()

    run(test())
