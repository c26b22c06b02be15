"""Types of values that several tables of the operator's file use."""

from __future__ import annotations

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, Field

from lanelift.net.addresses import split_address
from lanelift.settings import SettingsError

MAX_MS = 3_600_000  # limits a time to an hour; a longer time is probably given in the wrong unit


def _address(text: str) -> str:
    try:
        host, _ = split_address(text)
        ipaddress.ip_address(host)
    except (SettingsError, ValueError):
        raise ValueError('allowed: "IP:PORT", port 1 to 65535 (no names: nothing is looked up)') from None
    return text


Address = Annotated[str, AfterValidator(_address)]
Name = Annotated[str, Field(min_length=1, max_length=128)]
Milliseconds = Annotated[float, Field(ge=0, le=MAX_MS)]
PriorityWeight = Annotated[float, Field(ge=0, le=1e9)]
Fraction = Annotated[float, Field(ge=0, le=1)]
