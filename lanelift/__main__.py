"""The daemon: `python -m lanelift`, configured by the file that BALANCER_CONFIG names."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable
from functools import partial

from lanelift.daemon import serve
from lanelift.daemon_config import Config, read_config
from lanelift.net.addresses import Address
from lanelift.settings import SettingsError

BAD_CONFIGURATION = 2  # exit code


def inherited_socket(descriptor: int) -> socket.socket:
    """Returns the clients' socket, which was bound before this process started and outlives the process.

    Raises:
        SettingsError: The descriptor is not a TCP socket.
    """
    try:
        sock = socket.socket(fileno=descriptor)
        if sock.type != socket.SOCK_STREAM or sock.family not in (socket.AF_INET, socket.AF_INET6):
            raise OSError("not a TCP socket")
    except OSError as error:
        raise SettingsError(f"BALANCER_FD {descriptor}: {error}") from None
    return sock


def listening_socket(address: Address) -> socket.socket:
    """Returns a socket that is bound to an address and not listening yet. Raises OSError."""
    listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    return listener


def run(read: Callable[[], Config]) -> int:
    """Runs the daemon with the configuration that `read` returns, and returns the exit code."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(message)s")
    # SIGHUP stays blocked, and so pending, until the loop has a handler: its default action ends the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = read()
        listener = (
            listening_socket(config.listen)
            if config.inherited is None
            else inherited_socket(config.inherited)
        )
        admin_socket = listening_socket(config.operator) if config.operator is not None else None
    except (SettingsError, OSError) as error:
        print(f"lanelift: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    try:
        asyncio.run(serve(config, listener, read, admin_socket))
    except SettingsError as error:  # some errors show only when the parts are constructed
        print(f"lanelift: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    return 0


def main() -> int:
    """Runs the daemon and returns the exit code."""
    return run(partial(read_config, os.environ))


if __name__ == "__main__":
    sys.exit(main())
