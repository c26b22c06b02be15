"""The whole program from SIGTERM to its end, under load: every request that clients send is answered."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

from tests.fakes import Client, FakeDiscovery, FakeUpstream, Message, never, run
from tests.program.test_program import config, connect, listen_address, program

DEADLINE_S = 0.6
# how long clients open connections after SIGTERM; they use open connections until SIGKILL
ACCEPT_WHILE_DRAINING_S = 0.4
KILL_S = DEADLINE_S + 0.7
SETTINGS = {
    "profiles": [
        {"name": name, "repeat": repeat, "aim_ns": 300_000_000, "hard_limit_ns": int(DEADLINE_S * 1e9)}
        for name, repeat in (("quote", "read_like"), ("pay", "non_idempotent"))
    ],
    "limits": {"send_cap": 2, "connect_timeout_ns": 100_000_000},
}


class ClientLoad:
    """Runs clients that send one request after another, and counts the outcomes."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.outcomes = Counter[str]()
        self.sent = 0
        self.term_s = float("inf")
        self.stopped = False

    @property
    def may_connect(self) -> bool:
        return not self.stopped and asyncio.get_running_loop().time() < self.term_s + ACCEPT_WHILE_DRAINING_S

    async def run_client(self, kind: str, stays_idle: bool) -> None:
        """Runs a client, which uses each connection while it is open, or sends one request and stays idle."""
        while self.may_connect:
            try:
                client = await Client.to(self.address)
            except OSError:
                self.outcomes["connection refused"] += self.may_connect
                return
            used = 0
            while await self.request(client, kind, used):
                used += 1
                if stays_idle:
                    await client.reader.read()
                    break
            client.close()

    async def request(self, client: Client, kind: str, used: int) -> bool:
        """Sends a request; returns whether the connection may be used again."""
        self.sent += 1
        client.send(
            f"{kind}-{self.sent}",
            kind,
            "GET" if kind == "quote" else "POST",
            b"" if kind == "quote" else b"x",
            X_Deadline_Ms=int(DEADLINE_S * 1000),
        )
        try:
            got = await client.answer()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            begun = isinstance(error, asyncio.IncompleteReadError) and error.partial
            # A balancer may close a used connection just when the next request is sent on it ("crossed").
            self.outcomes["truncated" if begun else "crossed" if used else "closed unused"] += 1
            return False
        self.outcomes[str(got.status)] += 1
        return got.headers.get("connection") != "close"


def test_from_sigterm_to_its_end_every_request_is_answered(tmp_path: Path) -> None:
    """SIGTERM arrives while clients send request after request, on old and new connections, and half of the
    upstreams hang from that moment on. Each request is answered, no non-idempotent request runs twice, and
    the process has ended when SIGKILL would come.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        upstreams = [FakeUpstream(f"s-{i}") for i in range(4)]
        for upstream in upstreams:
            await upstream.start()
        discovery = FakeDiscovery(upstream.row() for upstream in upstreams)
        await discovery.start()
        raw = config(discovery=f"127.0.0.1:{discovery.port}", known=discovery.snapshot(), settings=SETTINGS)
        async with program(tmp_path / "config.json", raw) as process:
            first = await connect(listen_address(raw))
            first.close()
            load = ClientLoad(listen_address(raw))
            clients = [
                asyncio.create_task(load.run_client(kind, stays_idle))
                for kind in ("quote", "pay")
                for stays_idle in (False, False, False, True)
            ]
            while sum(load.outcomes.values()) < 200:
                await asyncio.sleep(0)
            assert load.outcomes == {"200": sum(load.outcomes.values())}

            async def hang(message: Message) -> bytes | None:
                return await never()

            for upstream in upstreams[:2]:
                upstream.reply = hang
            load.term_s = loop.time()
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), KILL_S) == 0
            load.stopped = True
            await asyncio.gather(*clients)
            assert set(+load.outcomes) <= {"200", "502", "503", "504", "crossed"}, load.outcomes
            assert sum(load.outcomes.values()) == load.sent
            seen = Counter(m.headers["x-request-id"] for upstream in upstreams for m in upstream.seen)
            assert max(count for name, count in seen.items() if name.startswith("pay")) == 1
        for server in (*upstreams, discovery):
            server.stop()

    run(test())
