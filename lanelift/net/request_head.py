"""Reads the head of a client's request. The functions raise MessageError for an invalid value."""

from __future__ import annotations

from collections.abc import Container, Mapping
from urllib.parse import parse_qs, unquote

from lanelift.net.http_messages import MessageError, Request, decode_text
from lanelift.net.message_parser import MAX_NUMBER_DIGITS
from lanelift.policy.settings import Idempotency, RequestClass

NS_PER_MS, NS_PER_US = 1_000_000, 1_000
MAX_REQUEST_ID_BYTES = 128  # longest request identifier; the limit bounds table keys and log lines
# Headers that this balancer sets itself on forwarded requests.
REPLACED_HEADERS = frozenset({b"x-deadline-ms"})


def read_class_name(
    request: Request,
    headers: Mapping[bytes, bytes],
    path: str,
    body_pending: bool,
    classes: Mapping[str, RequestClass],
) -> str:
    """Returns the request's class, given by `X-Class` or the path's first segment.

    Raises:
        MessageError: The class is unknown, Host is missing, or the class does not allow the method or a body.
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
    """Returns the request's identifier, which must differ from that of each open request."""
    request_id = headers.get(b"x-request-id", b"").decode("latin-1")
    if not request_id:
        raise MessageError(400, "no X-Request-Id")
    if len(request_id) > MAX_REQUEST_ID_BYTES:
        raise MessageError(400, "X-Request-Id is too long")
    if request_id in open_requests:
        raise MessageError(409, "a request with this X-Request-Id is open")
    return request_id


def read_wait_ns(headers: Mapping[bytes, bytes], request_class: RequestClass) -> int:
    """Returns how long the client waits, in ns: `X-Deadline-Ms`, limited to the deadline of the class.

    The shutdown relies on this limit when it sets the end of the process.
    """
    longest_ns = request_class.deadline_ns
    default_ms = longest_ns // NS_PER_MS
    return min(longest_ns, read_integer(headers, b"x-deadline-ms", default_ms) * NS_PER_MS)


def read_cost_hint_ns(headers: Mapping[bytes, bytes]) -> int:
    """Returns the processing time that the client expects, in ns (`X-Cost-Hint`, in microseconds), or 0."""
    return read_integer(headers, b"x-cost-hint", 0) * NS_PER_US


def read_ordering_key(query: str) -> str:
    """Returns the request's ordering key, the query's first `obj`, or an empty string."""
    return parse_qs(query).get("obj", [""])[0] if "obj=" in query else ""


def read_integer(headers: Mapping[bytes, bytes], name: bytes, default: int) -> int:
    """Returns a header's value as a number, or the default if the header is absent."""
    value = headers.get(name)
    if value is None:
        return default
    if not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
        raise MessageError(400, f"{name.decode()} is not a whole number")
    return int(value)
