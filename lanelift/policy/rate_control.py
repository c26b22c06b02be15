"""The rate R of this replica: what it forwards each second, and its division among the tenants.

Inputs, each half second: attempts that ended in time and late, requests that no upstream had capacity for,
and by how much the latency of responses exceeds what counts as congested. R is lowered where that excess
(with the share of unplaceable requests, where work is not announced between replicas) is more than
`TOLERATED_EXCESS`, and goes up where tenants find no token. Reason: what is rejected at once costs a client
less than a late answer.
"""

from __future__ import annotations

from collections.abc import Iterable

from lanelift.policy.token_bank import INITIAL_RATE_PER_S, TokenBank
from lanelift.policy.units import SECOND_NS

FEEDBACK_INTERVAL_NS = SECOND_NS // 2
MIN_OUTCOMES = 8  # outcomes before a figure is believed
MAX_INTERVALS = 4  # intervals that R waits for so many
TOLERATED_EXCESS = 0.2  # share of the objective above the congestion threshold that lowers nothing
QUICK_EXCESS = -0.1  # excess below which what is forwarded is answered quickly
GROWTH = 1.1  # factor of R in one interval
MIN_GROWTH_PER_S = 0.5  # added to R in one interval besides
GROWTH_PER_SLACK = 2.0  # added to GROWTH for each share of their objective that responses leave
MIN_SHARE_OF_BEST = 0.2  # of the best goodput: R is not cut below
BEST_DECAY = 0.98  # of that goodput remembered after one interval: forgotten in a minute
MAX_CUT = 0.3  # of R in one interval
MIN_SHARE_OF_GOODPUT = 0.9  # of the goodput of this interval: R is not cut below
ATTEMPT_RATE_HEADROOM = 1.2  # a cut starts from this multiple of the attempt rate, if R is above it
ATTEMPT_RATE_MARGIN_PER_S = 1  # and this much more
MIN_TENANT_RATE_PER_S = 0.05  # of a token bank, however little of R is its share
MIN_WEIGHTS_LEFT = 1e-9  # guards the last division by what is left of the weights, which rounds to 0
DEMAND_SMOOTHING = 0.5  # weight of the latest interval
OVER_SHARE_FACTOR = 1.1  # a tenant is over its share when it wants so much more


class RateController:
    """Learns R from how attempts end, and divides it among the token banks.

    Attributes:
        banks: Those that share R.
        total_weight: The sum of their weights.
        rate_per_s: R, in requests a second.
        interval_started_at_ns: When the interval that is being counted began.
        attempt_rate_per_s: Attempts that ended, a second, in the last interval.
        goodput_per_s: Those of them that were in time.
        on_time: Attempts of this interval that were answered in time, or with an error.
        late_or_failed: Attempts of this interval that were not.
        unplaceable: Requests of this interval that no upstream had capacity for in time.
        best_goodput_per_s: The goodput of good times, slowly forgotten.
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
        """Let one more bank share R, with the capacity of its own part: it did not save up all of R."""
        self.banks.append(bank)
        self.total_weight += bank.weight
        bank.set_rate(
            max(MIN_TENANT_RATE_PER_S, self.rate_per_s * bank.weight / self.total_weight),
            now,
        )

    def set_banks(self, banks: Iterable[TokenBank], now: int) -> None:
        """Let just these share R from now on, by the weights that they have now."""
        self.banks = list(banks)
        self.total_weight = sum(bank.weight for bank in self.banks)
        self._divide(now)

    def adjust(self, now: int, excess: float, count_unplaceable: bool = True) -> None:
        """Set R at the end of an interval; before that, do nothing.

        Args:
            now: The time.
            excess: The share of their objective that responses take beyond the congestion threshold.
            count_unplaceable: Unplaced requests count as excess. Not where replicas announce their attempts
                to one another: who finds no capacity there is rejected for work that is known to be queued,
                and R must not reject the next one for it as well.
        """
        elapsed = now - self.interval_started_at_ns
        total = self.on_time + self.late_or_failed + self.unplaceable
        # A replica with little traffic waits for enough outcomes, but not for ever.
        if elapsed < FEEDBACK_INTERVAL_NS or (
            total < MIN_OUTCOMES and elapsed < MAX_INTERVALS * FEEDBACK_INTERVAL_NS
        ):
            return
        self.goodput_per_s = self.on_time * SECOND_NS / elapsed
        self.attempt_rate_per_s = (self.on_time + self.late_or_failed) * SECOND_NS / elapsed
        self.best_goodput_per_s = max(self.goodput_per_s, self.best_goodput_per_s * BEST_DECAY)
        quick = excess < QUICK_EXCESS
        # Judged by what ended lately, not by this interval alone: few outcomes say little.
        unplaceable_share = self.unplaceable / max(1, total) if count_unplaceable else 0.0
        excess += unplaceable_share - TOLERATED_EXCESS
        if excess > 0:
            self._lower(excess, quick)
        elif total and any(bank.ran_dry and bank.may_borrow for bank in self.banks):
            self._raise(excess)
        for bank in self.banks:
            bank.demand_per_s += DEMAND_SMOOTHING * (bank.offered * SECOND_NS / elapsed - bank.demand_per_s)
            bank.offered, bank.ran_dry = 0, False
        self._divide(now)
        self.interval_started_at_ns = now
        self.on_time = self.late_or_failed = self.unplaceable = 0

    def _lower(self, excess: float, quick: bool) -> None:
        """Cut R by the excess, at most by `MAX_CUT`.

        When upstreams are lost, R is far above the goodput: the cut starts from the attempt rate. But where
        responses are quick, few attempts were made because little was admitted, as in the rush of a start.
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
        """Grow R, the faster the further from congestion: after a cut, R itself is the bottleneck."""
        growth = GROWTH + GROWTH_PER_SLACK * max(0.0, -excess - TOLERATED_EXCESS)
        self.rate_per_s = min(INITIAL_RATE_PER_S, self.rate_per_s * growth + MIN_GROWTH_PER_S)

    def _divide(self, now: int) -> None:
        """Give each bank its fair share of R by weight; what quiet tenants leave is lent to the others."""
        total_weight = self.total_weight
        lent, fair = self._water_fill(self.rate_per_s), self._water_fill(self.goodput_per_s)
        for i, bank in enumerate(self.banks):
            own_share = self.rate_per_s * bank.weight / total_weight
            borrowed = lent[i] if bank.may_borrow else 0.0
            bank.set_rate(max(MIN_TENANT_RATE_PER_S, own_share, borrowed), now)
            bank.over_share = bank.demand_per_s > OVER_SHARE_FACTOR * fair[i]

    def _water_fill(self, left: float) -> list[float]:
        """Divide a rate by weight, none above its demand; what is left over is added to each."""
        shares, weights = [0.0] * len(self.banks), sum(bank.weight for bank in self.banks)
        by_demand = sorted(
            enumerate(self.banks), key=lambda item: (item[1].demand_per_s / item[1].weight, item[0])
        )
        for i, bank in by_demand:
            shares[i] = min(bank.demand_per_s, left * bank.weight / weights)
            left, weights = max(0.0, left - shares[i]), max(MIN_WEIGHTS_LEFT, weights - bank.weight)
        return [share + left for share in shares]
