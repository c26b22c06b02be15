"""Rate control: the rate R at which this replica forwards requests, and its division among the tenants.

Inputs, every half second: the attempts that ended in time and late, the requests that no upstream had
capacity for, and by how much the latency of responses exceeds the congestion threshold. R is lowered if that
excess (plus the share of unplaceable requests, unless replicas announce their work to one another) is above
`TOLERATED_EXCESS`, and raised if tenants find no token. Reason: an immediate rejection costs a client less
than a late answer.
"""

from __future__ import annotations

from collections.abc import Iterable

from lanelift.policy.token_bank import INITIAL_RATE_PER_S, TokenBank
from lanelift.policy.units import SECOND_NS

FEEDBACK_INTERVAL_NS = SECOND_NS // 2
MIN_OUTCOMES = 8  # R is adjusted after an interval only if there were at least this many outcomes
MAX_INTERVALS = 4  # R is adjusted after this many intervals, even with fewer outcomes
# Largest excess over the congestion threshold (share of the objective) that does not lower R.
TOLERATED_EXCESS = 0.2
QUICK_EXCESS = -0.1  # if the excess is below this, responses count as quick
GROWTH = 1.1  # least factor by which R is multiplied in an interval that raises R
# Requests per second that are added to R after its multiplication by the growth factor.
MIN_GROWTH_PER_S = 0.5
# The growth factor is GROWTH plus this multiple of the distance of the latency ratio below the congestion
# threshold.
GROWTH_PER_SLACK = 2.0
MIN_SHARE_OF_BEST = 0.2  # R is not cut below this share of the best goodput
BEST_DECAY = 0.98  # the best goodput keeps this share per interval, so that it decays within a minute
MAX_CUT = 0.3  # largest share by which R is cut in one interval
MIN_SHARE_OF_GOODPUT = 0.9  # R is not cut below this share of the interval's goodput
# Unless responses are quick, a cut of R starts from no more than the attempt rate multiplied by the headroom,
# plus the margin.
ATTEMPT_RATE_HEADROOM = 1.2
ATTEMPT_RATE_MARGIN_PER_S = 1
MIN_TENANT_RATE_PER_S = 0.05  # minimum rate of a token bank, even if its share of R is smaller
# Lower bound of the remaining weight, which rounding may reduce to 0 before the last division.
MIN_WEIGHTS_LEFT = 1e-9
DEMAND_SMOOTHING = 0.5  # weight of the latest interval in the smoothed demand of a tenant
OVER_SHARE_FACTOR = 1.1  # a tenant is over its share if its demand is above this multiple of the share


