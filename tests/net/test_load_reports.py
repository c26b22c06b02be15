"""The parsing of load reports."""

from __future__ import annotations

from typing import Any

import pytest

from lanelift.net.load_reports import read_load_report


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (b"inflight=7,queue=2", {"inflight": 7.0, "queue": 2.0}),
        (b'{"', None),
        (b"", None),
        (None, None),
        (b"inflight=nan,queue=inf", None),
        (b"inflight=-1,queue=1e999", None),
        (b"inflight=3,other=1,=2,queue", {"inflight": 3.0}),
        (b"\xff\xfe=1", None),
    ],
)
def test_only_valid_values_of_a_load_report_are_used(text: bytes | None, report: Any) -> None:
    """A load report has values that are not numbers, not finite or negative, or fields with other names. The
    valid values are used, and the rest is ignored.
    """
    assert read_load_report(text, ("inflight", "queue")) == report
