"""How long a connection to an upstream rests before it is used again."""

from __future__ import annotations

from lanelift.policy.connection_reuse import DISTRUST_NS, SETTLE_NS, UNTRUSTED_SETTLE_NS, UpstreamTrust


def test_an_upstream_is_trusted_less_for_a_while_after_unrequested_bytes() -> None:
    trust = UpstreamTrust()
    assert trust.is_trusted(0) and trust.settle_ns(0) == SETTLE_NS
    trust.unrequested_bytes_received(100)
    assert not trust.is_trusted(100) and trust.settle_ns(100) == UNTRUSTED_SETTLE_NS
    trust.unrequested_bytes_received(200)  # the time begins again
    assert not trust.is_trusted(199 + DISTRUST_NS)
    assert trust.is_trusted(200 + DISTRUST_NS) and trust.settle_ns(200 + DISTRUST_NS) == SETTLE_NS
