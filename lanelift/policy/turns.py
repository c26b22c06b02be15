"""Processing time of this process: which clients' input is handled at once, and which waits for a turn.

Inputs: the processing time that each client's input has taken, how much input waits, and the time. Input is
handled at once while its client has used less than its own share and the loop's iteration is not long yet.
Otherwise it waits in a queue, which all such clients share in turn and which has a share of its own; clients
that have used little come first, and do not count against that share. Reason: parsing and answering invalid
requests costs time that no other limit covers, and other clients wait meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass

# shares of the process's cores
CLIENT_SHARE = 0.02
QUEUE_SHARE = 0.15
# A client may use this much at once, in seconds, before its share counts.
CLIENT_BURST_S = 0.005
# A client that has used less than this comes first: clients with much input have used it up after a turn.
FRESH_DEBT_S = 0.001
MAX_DEBT_S = 2 * CLIENT_BURST_S
# Input is handled at once for this long in an iteration of the loop; after that only small input is.
ITERATION_S = 0.004
SMALL_INPUT_BYTES = 1024
# Processing time that is not charged: a long body takes less, and its upstream limits how fast it comes.
FREE_S_PER_BYTE = 10e-9
# The same for a request that is forwarded: the policy and its upstream limit how many there are.
FREE_S_PER_REQUEST = 200e-6
TURN_S = 0.001  # how long one turn may last
SERVING_S = 0.002  # how long turns are served in a row
# Most that a turn, or a row of turns, counts. A longer one means that this process got no processor time.
MAX_COUNTED_S = 0.004


@dataclass(slots=True)
class ProcessingAccount:
    """The processing time that one client has used beyond its share.

    Attributes:
        debt_s: The time in seconds, as of `updated_s`.
        updated_s: When the account was updated.
    """

    debt_s: float = 0.0
    updated_s: float = 0.0


class TurnPolicy:
    """Decides which clients' input is handled at once.

    Attributes:
        client_share: The share of one core that a client's input may take at once.
        queue_share: The share of one core that all clients in the queue have together.
    """

    def __init__(self, cores: float) -> None:
        self.client_share = CLIENT_SHARE * min(1.0, cores)
        self.queue_share = QUEUE_SHARE * min(1.0, cores)

    def may_handle_at_once(
        self, account: ProcessingAccount, input_bytes: int, iteration_used_s: float, now_s: float
    ) -> bool:
        """Return whether a client's input is handled at once.

        Args:
            account: The client's account.
            input_bytes: How much input waits.
            iteration_used_s: The time that other input has taken in this iteration of the loop.
            now_s: The time in seconds.
        """
        self._settle(account, now_s)
        has_time = iteration_used_s < ITERATION_S or input_bytes <= SMALL_INPUT_BYTES
        return has_time and account.debt_s < CLIENT_BURST_S

    def is_fresh(self, account: ProcessingAccount) -> bool:
        """Return whether a client that waits comes before those that have used much processing time."""
        return account.debt_s < FRESH_DEBT_S

    def charge(
        self, account: ProcessingAccount, used_s: float, handled_bytes: int, requests: int, now_s: float
    ) -> None:
        """Add the processing time that input has taken to a client's account.

        Args:
            account: The account.
            used_s: The time in seconds.
            handled_bytes: How much input was handled.
            requests: How many requests were begun; requests that are answered here do not count.
            now_s: The time in seconds.
        """
        self._settle(account, now_s)
        free_s = handled_bytes * FREE_S_PER_BYTE + requests * FREE_S_PER_REQUEST
        charged_s = max(0.0, min(used_s, MAX_COUNTED_S) - free_s)
        account.debt_s = min(MAX_DEBT_S, account.debt_s + charged_s)

    def pause_s(self, used_s: float) -> float:
        """Return how long the queue pauses after it was served for `used_s` seconds."""
        return min(used_s, MAX_COUNTED_S) * (1 / self.queue_share - 1)

    def _settle(self, account: ProcessingAccount, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - account.updated_s)
        account.debt_s = max(0.0, account.debt_s - elapsed_s * self.client_share)
        account.updated_s = now_s
