"""Fixtures that several test files start from: events that are watched, and settled connections."""

from __future__ import annotations

import pytest

from lanelift.net import connection_pool, dispatch
from lanelift.policy.balancer import Balancer
from tests.in_process import EventRecorder
from tests.known_red import KnownRed


@pytest.fixture
def recorded(monkeypatch: pytest.MonkeyPatch) -> EventRecorder:
    """The events that the module of each balancer started from here on is handed."""
    recorded = EventRecorder()
    monkeypatch.setattr(dispatch, "Balancer", recorded.listen(Balancer))
    return recorded


@pytest.fixture
def settled(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections to upstreams have settled as soon as their answer is there."""
    monkeypatch.setattr(connection_pool, "SETTLE_S", 0.0)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--long", action="store_true", help="long and exhaustive runs, at their full length")
    parser.addoption(
        "--known-red-passed", metavar="FILE", help="where the ids of known red tests are written"
    )


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config))


@pytest.fixture
def long_runs(request: pytest.FixtureRequest) -> bool:
    return bool(request.config.getoption("--long"))
