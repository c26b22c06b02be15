"""Tenants: their token banks and rate limits, as named by the settings and later by a directory.

Inputs: the names of the tenant and the class, updates of a directory, and the time. A request is denied
(`Fail`) if its tenant is unknown, suspended, may not use the class or has a limit of 0, and rejected if a
token bucket of its tenant is empty. Reason: neither denied nor rejected requests may take a token from
another tenant.
"""

from __future__ import annotations

import random

from lanelift.policy.actions import Action, Fail, Reject
from lanelift.policy.events import RequestArrived, TenantUpdate
from lanelift.policy.rate_control import RateController
from lanelift.policy.settings import Settings, Tenant, UnknownTenants
from lanelift.policy.token_bank import TokenBank
from lanelift.policy.token_bucket import TokenBucket

MIN_WEIGHT = 1e-6  # minimum weight of a token bank, as R is divided by the sum of weights
# Weight of all unknown tenants together, relative to the weight of all known tenants.
UNKNOWN_TENANTS_WEIGHT = 0.05
# A directory may name any number of tenants; only those that sent requests recently have banks. Dividing R
# among this many banks takes a few milliseconds. All tenants beyond this number share one bank.
MAX_TOKEN_BANKS = 1024
OVERFLOW_TENANTS_WEIGHT = 0.5  # weight of the bank that those tenants share, relative to the other banks
# Largest number of buckets in use; further limits are not enforced until full buckets are removed.
MAX_TOKEN_BUCKETS = 8192
MAX_RETRY_AFTER_JITTER = 1.5  # highest jitter factor of Retry-After; keeps clients from returning together


