"""Computes how long a suspicion lasts before the suspected member counts as unreachable.

The timeout shrinks as independent members confirm the suspicion, since a single accuser may itself be slow or
cut off (Lifeguard: Dadgar, Phillips, Currey, 2017).
"""

from __future__ import annotations

import math

# The shortest suspicion, in probe periods for each factor of ten in the number of members. In that
# time the suspicion has to reach the suspect, and the refutation the other members; the time that an update
# takes to spread is logarithmic in the number of members.
SHORTEST_PERIODS = 5.0
LONGEST_FACTOR = 3.0  # an unconfirmed suspicion lasts this many times as long as the shortest one
CONFIRMATIONS_NEEDED = 3  # number of further accusers that reduces a suspicion to its shortest duration
# If at least this share of a zone's members is suspected or unreachable, the zone counts as partitioned, and
# suspicions of its members last PARTITION_FACTOR times as long: members behind a partition are alive, and can
# all be reached again when the partition ends.
PARTITION_SHARE = 0.6
# Minimum size of a zone that can count as partitioned: in a smaller zone, absent members do not indicate a
# partition.
PARTITION_MIN_MEMBERS = 3
PARTITION_FACTOR = 3.0


def suspicion_timeout_ns(period_ns: int, member_count: int, accusers: int, partitioned: bool) -> int:
    """Returns how long a suspicion lasts.

    Args:
        period_ns: The probe period, in nanoseconds.
        member_count: How many other members there are.
        accusers: How many members report the suspicion from a probe of their own.
        partitioned: Whether the suspect's zone seems to be cut off as a whole.

    Returns:
        Nanoseconds from the beginning of the suspicion.
    """
    periods = SHORTEST_PERIODS * max(1.0, math.log10(member_count + 1))
    shortest = periods * period_ns
    longest = LONGEST_FACTOR * shortest
    confirmations = min(CONFIRMATIONS_NEEDED, max(0, accusers - 1))
    confirmed = (longest - shortest) * math.log(confirmations + 1) / math.log(CONFIRMATIONS_NEEDED + 1)
    timeout = max(shortest, longest - confirmed)
    if partitioned:
        timeout *= PARTITION_FACTOR
    return int(timeout)


def zone_is_partitioned(size: int, absent: int) -> bool:
    """Returns whether a zone with this many absent members (suspected, unreachable) counts as partitioned."""
    return size >= PARTITION_MIN_MEMBERS and absent >= PARTITION_SHARE * size
