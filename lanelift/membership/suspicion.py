"""How long a suspicion lasts before its member counts as unreachable.

The timeout shrinks as independent members confirm the suspicion (Lifeguard: Dadgar, Phillips, Currey, 2017):
a single accuser may itself be slow or cut off.
"""

from __future__ import annotations

import math

# The shortest suspicion, in probe periods for each factor of ten in members: a suspicion has to reach its
# member, and the refutation the others, while updates spread in a time that grows with the logarithm.
SHORTEST_PERIODS = 5.0
LONGEST_FACTOR = 3.0  # an unconfirmed suspicion lasts this many times the shortest one
CONFIRMATIONS_NEEDED = 3  # further accusers that bring a suspicion down to its shortest
# A zone's members that are suspected or unreachable, as a share, from which on the zone counts as partitioned
# and its members are given PARTITION_FACTOR times as long: they live, and a partition ends for all at once.
PARTITION_SHARE = 0.6
PARTITION_MIN_MEMBERS = 3  # a zone of fewer says nothing about a partition
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
    """Returns whether so many absent members (suspected, unreachable) of a zone mean a network partition."""
    return size >= PARTITION_MIN_MEMBERS and absent >= PARTITION_SHARE * size
