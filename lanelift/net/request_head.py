"""What is read from the head of a client's request; MessageError is raised for what is not allowed."""

from __future__ import annotations

from collections.abc import Container, Mapping
from urllib.parse import parse_qs, unquote

from lanelift.net.http_messages import MessageError, Request, decode_text
from lanelift.net.message_parser import MAX_NUMBER_DIGITS
from lanelift.policy.settings import Idempotency, RequestClass

NS_PER_MS, NS_PER_US = 1_000_000, 1_000
MAX_REQUEST_ID_BYTES = 128  # it is a key of tables and stands in the log
# This balancer sets these itself on what it forwards.
REPLACED_HEADERS = frozenset({b"x-deadline-ms"})


def read_class_name(
    request: Request,
    headers: Mapping[bytes, bytes],
    path: str,
    body_pending: bool,
    classes: Mapping[str, RequestClass],
) -> str:
    """The request's class, by `X-Class` or the path's first part.

    Raises:
        MessageError: No such class, no Host, or a method or body that its class does not have.
    """
    first = unquote(path.strip("/").partition("/")[0])
    name = decode_text(headers[b"x-class"]) if b"x-class" in headers else first
    if first not in classes or name not in classes:
        raise MessageError(404, "no such class")
    if b"host" not in headers:
        raise MessageError(400, "no Host")
    idempotent = classes[name].idempotency is Idempotency.IDEMPOTENT
    if request.method != (b"GET" if idempotent else b"POST"):
        raise MessageError(405, f"{'GET' if idempotent else 'POST'} is the method of this class")
    if idempotent and (request.body or body_pending):
        raise MessageError(400, "a GET has no body")
    return name


def read_request_id(headers: Mapping[bytes, bytes], open_requests: Container[str]) -> str:
    """The request's identifier, which must differ from that of each open request."""
    request_id = headers.get(b"x-request-id", b"").decode("latin-1")
    if not request_id:
        raise MessageError(400, "no X-Request-Id")
    if len(request_id) > MAX_REQUEST_ID_BYTES:
        raise MessageError(400, "X-Request-Id is too long")
    if request_id in open_requests:
        raise MessageError(409, "a request with this X-Request-Id is open")
    return request_id


def read_wait_ns(headers: Mapping[bytes, bytes], request_class: RequestClass) -> int:
    """How long the client waits, in ns: by `X-Deadline-Ms`, and never longer than its class allows.

    The process counts on that bound when it shuts down.
    """
    longest_ns = request_class.deadline_ns
    default_ms = longest_ns // NS_PER_MS
    return min(longest_ns, read_integer(headers, b"x-deadline-ms", default_ms) * NS_PER_MS)


def read_cost_hint_ns(headers: Mapping[bytes, bytes]) -> int:
    """How long the client expects it to take, in ns: by `X-Cost-Hint` (microseconds); 0: not stated."""
    return read_integer(headers, b"x-cost-hint", 0) * NS_PER_US


def read_ordering_key(query: str) -> str:
    """The request's ordering key: the query's first `obj`; empty: it has none."""
    return parse_qs(query).get("obj", [""])[0] if "obj=" in query else ""


def read_integer(headers: Mapping[bytes, bytes], name: bytes, default: int) -> int:
    """A header's value as a number; the default where the header is absent."""
    value = headers.get(name)
    if value is None:
        return default
    if not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
        raise MessageError(400, f"{name.decode()} is not a whole number")
    return int(value)
