"""Parsing of directory entries: valid ones, invalid ones, and arbitrary bytes."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta, timezone
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.tenants.entries import (
    MAX_CLASSES,
    MAX_VALUE_CHARACTERS,
    AttributeMap,
    Parsed,
    generalized_time,
    parse,
)
from tests.tenants.town import MAP

VALID_ENTRY = {
    "cn": "Miami-Desk",
    "agentStanding": "active",
    "agentShare": "2.5",
    "agentQuota": "20",
    "agentClass": ["rate-lookup", "fee-quote"],
    "agentLimit": ["fee-quote=5", "rate-lookup = 7.5"],
    "agentFrom": "20260101000000Z",
    "agentUntil": "20270101000000Z",
    "modifyTimestamp": "20261201093000Z",
    "entryUUID": "11111111-2222-3333-4444-555555555555",
}


def entry(map: AttributeMap = MAP, **changes: Any) -> Parsed:
    rows: dict[str, list[bytes]] = {}
    given: dict[str, Any] = VALID_ENTRY | changes
    for name, values in given.items():
        if values is not None:
            every = values if isinstance(values, list) else [values]
            rows[name.lower()] = [v if isinstance(v, bytes) else v.encode() for v in every]
    return parse("cn=Miami-Desk,ou=agents", rows, map)


def test_a_complete_entry() -> None:
    parsed = entry()
    record = parsed.record
    assert record is not None and not parsed.problems
    assert record.name == "miami-desk" and record.id == VALID_ENTRY["entryUUID"] and not record.suspended
    assert record.share == 2.5 and record.quota_per_s == 20.0
    assert record.classes == {"rate-lookup", "fee-quote"}
    assert record.limits == (("fee-quote", 5.0), ("rate-lookup", 7.5))
    assert record.valid_from_s == datetime(2026, 1, 1, tzinfo=UTC).timestamp()
    assert record.stamp_us == int(datetime(2026, 12, 1, 9, 30, tzinfo=UTC).timestamp() * 1e6)


def test_only_a_name_is_needed() -> None:
    record = parse("cn=ash", {"cn": [b"ash"]}, AttributeMap()).record
    assert record is not None and record.id == "cn=ash" and record.stamp_us == 0
    assert record.share == 1.0 and record.quota_per_s is None and not record.suspended


def test_attributes_that_the_map_does_not_name_are_not_read() -> None:
    record = entry(AttributeMap(), agentStanding="suspended", agentShare="nonsense").record
    assert record is not None and record.share == 1.0 and not record.suspended


@pytest.mark.parametrize(
    ("attribute", "value", "words"),
    [
        ("cn", None, "a name"),
        ("cn", ["ash", "elm"], "one name"),
        ("cn", "x" * (MAX_VALUE_CHARACTERS + 1), f"at most {MAX_VALUE_CHARACTERS}"),
        ("agentClass", "x" * (MAX_VALUE_CHARACTERS + 1), f"at most {MAX_VALUE_CHARACTERS}"),
        ("cn", b"\xff\xfe", "UTF-8"),
        ("agentStanding", "tired", "active or suspended"),
        ("agentShare", "0", "more than 0"),
        ("agentShare", "-1", "a decimal number from 0 to 1e+06"),
        ("agentShare", "nan", "a decimal number"),
        ("agentShare", "1e9999", "a decimal number"),
        ("agentShare", ["1", "2"], "one number"),
        ("agentQuota", "many", "a decimal number"),
        ("agentQuota", "٣", "a decimal number"),
        ("agentQuota", "9" * 50, "a decimal number"),
        ("agentQuota", "9" * 400, f"at most {MAX_VALUE_CHARACTERS}"),
        ("agentLimit", "fee-quote", "CLASS=REQUESTS_PER_S"),
        ("agentLimit", "=5", "CLASS=REQUESTS_PER_S"),
        ("agentLimit", "fee-quote=lots", "a decimal number"),
        ("agentLimit", ["fee-quote=5", "fee-quote=6"], "one limit for each class"),
        ("agentLimit", [f"c{i}=1" for i in range(MAX_CLASSES + 1)], f"at most {MAX_CLASSES}"),
        ("agentClass", [f"c{i}" for i in range(MAX_CLASSES + 1)], f"at most {MAX_CLASSES}"),
        ("agentFrom", "tomorrow", "GeneralizedTime"),
        ("agentUntil", "20250101000000Z", "a time after that of agentFrom"),
        ("modifyTimestamp", "19", "GeneralizedTime"),
    ],
)
def test_an_invalid_value_is_reported_with_what_is_allowed(attribute: str, value: Any, words: str) -> None:
    """One attribute of an entry is invalid. The result has no record, and one problem that names the
    attribute and what is allowed.
    """
    parsed = entry(MAP, **{attribute: value})
    assert parsed.record is None and len(parsed.problems) == 1
    assert attribute in parsed.problems[0] and words in parsed.problems[0]


def test_all_problems_of_an_entry_are_reported_together() -> None:
    assert len(entry(agentShare="x", agentQuota="y", agentFrom="z").problems) == 3


@pytest.mark.parametrize("invalid", ["agentShare", "agentLimit", "agentUntil", "modifyTimestamp"])
def test_a_suspension_is_parsed_if_other_attributes_are_invalid(invalid: str) -> None:
    """An entry is suspended, and another attribute is invalid. Its suspension and name are still parsed."""
    parsed = entry(MAP, agentStanding=" SUSPENDED ", **{invalid: "nonsense"})
    assert parsed.record is None and parsed.suspended and parsed.name == "miami-desk"


def test_one_of_several_standings_can_suspend() -> None:
    assert entry(agentStanding=["active", "suspended"]).suspended


@given(
    st.dictionaries(
        st.sampled_from(sorted(k.lower() for k in VALID_ENTRY)), st.lists(st.binary(max_size=40), max_size=3)
    )
)
def test_any_bytes_give_a_record_or_a_problem(rows: dict[str, list[bytes]]) -> None:
    """A directory may return any bytes. The result has a valid record or a problem; nothing is raised."""
    parsed = parse("cn=x", rows, MAP)
    assert (parsed.record is None) == bool(parsed.problems)
    if parsed.record:
        assert parsed.record.name and 0 < parsed.record.share <= 1e6


@given(st.datetimes(datetime(1970, 1, 2), datetime(9999, 1, 1)), st.integers(-1439, 1439))
def test_times_in_any_zone(moment: datetime, minutes: int) -> None:
    moment = moment.replace(microsecond=0, tzinfo=timezone(timedelta(minutes=minutes)))
    text = moment.strftime("%Y%m%d%H%M%S").rjust(14, "0") + moment.strftime("%z")[:5]
    assert generalized_time(text) == moment.timestamp()


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("20261201093000Z", 0.0),
        ("202612010930Z", 0.0),
        ("2026120109Z", -1800.0),
        ("20261201093000.25Z", 0.25),
        ("20261201093000,5Z", 0.5),
        ("202612010930.5Z", 30.0),
        ("2026120109.5Z", 0.0),
        ("20261201093060Z", 59.0),  # a leap second
        ("20261201103000+01", 0.0),
        ("20261201050000-0430", 0.0),
    ],
)
def test_forms_of_a_time(text: str, seconds: float) -> None:
    found = generalized_time(text)
    assert found == datetime(2026, 12, 1, 9, 30, tzinfo=UTC).timestamp() + seconds


@pytest.mark.parametrize(
    "text",
    ["", "20261201", "20261301093000Z", "20261232093000Z", "20261201243000Z", "20261201096000Z",
     "20261201093061Z", "20261201093000", "20261201093000+2500", "20261201093000+01:00", "x20261201093000Z",
     "20261201093000.Z", "19691231235959Z", "٢٠261201093000Z"],
)  # fmt: skip
def test_invalid_times(text: str) -> None:
    """Parts of a text are missing, out of range or in another script. The text is not a GeneralizedTime."""
    assert generalized_time(text) is None
