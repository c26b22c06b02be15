"""Network addresses as configuration and endpoint lists state them."""

from __future__ import annotations

from lanelift.settings import SettingsError

Address = tuple[str, int]  # IP address and port
MAX_PORT = 65535


def split_address(text: str) -> Address:
    """`HOST:PORT` as host and port; an IPv6 host stands in brackets.

    Raises:
        SettingsError: It is none.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)
