"""Restrictions, rule 6 of the protocol: a request class may be limited to zones and kinds of machines.

Inputs: the endpoint's zone and kind, and the class. No attempt goes to any other upstream, even if only that
upstream has free capacity.
"""

from __future__ import annotations

from lanelift.policy.events import Endpoint
from lanelift.policy.settings import RequestClass


def class_may_use(endpoint: Endpoint, request_class: RequestClass) -> bool:
    """Return whether an upstream is in a zone and of a machine kind that the class may use."""
    return (not request_class.zones or endpoint.zone in request_class.zones) and (
        not request_class.machine_kinds or endpoint.kind in request_class.machine_kinds
    )
