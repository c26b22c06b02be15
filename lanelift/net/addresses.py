"""Network addresses as they are written in configuration files and endpoint lists."""

from __future__ import annotations

from lanelift.settings import SettingsError

Address = tuple[str, int]  # IP address and port
MAX_PORT = 65535


def split_address(text: str) -> Address:
    """Splits `HOST:PORT` into host and port; an IPv6 host is written in brackets.

    Raises:
        SettingsError: The text has another form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)
