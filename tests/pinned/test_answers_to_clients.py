"""The answers to clients, and the requests sent to upstreams for them, byte for byte."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any

from tests.pinned.ends import RESET, SILENT, Upstream, ask, balancer, free_port
from tests.pinned.processes import as_lines, same_as_kept
from tests.pinned.settings_names import directory
from tests.program.test_tenants import shop
from tests.tenants.town import READER, SECRET, agent, town

LONG = 100_000
ANSWERS = {
    "headers": b"HTTP/1.1 200 Fine\r\nServer: s\r\nX-Custom: a\r\nConnection: X-Drop, keep-alive\r\n"
    b"X-Drop: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\nContent-Type: text/plain\r\nX-Custom: b\r\n"
    b"Content-Length: 2\r\n\r\nok",
    "empty": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "long": b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: %d\r\n\r\n" % LONG + b"x" * LONG,
    "long-chunked": b"HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % LONG
    + b"x" * LONG
    + b"\r\n0\r\n\r\n",
    "error": b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
    "shed": b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno",
    "missing": b"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno",
    "garbage": b"nothing like HTTP\r\n\r\n",
    "reset": RESET,
    "pay-reset": RESET,
    "pay-error": b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
    "silent": SILENT,
    "pay-silent": SILENT,
    "held": SILENT,
    "held-too": SILENT,
}
ANSWERS["long-10"], ANSWERS["shed-unsafe"] = ANSWERS["long-chunked"], ANSWERS["shed"]


def get(name: str, path: str = "/look", more: str = "", version: str = "1.1") -> bytes:
    head = f"GET {path} HTTP/{version}\r\nHost: h\r\nX-Request-Id: {name}\r\nX-Tenant: ash\r\n"
    return f"{head}{more}\r\n".encode()


def post(name: str, body: bytes = b"body", path: str = "/pay", more: str = "") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {name}\r\nX-Tenant: ash\r\n{more}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


CASES: dict[str, tuple[bytes, ...]] = {
    "served, with headers": (get("headers"),),
    "served twice on one connection": (get("empty"), get("chunked")),
    "served, and the last": (get("plain-1", more="Connection: close\r\n"),),
    "served to HTTP/1.0": (get("plain-2", version="1.0"),),
    "served to HTTP/1.0, kept": (get("plain-3", version="1.0", more="Connection: keep-alive\r\n"),),
    "served by X-Class": (get("plain-4", "/look/deep?obj=7&x=1", "X-Class: look\r\nX-Deadline-Ms: 700\r\n"),),
    "passed on, of known length": (get("long"),),
    "passed on in chunks": (get("long-chunked"),),
    "passed on to HTTP/1.0": (get("long-10", version="1.0"),),
    "posted": (post("pay-1"),),
    "posted, without a body": (post("pay-2", b""),),
    "posted, in chunks": (
        b"POST /pay HTTP/1.1\r\nHost: h\r\nX-Request-Id: pay-3\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n0\r\n\r\n",
    ),
    "posted, long": (post("pay-long", b"y" * LONG),),
    "posted, after 100 Continue": (
        b"POST /pay HTTP/1.1\r\nHost: h\r\nX-Request-Id: pay-4\r\nExpect: 100-continue\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
    ),
    "headers that go on and that do not": (
        get(
            "hop",
            more="X-Class: look\r\nX-Deadline-Ms: 900\r\nX-Cost-Hint: 5\r\nX-Retry: 1\r\n"
            "Idempotency-Key: k\r\nAccept: */*\r\nUser-Agent: u\r\nConnection: X-Mine\r\n"
            "X-Mine: 1\r\nTE: trailers\r\nX-Forwarded-For: 1.2.3.4\r\nUpgrade: h2c\r\n",
        ),
    ),
    "refused, an error": (get("error"),),
    "refused, not found there": (get("missing"),),
    "refused, garbage": (get("garbage"),),
    "refused, reset": (get("reset"),),
    "502, reset, unsafe": (post("pay-reset"),),
    "refused, shed there": (get("shed"),),
    "502, shed there, unsafe": (post("shed-unsafe"),),
    "refused, silent": (get("silent", more="X-Deadline-Ms: 150\r\n"),),
    "502, an error, unsafe": (post("pay-error"),),
    "504, unsafe": (post("pay-silent", more="X-Deadline-Ms: 150\r\n"),),
    "404, no such class": (get("x", "/nothing"),),
    "404, no such X-Class": (get("x", more="X-Class: nothing\r\n"),),
    "404, no class": (get("x", "/"),),
    "405, safe": (post("x", path="/look"),),
    "405, unsafe": (get("x", "/pay"),),
    "405, HEAD": (b"HEAD /look HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\nConnection: close\r\n\r\n",),
    "400, no Host": (b"GET /look HTTP/1.1\r\nX-Request-Id: x\r\n\r\n",),
    "400, no id": (b"GET /look HTTP/1.1\r\nHost: h\r\n\r\n",),
    "400, a long id": (get("x" * 129),),
    "400, GET with a body": (get("x", more="Content-Length: 1\r\n") + b"x",),
    "400, deadline": (get("x", more="X-Deadline-Ms: soon\r\n"),),
    "400, cost": (get("x", more="X-Cost-Hint: -1\r\n"),),
    "400, twice": (get("x", more="X-Tenant: elm\r\n"),),
    "400, garbage": (b"hello\r\n\r\n",),
    "400, version": (get("x", version="1.2"),),
    "400, coding": (get("x", more="Transfer-Encoding: gzip\r\n"),),
    "400, length": (get("x", more="Content-Length: 1e3\r\n"),),
    "413": (b"POST /pay HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\nContent-Length: 99999999\r\n\r\n",),
    "431": (get("x", more=f"X: {'x' * 17000}\r\n"),),
    "408, the head": (b"GET /look HTTP/1.1\r\nHost:",),
    "408, the body": (b"POST /pay HTTP/1.1\r\nHost: h\r\nX-Request-Id: x8\r\nContent-Length: 9\r\n\r\nx",),
    "/ready": (b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", b"GET /ready?x=1 HTTP/1.1\r\nHost: h\r\n\r\n"),
    "/ready, HEAD": (b"HEAD /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",),
}


def told(upstream: Upstream, **limits: Any) -> dict[str, Any]:
    server = {"id": "s", "addr": f"127.0.0.1:{upstream.port}"}
    return {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "operator": f"127.0.0.1:{free_port()}",
        "known": {"version": 1, "full": True, "servers": [server]},
        "settings": {
            "profiles": [
                {"name": "look", "repeat": "read_like", "hard_limit_ns": 3_000_000_000},
                {"name": "pay", "repeat": "non_idempotent", "hard_limit_ns": 3_000_000_000},
            ],
            "realms": [{"name": "ash"}],
            "limits": {"retry_after": True, "max_open": 2, **limits},
        },
    }


def listening(config: dict[str, Any]) -> tuple[str, int]:
    return "127.0.0.1", int(config["listen"].rpartition(":")[2])


def steady(text: str) -> str:
    """Returns an answer without the parts that time or chance change, and with lengths for long bodies."""
    text = re.sub(r"Retry-After: \d+\.\d{3}\r\n", "Retry-After: S.MMM\r\n", text)
    text = re.sub(r"X-Deadline-Ms: \d+\r\n", "X-Deadline-Ms: MS\r\n", text)
    text = re.sub(r"(?:\r\n[0-9a-f]+\r\n[xy]+)+\r\n0\r\n", "\r\nCHUNKS\r\n0\r\n", text)
    return re.sub(r"([xy])\1{999,}", lambda found: f"{found[1]} * {len(found[0])}", text)


def test_each_kind_of_answer_and_what_the_upstream_is_sent(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(ANSWERS)
        await upstream.start()
        config = told(upstream)
        at = listening(config)
        found: dict[str, list[str]] = {}
        async with balancer(tmp_path, config):
            late = {
                name: asyncio.create_task(ask(at, *CASES[name])) for name in CASES if name.startswith("408")
            }
            for name, requests in CASES.items():
                if name == "posted, after 100 Continue":
                    found[name] = await continued(at, requests[0])
                elif name not in late:
                    found[name] = await ask(at, *requests)
            for name, task in late.items():
                found[name] = await task
        upstream.stop()
        kept = {name: [steady(text) for text in each] for name, each in found.items()}
        same_as_kept("golden/answers.json", as_lines(kept))
        sent = {name: steady(request.decode("latin-1")) for name, request in sorted(upstream.seen.items())}
        same_as_kept("golden/sent-to-upstream.json", as_lines(sent))

    asyncio.run(test())


async def continued(at: tuple[str, int], head: bytes) -> list[str]:
    reader, writer = await asyncio.open_connection(*at)
    writer.write(head)
    told_to = (await reader.readuntil(b"\r\n\r\n")).decode()
    writer.write(b"2\r\nab\r\n0\r\n\r\n")
    answer = (await reader.readuntil(b"\r\n\r\n")).decode() + (await reader.readexactly(2)).decode()
    writer.close()
    return [told_to, answer]


def test_refused_with_and_without_retry_after_and_a_second_of_one_id(tmp_path: Path) -> None:
    """Two requests are open, and the limit is two open requests."""

    async def test() -> None:
        found = {}
        for retry_after in (True, False):
            upstream = Upstream(ANSWERS)
            await upstream.start()
            config = told(upstream, retry_after=retry_after)
            at = listening(config)
            async with balancer(tmp_path, config):
                held = [
                    asyncio.create_task(ask(at, get(name, more="X-Deadline-Ms: 900\r\n")))
                    for name in ("held", "held-too")
                ]
                while not {"held", "held-too"} <= set(upstream.seen):
                    await asyncio.sleep(0.01)
                found[f"409, retry_after={retry_after}"] = await ask(at, get("held"))
                found[f"503, retry_after={retry_after}"] = await ask(at, get("third"))
                await asyncio.gather(*held)
            upstream.stop()
        kept = {name: [steady(text) for text in each] for name, each in found.items()}
        same_as_kept("golden/answers-refused.json", as_lines(kept))

    asyncio.run(test())


def test_tenants_that_a_directory_denies_or_limits(tmp_path: Path) -> None:
    async def test() -> None:
        tree = town("ash")
        agent(tree, "oak", agentClass="history")
        agent(tree, "yew", agentQuota="1")
        found = {}
        async with shop(
            tmp_path, directory(tree, {READER: SECRET}), top='unknown = "deny"\nstart = "wait"'
        ) as open_shop:
            at = ("127.0.0.1", open_shop.port)
            for tenant in ("ash", "oak", "nobody"):
                request = get(tenant, "/quote").replace(b"X-Tenant: ash", f"X-Tenant: {tenant}".encode())
                found[tenant] = (await ask(at, request))[:1]
            number = 0
            while True:
                number += 1
                request = get(f"yew{number}", "/quote").replace(b"X-Tenant: ash", b"X-Tenant: yew")
                answer = await ask(at, request)
                if " 200 " not in answer[0]:
                    found["yew, over its quota"] = answer
                    break
        kept = {name: [steady(text) for text in each] for name, each in found.items()}
        same_as_kept("golden/answers-tenants.json", as_lines(kept))

    asyncio.run(test())
