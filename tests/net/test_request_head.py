"""The parsing of the head of a client's request."""

from __future__ import annotations

from dataclasses import replace
from urllib.parse import quote

import pytest

from lanelift.policy.events import RequestArrived
from lanelift.policy.settings import Tenant
from tests.fakes import run
from tests.in_process import SETTINGS, EventRecorder, in_process_balancer


def test_a_request_with_the_identifier_of_an_open_one_is_rejected() -> None:
    """A new request has the identifier of an open request. Answers and events of the two could not be
    distinguished, so the new request is answered with 409.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            first = await lb.client_with_open_request("r1")
            assert (await lb.request("r1")).status == 409
            first.close()

    run(test())


@pytest.mark.parametrize("coding", ["utf-8", "latin-1"])
@pytest.mark.parametrize("named", [True, False])
def test_names_of_classes_and_tenants_may_have_any_characters(
    recorded: EventRecorder, coding: str, named: bool
) -> None:
    """Names of classes and tenants contain any characters: headers carry these as bytes, and
    paths carry them percent-encoded.
    """
    kind, tenant = "prix d'\u00e9t\u00e9/1", "Zo\u00eb & fils"
    settings = replace(
        SETTINGS,
        classes={kind: replace(SETTINGS.classes["quote"], name=kind)},
        tenants={tenant: Tenant(tenant)},
    )

    async def test() -> None:
        async with in_process_balancer(settings=settings) as lb:
            client = await lb.client()
            path = quote(kind, safe="")
            given = f"X-Class: {kind}\r\n" if named else ""
            got = await client.raw(
                f"GET /{path}?obj=1 HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n{given}"
                f"X-Tenant: {tenant}\r\n\r\n".encode(coding)
            )
            assert got.status == 200
            assert lb.upstreams[0].seen[0].start[1] == f"/{path}?obj=1"
            (arrived,) = recorded.of(RequestArrived)
            assert (arrived.class_name, arrived.tenant) == (kind, tenant)

    run(test())


def test_a_wrong_method_and_a_too_long_identifier_are_rejected() -> None:
    """Requests have a method or a body that their class does not allow, or an identifier of a kilobyte.
    They are rejected, and the connection stays usable.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            assert (await client.request("r1", "pay", "GET")).status == 405
            assert (await client.request("r1", "quote", "DELETE")).status == 405
            assert (await client.request("r1", "quote", "GET", b"body")).status == 400
            assert (await client.request("r" * 1000)).status == 400
            assert (await client.request("r1")).status == 200

    run(test())
