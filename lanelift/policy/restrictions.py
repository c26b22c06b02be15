"""Rule 6 of the protocol: a class of requests may be restricted to zones and kinds of machines.

Inputs: the endpoint's zone and kind, the class. No attempt goes elsewhere, whatever is free there.
"""

from __future__ import annotations

from lanelift.policy.events import Endpoint
from lanelift.policy.settings import RequestClass


def class_may_use(endpoint: Endpoint, request_class: RequestClass) -> bool:
    """Return whether an upstream is in a zone and of a kind that the class may go to."""
    return (not request_class.zones or endpoint.zone in request_class.zones) and (
        not request_class.machine_kinds or endpoint.kind in request_class.machine_kinds
    )
