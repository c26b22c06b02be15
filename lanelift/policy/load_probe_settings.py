"""Whether load probes are sent before attempts.

Inputs: the limits, the fields of a load report, and the price of a probe. Load probes are sent if they are
allowed, a load report contains the number of requests in flight, and the probes of one request cost at most
`MAX_PROBES_PRICE` of its value. `probing.py` sends the probes and uses the reports.
"""

from __future__ import annotations

from lanelift.policy.settings import Settings

# Upstreams that are drawn at random and probed before an attempt, in addition to the previous choice.
PROBES_PER_REQUEST = 3
MAX_PROBES_PRICE = 0.01  # largest share of a request's value that its probes may cost
IN_FLIGHT_FIELD = "inflight"  # the platform's name of the load report field for requests in flight


def load_probing_enabled(settings: Settings) -> bool:
    """Return whether this balancer sends load probes before attempts."""
    return (
        settings.limits.load_probes
        and IN_FLIGHT_FIELD in settings.load_report_fields
        and settings.prices.probe * (PROBES_PER_REQUEST + 1) <= MAX_PROBES_PRICE
    )
