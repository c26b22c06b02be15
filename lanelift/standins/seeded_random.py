"""Random values that depend only on a seed and a name.

The work of a request, or the time at which a client gives up, must not change because another value was drawn
before it. Each value therefore has its own name, and the same seed and name give the same value in every
process.
"""

from __future__ import annotations

import hashlib
import math
from statistics import NormalDist

STANDARD = NormalDist()
STEPS = 1 << 53  # number of evenly spaced values in (0, 1); a double represents all whole numbers up to 2**53


def unit(seed: int, *name: object) -> float:
    """Returns a uniformly distributed value between 0 and 1, both excluded."""
    text = "\x1f".join(map(str, (seed, *name))).encode()
    number = int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 11
    return (number + 0.5) / STEPS


def uniform(low: float, high: float, seed: int, *name: object) -> float:
    """Returns a uniformly distributed value between `low` and `high`."""
    return low + (high - low) * unit(seed, *name)


def exponential(mean: float, seed: int, *name: object) -> float:
    """Returns an exponentially distributed value with this mean."""
    return -mean * math.log(unit(seed, *name))


def lognormal(mean: float, cv: float, seed: int, *name: object) -> float:
    """Returns a log-normally distributed value. `cv` is the standard deviation divided by the mean."""
    if cv <= 0:
        return mean
    sigma2 = math.log1p(cv * cv)
    z = STANDARD.inv_cdf(unit(seed, *name))
    return mean * math.exp(math.sqrt(sigma2) * z - sigma2 / 2)


def keyed_digest(seed: int, *name: object) -> str:
    """Returns a digest of the name, keyed with the seed, as sixteen hexadecimal digits."""
    text = "\x1f".join(map(str, ("stamp", *name))).encode()
    return hashlib.blake2b(text, digest_size=8, key=str(seed).encode()).hexdigest()
