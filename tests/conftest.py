"""Fixtures that several test modules share (recorded events, settled connections), and pytest's options."""

from __future__ import annotations

import pytest

from lanelift.net import dispatch
from lanelift.policy import connection_reuse
from lanelift.policy.balancer import Balancer
from tests.in_process import EventRecorder
from tests.known_red import KnownRed


@pytest.fixture
def recorded(monkeypatch: pytest.MonkeyPatch) -> EventRecorder:
    """Records the events received by each balancer that the test starts."""
    recorded = EventRecorder()
    monkeypatch.setattr(dispatch, "Balancer", recorded.recording_subclass(Balancer))
    return recorded


@pytest.fixture
def settled(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes connections to upstreams count as settled as soon as their response is complete."""
    monkeypatch.setattr(connection_reuse, "SETTLE_NS", 0)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--long", action="store_true", help="do long and exhaustive runs at their full length")
    parser.addoption("--known-red-passed", metavar="FILE", help="write the ids of known red tests to FILE")


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config))


@pytest.fixture
def long_runs(request: pytest.FixtureRequest) -> bool:
    return bool(request.config.getoption("--long"))
