"""Comparison of tenant names."""

from __future__ import annotations

import unicodedata

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.net.http_messages import decode_text
from lanelift.tenants.names import folded

ALIKE = [
    ("Miami Desk", "miami  desk"),
    ("São-Paulo", "sa\u0303o-paulo"),
    ("STRASSE", "straße"),
    ("ﬁnance", "FINANCE"),
    ("Ⅷ", "viii"),
    ("\u00a0ash ", "ash"),
]


@pytest.mark.parametrize(("one", "other"), ALIKE)
def test_equal_names_have_the_same_folded_form(one: str, other: str) -> None:
    assert folded(one) == folded(other)
    assert folded(decode_text(one.encode())) == folded(other)


@given(st.text(max_size=30))
def test_folding_is_idempotent(text: str) -> None:
    name = folded(text)
    assert folded(name) == name
    assert folded(unicodedata.normalize("NFD", text)) == folded(unicodedata.normalize("NFC", text))


@given(st.binary(max_size=60))
def test_any_header_bytes_have_one_folded_form(value: bytes) -> None:
    """A client may send any bytes as its tenant. Folding the folded name again does not change it."""
    assert folded(folded(decode_text(value))) == folded(decode_text(value))