class TenantRegistry:
    """The token banks and buckets of tenants that sent requests recently, and the rate R that they share.

    Attributes:
        banks: Token banks by tenant name; "" is the bank of all requests while no tenant is listed.
        known_tenants: All tenants by name; None until a directory has named some tenants.
        unknown_tenants: How all other tenants are handled; None until a directory has named all tenants.
        shared_banks: The banks shared by tenants without a bank of their own, by the bank's relative weight.
        removed_banks: The banks of tenants that were removed, until they are full.
        buckets: The token buckets of rate limits in use, by tenant and class.
        rate: The controller of R.
    """

    def __init__(self, settings: Settings, rng: random.Random, now: int) -> None:
        self.settings, self.rng = settings, rng
        tenants = settings.tenants or {"": Tenant("")}
        self.banks = {
            name: TokenBank(max(MIN_WEIGHT, tenant.share), rng, now) for name, tenant in tenants.items()
        }
        self.known_tenants: dict[str, Tenant] | None = None
        self.unknown_tenants: UnknownTenants | None = None
        self.shared_banks: dict[float, TokenBank] = {}
        self.removed_banks: dict[str, TokenBank] = {}
        self.buckets: dict[tuple[str, str], TokenBucket] = {}
        self.rate = RateController(self.banks.values(), now)

    def bank(self, name: str, now: int) -> TokenBank:
        """Return the bank that a tenant's requests take tokens from: its own, or a shared one."""
        if name in self.banks:
            return self.banks[name]
        if self.known_tenants is None or name not in self.known_tenants:
            # Unknown tenants take no token of a known one. If no tenant is listed, all use one bank.
            return self.banks.get("") or self._shared_bank(UNKNOWN_TENANTS_WEIGHT, now)
        # A tenant that is added again has the tokens that it had when it was removed.
        bank = self.removed_banks.pop(name, None)
        if bank is None and len(self.banks) + len(self.removed_banks) >= MAX_TOKEN_BANKS:
            return self._shared_bank(OVERFLOW_TENANTS_WEIGHT, now)
        weight = max(MIN_WEIGHT, self.known_tenants[name].share)
        bank = self.banks[name] = bank or TokenBank(weight, self.rng, now)
        bank.weight = weight
        self.rate.add_bank(bank, now)
        return bank

    def _shared_bank(self, share: float, now: int) -> TokenBank:
        if share not in self.shared_banks:
            bank = TokenBank(
                share * (self.rate.total_weight or 1.0),
                self.rng,
                now,
                may_borrow=share != UNKNOWN_TENANTS_WEIGHT,
            )
            self.shared_banks[share] = bank
            self.rate.add_bank(bank, now)
        return self.shared_banks[share]

    def denial_reason(self, name: str, class_name: str) -> str:
        """Return why a tenant may not use this class; the reason is empty if the tenant may use it.

        Must not be called before a directory has named some tenants.
        """
        assert self.known_tenants is not None
        tenant = self.known_tenants.get(name)
        if tenant is None:
            return "unknown tenant" if self.unknown_tenants is UnknownTenants.DENY else ""
        if tenant.denial_reason:
            return tenant.denial_reason
        if tenant.classes and class_name not in tenant.classes:
            return "class not allowed"
        zero_limit = any(not rate and limited in ("", class_name) for limited, rate in tenant.rate_limits)
        return "limit of 0" if zero_limit else ""

    def immediate_answer(self, event: RequestArrived, now: int) -> Action | None:
        """Return the final answer that a request gets because of its tenant, or None if it may proceed."""
        if self.known_tenants is None:
            return None
        reason = self.denial_reason(event.tenant, event.class_name)
        if reason:
            return Fail(event.request, reason)
        buckets = self._buckets_of(event, now)
        wait_ns = max((bucket.wait_ns(rate, now) for bucket, rate in buckets), default=0)
        if wait_ns:
            limits = self.settings.limits
            longest_ns = limits.max_retry_after_ns if limits.retry_after else 0
            jittered_ns = wait_ns * self.rng.uniform(1, MAX_RETRY_AFTER_JITTER)
            return Reject(event.request, int(min(longest_ns, jittered_ns)), True)
        for bucket, _ in buckets:
            bucket.tokens -= 1
        return None

    def _buckets_of(self, event: RequestArrived, now: int) -> list[tuple[TokenBucket, float]]:
        """Return the buckets that limit a request, each with its rate on this replica.

        A limit applies to all replicas together. Each replica enforces an equal part of it, as clients are
        spread evenly over the replicas.
        """
        assert self.known_tenants is not None
        tenant = self.known_tenants.get(event.tenant)
        if tenant is None:
            return []
        replicas = max(1, self.settings.replica_count)
        limits = [
            (class_name, rate_per_s / replicas)
            for class_name, rate_per_s in tenant.rate_limits
            if class_name in ("", event.class_name)
        ]
        return [(self._bucket(event.tenant, class_name, rate, now), rate) for class_name, rate in limits]

    def _bucket(self, name: str, class_name: str, rate_per_s: float, now: int) -> TokenBucket:
        bucket = self.buckets.get((name, class_name)) or TokenBucket(rate_per_s, now)
        if len(self.buckets) < MAX_TOKEN_BUCKETS:
            self.buckets[name, class_name] = bucket
        return bucket

    def update(self, event: TenantUpdate, now: int) -> set[str] | None:
        """Apply an update from a directory.

        Banks keep their tokens and buffered requests. R is divided again immediately, so that the share of a
        removed tenant is not lent twice.

        Returns:
            The names of the tenants that the update affects; None means all.
        """
        if self.known_tenants is None:
            self.known_tenants = dict(self.settings.tenants)
        shares_changed = False
        for tenant in event.tenants:
            self.known_tenants[tenant.name] = tenant
            bank = self.banks.get(tenant.name)
            if bank is not None and bank.weight != tenant.share:
                bank.weight = max(MIN_WEIGHT, tenant.share)
                shares_changed = True
        removed = list(event.removed)
        about_all = event.unknown_tenants not in (None, self.unknown_tenants)
        if about_all:
            self.unknown_tenants = event.unknown_tenants
            removed.append("")  # the bank that all requests used while no tenant was listed
        for name in removed:
            self.known_tenants.pop(name, None)
            if name in self.banks:
                self.removed_banks[name] = self.banks.pop(name)
                shares_changed = True
        if shares_changed:
            self.rate.set_banks(self._sharing_banks(), now)
        return None if about_all else {tenant.name for tenant in event.tenants}.union(event.removed)

    def _sharing_banks(self) -> list[TokenBank]:
        own = list(self.banks.values())
        total_weight = sum(bank.weight for bank in own) or 1.0
        for share, bank in self.shared_banks.items():
            bank.weight = share * total_weight
        return own + list(self.shared_banks.values())

    def forget_idle(self, now: int) -> None:
        """Forget banks and buckets that are idle and full, since new ones would be in the same state."""
        for table in (self.banks, self.removed_banks):
            # The bank "", which all requests use while no tenant is listed, is kept.
            idle = [
                name
                for name, bank in table.items()
                if bank.is_full(now) and (name or table is self.removed_banks)
            ]
            for name in idle:
                del table[name]
        sharing = self._sharing_banks()
        if len(sharing) < len(self.rate.banks):
            self.rate.set_banks(sharing, now)
        self.buckets = {key: bucket for key, bucket in self.buckets.items() if not bucket.is_full(now)}
