"""Sends attempts and load probes to upstreams, and classifies the responses.

The balancer's bookkeeping of upstreams is in `lanelift.policy.upstreams`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from lanelift.net.connection_pool import ConnectionPool
from lanelift.net.event_log import EventLog
from lanelift.net.exchange import Exchange, ResponseSink
from lanelift.net.http_messages import Headers, Response, encode_message
from lanelift.net.load_reports import LoadReport, read_load_report
from lanelift.net.memory import DEFAULT_MEMORY_BYTES, MemoryGuard
from lanelift.net.upload import Upload
from lanelift.policy.events import AttemptResult
from lanelift.policy.settings import Limits

# a response with one of these status codes and `X-Not-Run: 1` states that the request never ran
NOT_RUN_STATUSES = (503, 504)
AttemptCallback = Callable[[AttemptResult, Response | None, LoadReport], None]


class Upstreams:
    """Starts attempts and load probes at the listed upstreams.

    Attributes:
        pool: The connections to the upstreams.
        events: Counts why attempts and requests were ended early.
        memory: Limits what connections to upstreams and clients buffer.
        report_fields: The names of the values in a load report.
        probe_path: The path of load probes.
    """

    def __init__(
        self,
        limits: Limits,
        max_connections: int,
        report_fields: Collection[str],
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        sockets: int = 0,
    ) -> None:
        self.events = EventLog()
        self.memory = MemoryGuard(memory_bytes, sockets, self.events)
        self.pool = ConnectionPool(limits, max_connections, self.memory, self.events)
        self.report_fields = frozenset(report_fields)
        self.probe_path = b"/status/load" if report_fields else b"/health"

    def start_attempt(
        self,
        number: int,
        request: bytes | Callable[[bool], bytes | None],
        timeout_s: float | None,
        on_finished: AttemptCallback,
        on_written: Callable[[], None] | None = None,
        sink: ResponseSink | None = None,
        upload: Upload | None = None,
        is_get: bool = False,
    ) -> Exchange | None:
        """Starts an attempt. Its outcome is never reported within this call.

        Args:
            number: The upstream's number.
            request: The bytes to write, or what makes them at the write (`Exchange.prepare_request`).
            timeout_s: How long the attempt may take, in seconds; None if its time-out is set later.
            on_finished: Called once with the outcome.
            on_written: Called when the last byte was written.
            sink: The receiver of a response that is too long to be buffered.
            upload: The request's streamed body.
            is_get: Whether the method is GET.

        Returns:
            The exchange, or None if the upstream is not listed.
        """
        pool = self.pool
        target = pool.targets.get(number)
        if target is None:
            return None

        def finished(result: AttemptResult, response: Response | None) -> None:
            report = None
            if response is not None:
                report = read_load_report(response.header(b"x-load"), self.report_fields)
            on_finished(classify_response(result, response), response, report)

        exchange = Exchange(
            request if isinstance(request, bytes) else b"",
            finished,
            on_written=on_written,
            sink=sink,
            upload=upload,
            prepare_request=None if isinstance(request, bytes) else request,
            is_get=is_get,
        )
        pool.start(target, exchange)
        if timeout_s is not None:
            # the time-out is set last, so that an exchange that failed to start has none
            exchange.expire_in(timeout_s)
        return exchange

    def probe_load(self, number: int, on_finished: Callable[[AttemptResult, LoadReport], None]) -> bool:
        """Probes an upstream's load; returns False, without a result, if the upstream is not listed."""
        target = self.pool.targets.get(number)
        if target is None:
            return False
        host = f"{target.endpoint.host}:{target.endpoint.port}".encode()

        def finished(result: AttemptResult, response: Response | None) -> None:
            report = None
            if response is not None:
                if result is AttemptResult.OK and response.status == 503:
                    result = AttemptResult.REJECTED
                else:
                    result = classify_response(result, response)
                report = read_load_report(response.header(b"x-load") or response.body, self.report_fields)
            on_finished(result, report)

        request = encode_message(b"GET %b HTTP/1.1" % self.probe_path, [(b"Host", host)])
        exchange = Exchange(request, finished, is_get=True)
        self.pool.start(target, exchange, is_probe=True)
        exchange.expire_in(self.pool.connect_timeout_s)
        return True

    def close(self) -> None:
        """Closes connections that are idle or being established."""
        self.pool.close()


def classify_response(result: AttemptResult, response: Response | None) -> AttemptResult:
    """Returns an attempt's result for a response. Responses other than 200 are errors, and not forwarded."""
    if result is not AttemptResult.OK or response is None:
        return result
    if response.status == 200:
        return AttemptResult.OK
    if response.status in NOT_RUN_STATUSES and response.header(b"x-not-run") == b"1":
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


def encode_attempt(
    method: bytes, target: bytes, headers: Headers, body: bytes, wait_ms: int, upload: Upload | None = None
) -> bytes:
    """Encodes a client's request for an upstream, with the body's length and the deadline `wait_ms`."""
    rows = [*headers, (b"X-Deadline-Ms", b"%d" % wait_ms)]
    if upload is not None:
        rows.append(
            (b"Transfer-Encoding", b"chunked")
            if upload.length_bytes is None
            else (b"Content-Length", b"%d" % upload.length_bytes)
        )
    elif body or method not in (b"GET", b"HEAD"):
        rows.append((b"Content-Length", b"%d" % len(body)))
    return encode_message(b"%b %b HTTP/1.1" % (method, target), rows, body)
