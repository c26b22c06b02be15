"""Chance that depends on a seed and a name alone.

What a request costs, or when a client gives up, must not change because something else was drawn before it:
each figure has a name of its own, and the same seed and name give the same figure in every process.
"""

from __future__ import annotations

import hashlib
import math
from statistics import NormalDist

STANDARD = NormalDist()
STEPS = 1 << 53  # a double's whole numbers: a figure is one of so many, evenly spaced


def unit(seed: int, *name: object) -> float:
    """Evenly between 0 and 1, both excluded."""
    text = "\x1f".join(map(str, (seed, *name))).encode()
    number = int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 11
    return (number + 0.5) / STEPS


def between(low: float, high: float, seed: int, *name: object) -> float:
    return low + (high - low) * unit(seed, *name)


def exponential(mean: float, seed: int, *name: object) -> float:
    return -mean * math.log(unit(seed, *name))


def lognormal(mean: float, cv: float, seed: int, *name: object) -> float:
    """With this mean and coefficient of variation (standard deviation over mean)."""
    if cv <= 0:
        return mean
    sigma2 = math.log1p(cv * cv)
    z = STANDARD.inv_cdf(unit(seed, *name))
    return mean * math.exp(math.sqrt(sigma2) * z - sigma2 / 2)


def stamp(seed: int, *name: object) -> str:
    """Sixteen hexadecimal digits that only who knows the seed can make."""
    text = "\x1f".join(map(str, ("stamp", *name))).encode()
    return hashlib.blake2b(text, digest_size=8, key=str(seed).encode()).hexdigest()