class RateController:
    """Adjusts R by the outcomes of attempts, and divides it among the token banks.

    Attributes:
        banks: The token banks that share R.
        total_weight: The sum of the weights of these banks.
        rate_per_s: R, in requests per second.
        interval_started_at_ns: When the current interval began.
        attempt_rate_per_s: The number of attempts per second that ended in the last interval.
        goodput_per_s: The number of attempts per second that ended in time in the last interval.
        on_time: Attempts of this interval that got a response in time, or an error response at any time.
        late_or_failed: Attempts of this interval that were late or failed.
        unplaceable: Requests of this interval that no upstream had capacity for in time.
        best_goodput_per_s: The best recent goodput, which decays slowly.
    """

    __slots__ = (
        "attempt_rate_per_s",
        "banks",
        "best_goodput_per_s",
        "goodput_per_s",
        "interval_started_at_ns",
        "late_or_failed",
        "on_time",
        "rate_per_s",
        "total_weight",
        "unplaceable",
    )

    def __init__(self, banks: Iterable[TokenBank], now: int) -> None:
        self.banks = list(banks)
        self.total_weight = sum(bank.weight for bank in self.banks)
        self.rate_per_s = INITIAL_RATE_PER_S
        self.interval_started_at_ns = now
        self.attempt_rate_per_s = 0.0
        self.goodput_per_s = INITIAL_RATE_PER_S
        self.on_time = 0
        self.unplaceable = 0
        self.late_or_failed = 0
        self.best_goodput_per_s = 1.0

    def add_bank(self, bank: TokenBank, now: int) -> None:
        """Add a bank that shares R.

        The bank keeps no more tokens than the capacity for its own part of R, as it has not accrued tokens at
        the whole rate.
        """
        self.banks.append(bank)
        self.total_weight += bank.weight
        bank.set_rate(
            max(MIN_TENANT_RATE_PER_S, self.rate_per_s * bank.weight / self.total_weight),
            now,
        )

    def set_banks(self, banks: Iterable[TokenBank], now: int) -> None:
        """Replace the banks that share R, and divide R by their current weights."""
        self.banks = list(banks)
        self.total_weight = sum(bank.weight for bank in self.banks)
        self._divide(now)

    def adjust(self, now: int, excess: float, count_unplaceable: bool = True) -> None:
        """Adjust R at the end of an interval; do nothing before that.

        Args:
            now: The time.
            excess: By how much the latency ratio of responses exceeds the congestion threshold.
            count_unplaceable: Whether unplaceable requests count as excess. They do not count if replicas
                announce their attempts to one another: such a request is then rejected because of work that
                is known to be queued, and R must not reject the next request because of the same work.
        """
        elapsed = now - self.interval_started_at_ns
        total = self.on_time + self.late_or_failed + self.unplaceable
        # A replica with little traffic waits for enough outcomes, but not indefinitely.
        if elapsed < FEEDBACK_INTERVAL_NS or (
            total < MIN_OUTCOMES and elapsed < MAX_INTERVALS * FEEDBACK_INTERVAL_NS
        ):
            return
        self.goodput_per_s = self.on_time * SECOND_NS / elapsed
        self.attempt_rate_per_s = (self.on_time + self.late_or_failed) * SECOND_NS / elapsed
        self.best_goodput_per_s = max(self.goodput_per_s, self.best_goodput_per_s * BEST_DECAY)
        quick = excess < QUICK_EXCESS
        # The excess is smoothed over recent responses: the few responses of one interval are not
        # representative.
        unplaceable_share = self.unplaceable / max(1, total) if count_unplaceable else 0.0
        excess += unplaceable_share - TOLERATED_EXCESS
        if excess > 0:
            self._lower(excess, quick)
        elif total and any(bank.was_exhausted and bank.may_borrow for bank in self.banks):
            self._raise(excess)
        for bank in self.banks:
            bank.demand_per_s += DEMAND_SMOOTHING * (bank.offered * SECOND_NS / elapsed - bank.demand_per_s)
            bank.offered, bank.was_exhausted = 0, False
        self._divide(now)
        self.interval_started_at_ns = now
        self.on_time = self.late_or_failed = self.unplaceable = 0

    def _lower(self, excess: float, quick: bool) -> None:
        """Cut R by the excess, at most by `MAX_CUT`.

        When upstreams are lost, R is far above the goodput, so the cut starts from the attempt rate. If
        responses are quick, it starts from R: the attempt rate is then low because few requests were
        admitted, as in a burst at startup.
        """
        top = (
            self.rate_per_s
            if quick
            else min(
                self.rate_per_s, ATTEMPT_RATE_HEADROOM * self.attempt_rate_per_s + ATTEMPT_RATE_MARGIN_PER_S
            )
        )
        cut = top * (1 - min(MAX_CUT, excess))
        self.rate_per_s = max(
            MIN_SHARE_OF_BEST * self.best_goodput_per_s, MIN_SHARE_OF_GOODPUT * self.goodput_per_s, cut
        )

    def _raise(self, excess: float) -> None:
        """Raise R, and raise it more the further the latency ratio is below the congestion threshold.

        After a cut, R itself limits the goodput.
        """
        growth = GROWTH + GROWTH_PER_SLACK * max(0.0, -excess - TOLERATED_EXCESS)
        self.rate_per_s = min(INITIAL_RATE_PER_S, self.rate_per_s * growth + MIN_GROWTH_PER_S)

    def _divide(self, now: int) -> None:
        """Give each bank its share of R by weight, and lend shares that tenants do not use to the others."""
        total_weight = self.total_weight
        lent, fair = self._water_fill(self.rate_per_s), self._water_fill(self.goodput_per_s)
        for i, bank in enumerate(self.banks):
            own_share = self.rate_per_s * bank.weight / total_weight
            borrowed = lent[i] if bank.may_borrow else 0.0
            bank.set_rate(max(MIN_TENANT_RATE_PER_S, own_share, borrowed), now)
            bank.over_share = bank.demand_per_s > OVER_SHARE_FACTOR * fair[i]

    def _water_fill(self, left: float) -> list[float]:
        """Return the share of each bank in a rate that is divided by weight.

        First, each share is limited to its bank's demand. Then the whole remainder is added to every share.
        """
        shares, weights = [0.0] * len(self.banks), sum(bank.weight for bank in self.banks)
        by_demand = sorted(
            enumerate(self.banks), key=lambda item: (item[1].demand_per_s / item[1].weight, item[0])
        )
        for i, bank in by_demand:
            shares[i] = min(bank.demand_per_s, left * bank.weight / weights)
            left, weights = max(0.0, left - shares[i]), max(MIN_WEIGHTS_LEFT, weights - bank.weight)
        return [share + left for share in shares]
