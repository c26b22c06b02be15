"""Tenants: the token bank and rate limits of each, as the settings and, later, a directory name them.

Inputs: the tenant's and the class's name, updates of a directory, the time. A request is denied (`Fail`)
when its tenant is unknown, suspended, may not use the class or has a limit of 0, and rejected when a token
bucket of its tenant is empty. Reason: neither may cost another tenant a token.
"""

from __future__ import annotations

import random

from lanelift.policy.actions import Action, Fail, Reject
from lanelift.policy.events import RequestArrived, TenantUpdate
from lanelift.policy.rate_control import RateController
from lanelift.policy.settings import Settings, Tenant, UnknownTenants
from lanelift.policy.token_bank import TokenBank
from lanelift.policy.token_bucket import TokenBucket

MIN_WEIGHT = 1e-6  # of a token bank, whatever share a tenant has: R is divided by the sum of weights
UNKNOWN_TENANTS_WEIGHT = 0.05  # of all unknown tenants together, as a share of that of the known ones
# A directory may name any number of tenants; banks are kept for those that sent requests lately. To divide R
# among so many takes a few milliseconds; a tenant beyond them shares one bank with all others beyond them.
MAX_TOKEN_BANKS = 1024
OVERFLOW_TENANTS_WEIGHT = 0.5  # of the bank of those beyond, as a share of that of the others
MAX_TOKEN_BUCKETS = 8192  # limits in use at once: beyond, requests are not counted until some are full again
MAX_RETRY_AFTER_JITTER = 1.5  # times the wait until the next token: clients must not return in step


class TenantRegistry:
    """The token banks and buckets of tenants that sent requests lately, and the rate R that they share.

    Attributes:
        banks: Token banks by tenant name; "" is that of all, while no tenant is listed.
        known: All tenants by name, once a directory has named some; None before that.
        unknown_tenants: What becomes of all others, once a directory has named all; None before that.
        shared_banks: Banks of those that have none of their own, by their share of the weight.
        departed: Banks of tenants that were removed, until they are full.
        buckets: Rate limits in use, by tenant and class.
        rate: The controller of R.
    """

    def __init__(self, settings: Settings, rng: random.Random, now: int) -> None:
        self.settings, self.rng = settings, rng
        tenants = settings.tenants or {"": Tenant("")}
        self.banks = {
            name: TokenBank(max(MIN_WEIGHT, tenant.share), rng, now) for name, tenant in tenants.items()
        }
        self.known: dict[str, Tenant] | None = None
        self.unknown_tenants: UnknownTenants | None = None
        self.shared_banks: dict[float, TokenBank] = {}
        self.departed: dict[str, TokenBank] = {}
        self.buckets: dict[tuple[str, str], TokenBucket] = {}
        self.rate = RateController(self.banks.values(), now)

    def bank(self, name: str, now: int) -> TokenBank:
        """Return the bank that pays for a tenant's requests: its own, if it may have one."""
        if name in self.banks:
            return self.banks[name]
        if self.known is None or name not in self.known:
            # Requests of unknown tenants cost no known one a token; or no tenant is listed at all.
            return self.banks.get("") or self._shared_bank(UNKNOWN_TENANTS_WEIGHT, now)
        # A tenant that returns has the tokens that it left with.
        bank = self.departed.pop(name, None)
        if bank is None and len(self.banks) + len(self.departed) >= MAX_TOKEN_BANKS:
            return self._shared_bank(OVERFLOW_TENANTS_WEIGHT, now)
        weight = max(MIN_WEIGHT, self.known[name].share)
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
        """Return why a tenant may not use this class, or nothing, once a directory has named some tenants."""
        assert self.known is not None
        tenant = self.known.get(name)
        if tenant is None:
            return "unknown tenant" if self.unknown_tenants is UnknownTenants.DENY else ""
        if tenant.denial_reason:
            return tenant.denial_reason
        if tenant.classes and class_name not in tenant.classes:
            return "class not allowed"
        zero_limit = any(not rate and limited in ("", class_name) for limited, rate in tenant.rate_limits)
        return "limit of 0" if zero_limit else ""

    def immediate_answer(self, event: RequestArrived, now: int) -> Action | None:
        """Return what answers a request at once, because of its tenant; None: it goes on."""
        if self.known is None:
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
        """Return the buckets that limit a request, each with its rate here.

        A limit is over all replicas and each has its part of it: the front deals clients evenly.
        """
        assert self.known is not None
        tenant = self.known.get(event.tenant)
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
        """Take in a directory's update.

        Banks keep their tokens and buffered requests. R is divided anew at once: what a tenant
        left must not be lent twice.

        Returns:
            The names of the tenants that it is about; None: all.
        """
        if self.known is None:
            self.known = dict(self.settings.tenants)
        shares_changed = False
        for tenant in event.tenants:
            self.known[tenant.name] = tenant
            bank = self.banks.get(tenant.name)
            if bank is not None and bank.weight != tenant.share:
                bank.weight = max(MIN_WEIGHT, tenant.share)
                shares_changed = True
        removed = list(event.removed)
        about_all = event.unknown_tenants not in (None, self.unknown_tenants)
        if about_all:
            self.unknown_tenants = event.unknown_tenants
            removed.append("")  # the bank of all, while no tenant was listed
        for name in removed:
            self.known.pop(name, None)
            if name in self.banks:
                self.departed[name] = self.banks.pop(name)
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
        """Forget tenants that sent nothing for a while and left nothing that must be remembered."""
        for table in (self.banks, self.departed):
            # Where no tenant is listed, the one bank of all remains.
            idle = [
                name for name, bank in table.items() if bank.is_full(now) and (name or table is self.departed)
            ]
            for name in idle:
                del table[name]
        sharing = self._sharing_banks()
        if len(sharing) < len(self.rate.banks):
            self.rate.set_banks(sharing, now)
        self.buckets = {key: bucket for key, bucket in self.buckets.items() if not bucket.is_full(now)}
