"""One connection to an LDAP directory, by `ldap3`.

The calls of this module block, so threads of the sync process make them. A referral to another server is an
error and is never followed. Nothing is retried here.
"""

from __future__ import annotations

import contextlib
import re
import socket
import ssl
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import ldap3
from ldap3.core.exceptions import LDAPException

from lanelift.errors import LaneliftError
from lanelift.tenants.sync_config import Directory, Search

# Result codes (RFC 4511, appendix A).
SUCCESS, TIME_LIMIT, SIZE_LIMIT, REFERRAL, ADMIN_LIMIT = 0, 3, 4, 10, 11
INCOMPLETE = {
    TIME_LIMIT: "its time limit",
    SIZE_LIMIT: "its size limit",
    ADMIN_LIMIT: "an administrative limit",
}
PAGED_RESULTS = "1.2.840.113556.1.4.319"  # OID of the paging control (RFC 2696)
MAX_PASSWORD_BYTES = 4096  # limits a password file; a longer file is refused, as it can't be a password file
MAX_MESSAGE_CHARACTERS = 200  # limits the part of the server's diagnostic message that an error quotes

Row = tuple[str, dict[str, list[bytes]]]  # a distinguished name, and the values by lower-case attribute name


class DirectoryError(LaneliftError):
    """A directory could not be read completely.

    Attributes:
        server: The directory's address, as a URL; empty for a password file that belongs to no directory.
    """

    def __init__(self, message: str, server: str) -> None:
        """Store the reason, which must not contain the password, and the server that failed."""
        super().__init__(message)
        self.server = server


def read_password(path: str, server: str = "") -> str:
    """Return the content of a password file, without the line end.

    Args:
        path: The file.
        server: The directory that the password is for, as a URL.

    Raises:
        DirectoryError: The file can't be read, exceeds `MAX_PASSWORD_BYTES`, or is not one line of UTF-8.
    """
    try:
        with Path(path).open("rb") as file:
            content = file.read(MAX_PASSWORD_BYTES + 1)
    except OSError as error:
        raise DirectoryError(f"password file {path}: {error.strerror}", server) from error
    text = content.decode("utf-8", "replace").removesuffix("\n").removesuffix("\r")
    if not text or len(content) > MAX_PASSWORD_BYTES or "\ufffd" in text or "\n" in text:
        allowed = f"it must hold one line of UTF-8, 1 to {MAX_PASSWORD_BYTES} bytes"
        raise DirectoryError(f"password file {path}: {allowed}", server)
    return text


class Session:
    """A connection to one directory, from its opening until it fails or is closed."""

    def __init__(self, directory: Directory) -> None:
        """Prepare a connection; nothing is sent before `open`."""
        self.directory = directory
        self.connection: ldap3.Connection | None = None
        self.closed = False

    def open(self) -> None:
        """Connect, secure the connection and bind.

        Raises:
            DirectoryError: One of these steps failed, or another thread closed the session meanwhile.
        """
        self.connection = connection = self._new_connection()
        with self._converted_errors("connect"):
            connection.open(read_server_info=False)
            if self.closed:
                raise self._error("the session was closed")
            if self.directory.tls == "starttls" and not connection.start_tls(read_server_info=False):
                raise self._error(f"StartTLS: {_description(connection.result)}")
            if not connection.bind(read_server_info=False):
                raise self._error(f"bind: {_description(connection.result)}")

    def _new_connection(self) -> ldap3.Connection:
        directory = self.directory
        tls = ldap3.Tls(
            validate=ssl.CERT_REQUIRED if directory.verify else ssl.CERT_NONE,
            ca_certs_file=directory.ca_file or None,
            version=ssl.PROTOCOL_TLS_CLIENT,
        )
        server = ldap3.Server(
            directory.host,
            directory.port,
            use_ssl=directory.tls == "ldaps",
            tls=tls,
            get_info=ldap3.NONE,
            # ldap3 leaves this timeout on the socket, so the timeout limits each receive, too.
            connect_timeout=directory.timeout_s,
        )
        password = None
        if directory.password_file:
            password = read_password(directory.password_file, str(directory))
        return ldap3.Connection(
            server,
            user=directory.user or None,
            password=password,
            client_strategy=ldap3.SYNC,
            auto_referrals=False,
            check_names=False,
            return_empty_attributes=False,
        )

    def pages(self, search: Search) -> Iterator[list[Row]]:
        """Yield the entries found, page by page.

        Raises:
            DirectoryError: A page can't be read completely; the entries yielded before remain valid.
        """
        connection, cookie = self.connection, None
        assert connection is not None
        while True:
            with self._converted_errors("search"):
                connection.search(
                    search.base,
                    search.filter,
                    ldap3.SUBTREE,
                    attributes=list(search.attributes),
                    paged_size=search.page,
                    paged_cookie=cookie,
                )
            result, response = connection.result, connection.response or []
            rows = _rows(response)
            if rows:
                yield rows
            self._require_complete(result, response)
            control = (result.get("controls") or {}).get(PAGED_RESULTS)
            cookie = control["value"]["cookie"] if control else None
            if not cookie:
                return

    def _require_complete(self, result: dict[str, Any], response: Sequence[dict[str, Any]]) -> None:
        """Raise DirectoryError if the page is incomplete, or if the server refers to other servers."""
        if any(row["type"] == "searchResRef" for row in response):
            raise self._error("a referral to other directories for a part, which is not followed")
        code = result["result"]
        if code == REFERRAL:
            servers = ", ".join(result["referrals"] or ["?"])
            raise self._error(f"a referral to {servers}, which is not followed")
        if code in INCOMPLETE:
            raise self._error(f"search: {INCOMPLETE[code]} was reached")
        if code != SUCCESS:
            raise self._error(f"search: {_description(result)}")

    def close(self) -> None:
        """Close the connection. Any thread may call this; a thread that waits for data fails immediately."""
        self.closed = True
        sock: socket.socket | None = getattr(self.connection, "socket", None)
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(OSError):
                sock.close()

    def _error(self, message: str) -> DirectoryError:
        return DirectoryError(message, str(self.directory))

    @contextlib.contextmanager
    def _converted_errors(self, action: str) -> Iterator[None]:
        """Convert every exception that ldap3 raises to a DirectoryError.

        If the received bytes are not LDAP, ldap3 raises exceptions of many types (IndexError, struct.error,
        ...). An exception that was not converted would end the reading thread, and the directory would not
        be read any more.
        """
        try:
            yield
        except DirectoryError:
            raise
        except LDAPException as error:
            raise self._error(f"{action}: {_shortened(str(error)) or type(error).__name__}") from error
        except Exception as error:
            raise self._error(f"{action}: {type(error).__name__}: {_shortened(str(error))}") from error


def _rows(response: Sequence[dict[str, Any]]) -> list[Row]:
    return [
        (row["dn"], {name.lower(): list(values) for name, values in row["raw_attributes"].items()})
        for row in response
        if row["type"] == "searchResEntry"
    ]


def _description(result: dict[str, Any]) -> str:
    """Return the name of the result code, and the server's diagnostic message if there is one."""
    message = _shortened(str(result.get("message") or ""))
    return f"{result['description']}" + (f" ({message})" if message else "")


def _shortened(text: str) -> str:
    return re.sub(r"\s+", " ", text)[:MAX_MESSAGE_CHARACTERS]
