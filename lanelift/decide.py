"""Every decision of lanelift. The types it takes and gives are in `lanelift/interface.py`.

A request passes its tenant's Throttle, may wait in its pool's line, and goes to the lightest upstream drawn.
"""

from __future__ import annotations

import heapq
import math
import random
import struct
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from lanelift import interface as api

SECOND = 1_000_000_000
DRAWS = 2  # random draws beside the previous winner
HOME, SHARED = (4, 10), 6  # least home to draw from, one large enough for pauses; proxies that may share it
# A send is told to those who share its upstream: the kind of message, the upstream, its work in units. Where
# they are more, or their messages dearer, nobody is told: each costs CPU on both sides. Six share an upstream
# no better than four do, with two messages more for each request.
TOLD, SENT, TOLD_UNIT_NS = struct.Struct(">BQH"), 1, 100_000
TELLERS, MOST_TOLD, TOLD_PRICE, FULL_MESSAGE = 4, 12, 0.005, 256
TOLD_DRAWS = 8  # beside the previous winner, where the work ahead is known: most of a home
HOPELESS = 1.3  # of the time that its client waits: a request that takes longer alone is refused at once
LATE_PART = 0.8  # of the time to its aim: where more work than that is ahead it is refused, lest all be late
GUESS_USED, GUESS_DOUBT = 0.01, 8.0  # of each answer, at least; answers that outweigh the first belief
MOST_BOOKED = 64  # sends remembered of an upstream; more than its waiting room holds
MOST_AHEAD_NS = SECOND  # work ahead counts no further: what was told wrongly must not bar one for long
UNLISTED_PART = 0.05  # weight of all unlisted tenants together, as a part of that of the listed ones
# A directory may name any number of tenants; throttles are kept for those who asked lately. Dividing R among
# so many takes a few milliseconds; whoever finds no place shares one throttle with the others who don't.
MAX_THROTTLES, CROWD_PART = 1024, 0.5  # the part of the others' weight that this one has
MAX_METERS = 8192  # limits in use at once: beyond, they are not counted until some rest
LIMIT_BURST_S = 1.0  # of a limit may be used at once
BANK_S = 0.5  # C_T in seconds of tokens
HOLD_PART = 0.2  # C_J as a part of C_T
START_RATE = 10_000.0  # R starts above anything a proxy carries
FEEDBACK_NS = SECOND // 2
SLACK = 0.2  # R comes down only when answers take this much more of their aim than is crowded
CALM = -0.1  # stress so far below crowded: what is sent is answered quickly
CLIMB, CALM_CLIMB = 1.1, 2.0  # of R in one interval, and more for each part of their aim that answers leave
LEAST, BEST_FADE = 0.2, 0.98  # of what was served in good times, R keeps; forgotten in a minute
DEEPEST_CUT = 0.3  # of R in one feedback interval
START_WINDOW = 8  # requests of all proxies together in flight at each upstream
EASE, CROWD = (0.35, 0.8), 3.0  # part of its aim that an attempt may take; times what it takes in good times
# So long it takes to feel a crowd, and to take it for good times. Where answers are many this must not go by
# their number: a crowd would pass for normal within a second, and one slow answer for a crowd.
FELT_NS, GROWN_USED_NS = SECOND // 4, 60 * SECOND
STUCK_PART = 0.25  # of the window that overdue attempts may leave free, or one
STRESS_MAX = 1.5  # worse than that counts no more
STEP = 0.5  # of the window for each outcome
LOOKS = 3  # upstreams asked for their load before a send, where that is cheap
LOOK_PRICE = 0.01  # most that the looks of a request may cost
LOOK_NS, LOOK_PART = (SECOND // 333, SECOND // 100), 0.04  # of the aim: an answer that takes longer is late
MARGIN = 1.3  # times what it is thought to take, and its spread: a request that takes longer is late
OVER_PART = 0.1  # of a request's time to spare may go by in the line for a tenant over its share
LINE_PART = 0.5  # of a request's time to spare may go by in the line
COLD_PART = 0.7  # part of a cold upstream's budget that is used
BAR_MAX = 3 * SECOND  # longest time for which an upstream is left alone
AWAY_NS = SECOND // 2  # shorter is a pause between two attempts: figures do not call it an absence
EACH_PART = 0.08  # of the aim: what each request that an upstream holds is thought to take at first, at most
FAULTY = (0.95, 0.8)  # part of errors above which an upstream is left alone, unless that of all is the second
BROKEN = (0.05, 3)  # part of all attempts whose breaks say nothing of an upstream, short of so many in a row
LATE_NS = 10_000_000  # a timer that comes so late tells of a proxy without time to look
EVIDENCE = 8  # outcomes before a figure is believed


def mixed(number: int, salt: int) -> int:
    """A fixed scramble of an id: the same on every proxy, whatever the hash seed."""
    x = (number * 0x9E3779B97F4A7C15 + salt * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return x ^ (x >> 32)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    server: Server
    sent_ns: int
    expected: float
    load: float  # what the upstream was thought to hold then, this one included
    ahead: float = 0.0  # work that it had before this one, as far as known
    work: float = 0.0  # and this one's own
    opens: bool = False  # more were out there than ever: it had to open a connection
    result: api.Result | None = None
    begun: bool = False  # its answer is being passed on: its upstream has done its work
    overdue: bool = False

    @property
    def may_have_run(self) -> bool:
        return self.result not in api.NEVER_RAN


@dataclass(slots=True, eq=False)
class Request:
    """What one request may still do: each send and refusal is proved legal here (rules 1 to 3, 5 and 6)."""

    id: str
    cls: api.RequestClass
    who: str  # its tenant's name
    tenant: Throttle
    pool: Pool
    deadline_ns: int
    aim_ns: int  # an answer by then earns the full worth
    hint: int
    retry: bool = False  # the client's own repeat
    turn: Turn | None = None  # the order of its key, where its class keeps one
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False
    begun: bool = False  # its stream has begun
    coming: bool = False  # its body is still coming: its time does not run
    spent: bool = False  # its body is gone: it can't be sent again
    place: str = ""  # waiting for its "turn", "held" by its throttle, in the "line", or ""
    turn_ns: int = 0  # its key rests until then
    give_up_ns: int = 0  # waiting longer than this is of no use
    asked: list[Server] = field(default_factory=list)  # asked for their load on its behalf
    asked_ns: int = 0
    busy: list[Server] = field(default_factory=list)  # those of a first look, where all had work
    denied: str = ""  # its tenant may not ask for this any more: no further attempt

    @property
    def out(self) -> int:
        return sum(a.result is None for a in self.attempts)

    def may_send(self, server: Server, now: int, limits: api.Limits) -> bool:
        if self.over or self.begun or now >= self.deadline_ns or len(self.attempts) >= limits.max_attempts:
            return False
        if server.entry.state is not api.State.READY or self.out >= (2 if limits.second_copies else 1):
            return False
        if not open_to(server.entry, self.cls) or not self.has_turn(now) or self.denied or self.spent:
            return False
        risky = [a for a in self.attempts if a.may_have_run]
        if not risky or self.cls.effect is api.Effect.SAFE:
            return True
        fresh = self.cls.effect is api.Effect.KEYED and now - risky[0].sent_ns < self.cls.window_ns
        return fresh and all(self._same_group(a.server, server) for a in risky)

    def has_turn(self, now: int) -> bool:
        """Is it the first of its key, and has the key rested since the one before it?"""
        return self.turn is None or (self.turn.waiting[0] is self and now >= self.turn_ns)

    def may_refuse(self) -> bool:
        everywhere = self.cls.effect is api.Effect.KEYED and self.cls.scope is api.Scope.ALL
        return (self.cls.effect is api.Effect.SAFE or everywhere
                or not any(a.may_have_run for a in self.attempts))

    def _same_group(self, x: Server, y: Server) -> bool:
        if self.cls.scope is api.Scope.ALL:
            return True
        a, b = x.entry, y.entry
        return a.zone == b.zone and (self.cls.scope is api.Scope.ZONE or a.cell == b.cell)


def open_to(entry: api.Upstream, cls: api.RequestClass) -> bool:
    """Rule 6: is this upstream in a zone and of a kind that the class may go to?"""
    return (not cls.zones or entry.zone in cls.zones) and (not cls.kinds or entry.kind in cls.kinds)


@dataclass(slots=True, eq=False)
class Turn:
    """Rule 5: the requests of one key, in the order taken; the first is the one whose turn it is."""

    key: str
    waiting: deque[Request] = field(default_factory=deque)
    rest_ns: int = 0  # an attempt of an earlier one may run until then


class Throttle:
    """One tenant's gate: the paper's counter U = T - J + C_J in [0, C_J + C_T] (2.1), (2.8)."""

    def __init__(self, weight: float, rng: random.Random, now: int, borrows: bool = True) -> None:
        self.weight = weight
        self.borrows = borrows  # what quiet tenants leave is lent to it
        self.bank = round(START_RATE * BANK_S)  # C_T
        self.hold = round(self.bank * HOLD_PART)  # C_J
        self.u = self.bank + self.hold  # starts full
        self.rate = START_RATE
        self.credit = rng.random()  # phase of the ticks: proxies must not release their holds in step
        self.at = now
        self.held: deque[Request] = deque()
        self.asked = 0
        self.demand = 0.0  # requests a second, learned
        self.waking = False  # a timer for the next token is set
        self.over = False
        self.short = False  # a request found no token since R was last set

    def set_rate(self, rate: float, now: int) -> None:
        """Change the rate and with it the capacities; tokens in the bank and requests held stay."""
        self.accrue(now)
        balance = self.u - self.hold  # T - J
        self.rate = rate
        self.bank = max(4, round(rate * BANK_S))
        self.hold = max(1, round(self.bank * HOLD_PART), len(self.held))
        self.u = max(0, min(self.bank + self.hold, balance + self.hold))

    def accrue(self, now: int) -> None:
        self.credit += self.rate * (now - self.at) / SECOND
        ticks = int(self.credit)
        self.at, self.credit = now, self.credit - ticks
        self.u = min(self.bank + self.hold, self.u + ticks)

    def offer(self, request: Request, now: int) -> bool | None:
        """True: send; None: held; False: overflow."""
        self.accrue(now)
        self.asked += 1
        if self.u <= self.hold:
            self.short = True
        if self.u < 1:
            return False
        self.u -= 1
        if self.u >= self.hold:
            return True
        self.held.append(request)
        return None

    def spare(self, now: int) -> bool:
        """Take a token for a copy or a client's retry, if fresh work leaves part of the bank unused."""
        self.accrue(now)
        if self.u - self.hold <= self.bank // 4:
            return False
        self.u -= 1
        return True

    def released(self, now: int) -> Iterable[Request]:
        self.accrue(now)
        while len(self.held) > max(0, self.hold - self.u):
            yield self.held.popleft()

    def leave(self, request: Request) -> None:
        """A held request ends: the token it waited for is not needed."""
        self.held.remove(request)
        self.u += 1

    def rested(self, now: int) -> bool:
        """Is it as good as new? Then it can be forgotten, and made again, without a token more or less."""
        self.accrue(now)
        return not self.held and not self.asked and self.u >= self.bank + self.hold


class Meter:
    """A limit that was set for a tenant: requests a second, and a second's worth at once."""

    def __init__(self, rate: float, now: int) -> None:
        self.rate, self.at = rate, now
        self.tokens = self.bank

    @property
    def bank(self) -> float:
        return max(1.0, self.rate * LIMIT_BURST_S)

    def wait_ns(self, rate: float, now: int) -> int:
        """Until a request is within the limit, which may have changed since."""
        self.tokens += self.rate * (now - self.at) / SECOND
        self.rate, self.at = rate, now
        self.tokens = min(self.bank, self.tokens)
        return 0 if self.tokens >= 1 else math.ceil((1 - self.tokens) / rate * SECOND)


class Rate:
    """The proxy's rate R, learned from how attempts end, and its division among the tenants."""

    def __init__(self, throttles: Iterable[Throttle], now: int) -> None:
        self.throttles = list(throttles)
        self.weight = sum(t.weight for t in self.throttles)
        self.value = START_RATE
        self.since = now
        self.sent = 0.0  # attempts ended a second
        self.served = START_RATE  # and those of them in time
        self.good = 0
        self.unplaced = 0  # requests that no upstream had room for in time
        self.bad = 0
        self.best = 1.0  # served a second in good times, slowly forgotten

    def join(self, t: Throttle, now: int) -> None:
        """One more shares R from now on. Its bank is that of its own part: it did not save up the whole."""
        self.throttles.append(t)
        self.weight += t.weight
        t.set_rate(max(0.05, self.value * t.weight / self.weight), now)

    def keep(self, throttles: Iterable[Throttle], now: int) -> None:
        """These share R from now on, by the weights they have now."""
        self.throttles = list(throttles)
        self.weight = sum(t.weight for t in self.throttles)
        self._share(now)

    def adjust(self, now: int, excess: float, blind: bool = True) -> None:
        """Set R by how much more of their aim answers take than is crowded. Where others tell what they send,
        who finds no room is refused for work that is known to be there; R must not refuse the next for it."""
        elapsed = now - self.since
        total = self.good + self.bad + self.unplaced
        # A proxy with little traffic waits for enough outcomes, but not for ever.
        if elapsed < FEEDBACK_NS or (total < EVIDENCE and elapsed < 4 * FEEDBACK_NS):
            return
        self.served = self.good * SECOND / elapsed
        self.sent = (self.good + self.bad) * SECOND / elapsed
        self.best = max(self.served, self.best * BEST_FADE)
        quick = excess < CALM
        # Judged by what lately ended, not by this interval: of eight outcomes one is late on any good day.
        excess += (self.unplaced / max(1, total) if blind else 0.0) - SLACK
        if excess > 0:
            # After a shrink R stands far above what is served: come down to that first. But where what is
            # sent is answered quickly, little was sent as little was let through, as in the rush of a start.
            top = self.value if quick else min(self.value, 1.2 * self.sent + 1)
            cut = top * (1 - min(DEEPEST_CUT, excess))
            self.value = max(LEAST * self.best, 0.9 * self.served, cut)
        elif total and any(t.short and t.borrows for t in self.throttles):
            # The further from a crowd, the sooner back: what is short after a cut is R itself.
            climb = CLIMB + CALM_CLIMB * max(0.0, -excess - SLACK)
            self.value = min(START_RATE, self.value * climb + 0.5)
        for t in self.throttles:
            t.demand += 0.5 * (t.asked * SECOND / elapsed - t.demand)
            t.asked, t.short = 0, False
        self._share(now)
        self.since, self.good, self.bad, self.unplaced = now, 0, 0, 0

    def _share(self, now: int) -> None:
        """Fair shares of R by weight; what quiet tenants leave is lent to those who want more."""
        whole = self.weight
        lent, fair = self._fill(self.value), self._fill(self.served)
        for i, t in enumerate(self.throttles):
            t.set_rate(max(0.05, self.value * t.weight / whole, lent[i] if t.borrows else 0.0), now)
            t.over = t.demand > 1.1 * fair[i]  # it asks more than its share of what is served

    def _fill(self, left: float) -> list[float]:
        shares, weights = [0.0] * len(self.throttles), sum(t.weight for t in self.throttles)
        for i, t in sorted(enumerate(self.throttles), key=lambda it: (it[1].demand / it[1].weight, it[0])):
            shares[i] = min(t.demand, left * t.weight / weights)
            left, weights = max(0.0, left - shares[i]), max(1e-9, weights - t.weight)
        return [share + left for share in shares]


@dataclass(slots=True, eq=False)
class Server:
    """What this proxy knows of one upstream."""

    id: int
    entry: api.Upstream
    rank: int = 0  # its place among all, the same on every proxy
    rest: int = 0  # and in this proxy's own order of those beyond its home
    holders: list[int] = field(default_factory=list)  # proxies that have it in their home, as far as drawn
    inflight: int = 0  # own requests there
    pace: float = 1.0  # its time for a request against the fleet's
    strikes: int = 0
    unreached: bool = False  # the last attempt to connect to it failed
    barred_ns: int = 0  # not to be tried before this
    struck_ns: int = 0  # the last strike
    asked_ns: int = 0  # it was asked for its load then, and has not answered
    heard_ns: int = 0  # its last answer to that
    most: int = 0  # own requests there at once, so far
    errors: float = 0.0  # the part of its answers that were errors lately
    breaks: int = 0  # of connections to it, in a row
    # Work ahead, whoever told of it: own sends, those that others told, what it held when it was asked.
    booked: deque[tuple[int, float]] = field(default_factory=deque)  # when, work
    free_ns: float = 0  # when it will have done all of it

    def book(self, now: int, work: float) -> None:
        if self.free_ns <= now:
            self.booked.clear()
        elif len(self.booked) >= MOST_BOOKED:
            self.booked.popleft()
        if work > 0:
            self.booked.append((now, work))
        self.free_ns = min(max(self.free_ns, now) + work, now + MOST_AHEAD_NS)

    def did(self, sent_ns: int, now: int) -> None:
        """It has done what was sent then, and so what was sent before: the rest is still ahead."""
        while self.booked and self.booked[0][0] <= sent_ns:
            self.booked.popleft()
        self.free_ns = now + min(MOST_AHEAD_NS, sum(work for _, work in self.booked))

    def heard(self, work: float, now: int) -> None:
        """It told what it holds. What was sent since it was asked may not be among that."""
        since = [b for b in self.booked if b[0] >= self.asked_ns] if self.asked_ns else []
        self.heard_ns, self.free_ns = now, 0
        self.booked.clear()
        for more in (work, *(b[1] for b in since)):
            self.book(now, more)

    def ahead(self, now: int, each: float) -> float:
        """Work that it has before it, as far as known. What is out there for longer than was thought may have
        as much again to go."""
        left = self.free_ns - now
        return left if left > 0 else each * min(1, self.inflight)

    def unbook(self, sent_ns: int, work: float) -> None:
        """It did nothing of it."""
        if (sent_ns, work) in self.booked:
            self.booked.remove((sent_ns, work))
            self.free_ns -= work


def holders(s: Server, proxies: int, count: int) -> list[int]:
    """Which proxies have it in their home: so many, drawn by its id, so that all compute them alike and what
    comes or goes elsewhere moves none of them. Drawn once: a list of many is no work for each change."""
    if count >= proxies:
        return list(range(proxies))
    salt = 0
    while len(s.holders) < count:
        salt += 1
        p = mixed(s.id, salt) % proxies
        if p not in s.holders:
            s.holders.append(p)
    return s.holders[:count]


class Pool:
    """The upstreams that one set of classes may go to, and the part of them this proxy draws from."""

    def __init__(self, fleet: Fleet, cls: api.RequestClass) -> None:
        self.fleet = fleet
        self.cls = cls  # one of the classes it serves: they are all open to the same upstreams
        self.order: list[Server] = []  # ready ones, this proxy's home first
        self.home = 0
        self.sharers = 1  # proxies that have each of them in their home
        self.holders: dict[int, list[int]] = {}  # which ones
        self.width = 0  # how many of `order` it draws from
        self.last: Server | None = None  # the previous winner
        self.line: deque[Request] = deque()
        self.blocked_ns = 0  # the line found no upstream since
        self.jammed = False  # nor has room for more: its head waits for that, not for an answer about load

    def arrange(self, ready: Sequence[Server], proxies: int) -> None:
        """Extension: each proxy has a home, a few upstreams that it shares with few others, so that what it
        knows of its own requests, and is told of theirs, says something of them. Beyond it, an order of its
        own."""
        ready = [s for s in ready if open_to(s.entry, self.cls)]
        n, me = len(ready), self.fleet.settings.me
        own = ready
        if n and not self.fleet.looks:
            shared = TELLERS if self.fleet.settings.limits.peers else SHARED
            size = max(n / proxies, HOME[0], min(HOME[1], shared * n // proxies))
            self.sharers = min(proxies, math.ceil(size * proxies / n))
            self.holders = {s.id: holders(s, proxies, self.sharers) for s in ready}
            own = [s for s in ready if me in self.holders[s.id]]
        mine = {s.id for s in own}
        rest = sorted((s for s in ready if s.id not in mine), key=lambda s: (s.rest, s.id))
        self.order = own + rest
        self.home = min(n, max(len(own), HOME[0]))
        self.width = min(n, max(self.width, self.home))

    def reach(self, now: int) -> None:
        """Others take the places of those that can't be reached, as when their zone is cut off; and one more
        is taken in while the line waits. Not those of crowded ones: beyond its home a proxy draws blindly."""
        away = sum(s.unreached and now < s.barred_ns + SECOND for s in self.order[:self.width])
        wanted = min(len(self.order), self.home + away)
        if self.blocked_ns or self.width < wanted:
            self.width = min(len(self.order), max(self.width + 1, wanted))
        elif self.width > wanted:
            self.width -= 1

    def draw(self, count: int, now: int) -> list[Server]:
        """So many random draws from those that are fit, and the previous winner. Looks at the upstreams
        within reach at most, never at the fleet."""
        reach, fit = self.width, self.fleet.fit
        drawn: list[Server] = []
        for _ in range(4 * count if reach else 0):
            s = self.order[int(self.fleet.rng.random() * reach)]
            if fit(s, now):
                drawn.append(s)
                if len(drawn) == count:
                    break
        if not drawn:
            some = [s for s in self.order[:reach] if fit(s, now)]
            drawn = [some[int(self.fleet.rng.random() * len(some))] for _ in range(count)] if some else []
        last = self.last
        if last is not None and fit(last, now) and open_to(last.entry, self.cls):
            drawn.append(last)
        return drawn

    def able(self, now: int) -> int:
        """How many within reach are not left alone: what the dead had must not all move to the rest."""
        return sum(s.barred_ns <= now for s in self.order[:self.width])

    def pick(self, now: int, allowed: Iterable[Server] | None = None) -> Server | None:
        """The one that will be free first, of two draws and the previous winner; of a few more, where others
        tell what they send."""
        draws = TOLD_DRAWS if self.fleet.tells else DRAWS
        drawn = self.draw(draws, now) if allowed is None else [s for s in allowed if self.fleet.fit(s, now)]
        if not drawn:
            return None
        each = self.fleet.crowding.each
        self.last = min(drawn, key=lambda s: s.ahead(now, each) + each * s.pace)
        return self.last


class Fleet:
    """Membership, cold starts, health, and which upstreams this proxy draws from."""

    def __init__(self, settings: api.Settings, crowding: Crowding, rng: random.Random) -> None:
        self.settings = settings
        self.crowding = crowding
        self.rng = rng
        self.servers: dict[int, Server] = {}
        self.looks = (settings.limits.probes and "inflight" in settings.report_columns
                      and settings.prices.probe * (LOOKS + 1) <= LOOK_PRICE)
        self.tells = False  # sends are told to those who share their upstream
        self.borne = 0.0  # own attempts a second that a warm upstream is seen to bear
        self.errors = 0.0  # the part of all answers that were errors lately
        self.breaks = 0.0  # the part of all attempts whose connections broke lately
        self.sharers = 1.0  # proxies that have an upstream in their home
        self.pools: dict[tuple[frozenset[str], frozenset[str]], Pool] = {}
        self.main = self.pool(api.RequestClass(""))

    def pool(self, cls: api.RequestClass) -> Pool:
        """The pool of all classes that are open to the same upstreams."""
        found = self.pools.get((cls.zones, cls.kinds))
        return found or self.pools.setdefault((cls.zones, cls.kinds), Pool(self, cls))

    def learn(self, update: api.ListUpdate, now: int) -> None:
        if update.kind is not api.ListKind.DELTA:
            listed = {e.id for e in update.upstreams}
            for s in self.servers.values():
                if s.id not in listed:
                    s.entry = s.entry._replace(state=api.State.GONE)  # missing from a whole list
        for entry in update.upstreams:
            if entry.id not in self.servers:
                ranks = mixed(entry.id, 0), mixed(entry.id, self.settings.me + 1)
                self.servers[entry.id] = Server(entry.id, entry, *ranks)
            s = self.servers[entry.id]
            was, s.entry = s.entry, entry
            if entry.started_ns != was.started_ns:
                s.strikes = s.barred_ns = 0
            if self.cold(s, now) and (entry.started_ns != was.started_ns or was is entry):
                # Rule 4: the first requests of all proxies must not reach it together.
                s.barred_ns = now + int(self.rng.random() * self.cold_gap_ns(s, now))
        for s in list(self.servers.values()):
            self.forget(s)
        ready = sorted((s for s in self.servers.values() if s.entry.state is api.State.READY),
                       key=lambda s: (s.rank, s.id))
        proxies = max(1, self.settings.replicas_of_me)
        for pool in self.pools.values():
            pool.arrange(ready, proxies)
        self.sharers = float(proxies if self.looks else self.main.sharers)
        told = self.main.sharers - 1
        self.tells = (self.settings.limits.peers and not self.looks and 0 < told <= MOST_TOLD
                      and self.settings.prices.peer * told * TOLD.size / FULL_MESSAGE <= TOLD_PRICE)
        own = max(1.0, START_WINDOW * len(ready) / proxies)
        self.crowding.begin(own / max(1, self.main.home))

    def forget(self, s: Server) -> None:
        """What has gone and holds no attempt of ours any more is of no use: in time ids are ever new."""
        if s.entry.state is api.State.GONE and not s.inflight:
            self.servers.pop(s.id, None)

    def judge(self, s: Server, error: bool) -> bool:
        """Note an answer. Is it one error too many? An upstream that only fails, and at once, seems the
        lightest of all; one that fails in part still does its share of the work. Where all fail alike, for
        a fault of the requests or on the way, none is left alone for it."""
        self.errors += 0.02 * (error - self.errors)
        s.errors += 0.05 * (error - s.errors)
        return error and s.errors > FAULTY[0] and self.errors < FAULTY[1]

    def broken(self, s: Server) -> bool:
        """A connection broke. Has its upstream failed? Where connections break all the time, the way there or
        what stands on it is at fault: with half the upstreams left alone for it, the others are crowded."""
        self.breaks += 0.02 * (1.0 - self.breaks)
        s.breaks += 1
        return self.breaks < BROKEN[0] or s.breaks >= BROKEN[1]

    def cold(self, s: Server, now: int) -> bool:
        return bool(s.entry.started_ns) and now - s.entry.started_ns < self.settings.rules.cold_ns

    def cold_gap_ns(self, s: Server, now: int) -> int:
        """Rule 4: the least time between sends to a cold upstream, so that all whose home it is in stay,
        together, inside what it can bear now. A warm one bears what it is seen to bear, or one in `each`."""
        rules = self.settings.rules
        age = max(0, now - s.entry.started_ns)  # clocks differ: it may have started in the future
        part = rules.cold_from + (1 - rules.cold_from) * age / rules.cold_ns
        bears = max(self.borne, SECOND / self.crowding.each / self.sharers)
        return int(SECOND / (COLD_PART * rules.fall_multiple * part * bears))

    def fit(self, s: Server, now: int) -> bool:
        if s.entry.state is not api.State.READY or now < s.barred_ns:
            return False
        # One that failed or is still cold is tried with one request at a time.
        # Where upstreams are asked for their load before each send, own counts add nothing to it.
        limit = 1 if s.strikes or self.cold(s, now) else self.crowding.limit
        return s.inflight < limit or (self.looks and not s.strikes)

    def bar(self, a: Attempt, now: int, base: float) -> None:
        """Leave a failing upstream alone, longer each time, unless that would leave hardly any.

        What was out there when it stood still fails together, though not at once: one strike for all that was
        sent before it. Else a crowd of eight is seven strikes, one that is idle by then is left alone for
        seconds, and what it had crowds the next. A stall that lasts is seen by the next attempt."""
        s = a.server
        if s.barred_ns > now or a.sent_ns < s.struck_ns:
            return
        s.strikes += 1
        s.struck_ns = now
        reach = self.main.order[:self.main.width]
        if sum(o.barred_ns > now for o in reach) < 0.7 * len(reach):
            length = min(base * 2 ** min(s.strikes - 1, 5), BAR_MAX)
            s.barred_ns = now + int(length * self.rng.uniform(0.75, 1.25))


class Guess:
    """What a request takes by what its hint says: least squares of the logarithms, the latest counting more.

    A rough hint says less than its figure: where those of 6 and of 200 ms took 30 and 80, work ahead that is
    added up from hints is wrong by as much, and what seems hopeless is not."""

    def __init__(self) -> None:
        self.seen = 0
        self.hint = self.took = 0.0  # means of the logarithms
        self.spread = self.joint = 0.0  # variance of the first, and covariance

    def note(self, hint: int, took: float) -> None:
        part = max(GUESS_USED, 1 / (self.seen + 1))
        dx, dy = math.log(hint) - self.hint, math.log(max(1.0, took)) - self.took
        self.seen += 1
        self.hint += part * dx
        self.took += part * dy
        self.spread = (1 - part) * (self.spread + part * dx * dx)
        self.joint = (1 - part) * (self.joint + part * dx * dy)

    def of(self, hint: int) -> float:
        if not self.seen:
            return hint
        doubt = GUESS_DOUBT / self.seen  # with few seen, half of what the hint says is believed
        slope = (self.joint + 0.5 * doubt) / (self.spread + doubt)
        return math.exp(self.took + min(1.0, max(0.0, slope)) * (math.log(hint) - self.hint))


class Crowding:
    """Learns what requests take, and how many of this proxy's own may be in flight.

    Extension: among hundreds of proxies own counts say little of an upstream, but all feel it when it is
    crowded. Each keeps a window over all it has in flight; beyond it requests wait in the line.
    """

    def __init__(self) -> None:
        self.start = self.window = 0.5  # own requests that may be in flight, for each upstream within reach
        self.stress = 0.0  # part of its aim that an answer took lately
        self.calm = EASE[0] / CROWD  # and takes in good times
        self.gap, self.felt_ns = float(SECOND), 0  # time from one answer to the next, and the last one's
        self.ease = EASE[0]  # above this, upstreams are crowded
        self.seen = 0
        self.each = SECOND / 50  # time for each request that an upstream holds
        self.taken: dict[str, float] = {}  # class -> time where nothing was known to be ahead
        self.guess = Guess()  # the same by hint
        self.spread = 0.5  # mean deviation from the expected

    @property
    def limit(self) -> int:
        """How many of them may be at any one upstream."""
        return math.ceil(self.window)

    def work(self, r: Request) -> float:
        """What it takes beside the work that is known to be ahead of it."""
        return self.guess.of(r.hint) if r.hint else self.taken.get(r.cls.name, r.cls.aim_ns / 8)

    def note(self, r: Request, a: Attempt, took: int) -> None:
        server = a.server
        if not a.ahead:
            if r.hint:
                self.guess.note(r.hint, took)
            else:
                was = self.taken.setdefault(r.cls.name, float(took))
                self.taken[r.cls.name] += 0.05 * (min(took, 8 * was) - was)
        self.crowd(a, took)
        ratio = took / max(1.0, a.ahead + self.work(r))
        self.spread += 0.05 * (min(3.0, abs(ratio / server.pace - 1)) - self.spread)
        server.pace += 0.2 * (min(10.0, max(0.1, ratio)) - server.pace)

    def crowd(self, a: Attempt, took: int) -> None:
        if a.opens:
            return  # it tells what opening a connection takes, and would pass for a crowd at each start
        self.seen += 1  # the first ones count more: a proxy with little traffic can't wait for twenty
        self.each += max(0.05, 1 / self.seen) * (max(1, took) / a.load - self.each)

    def begin(self, start: float) -> None:
        """A list came: what this proxy may have in flight before it knows better, and comes back to."""
        self.start = start
        if not self.seen:
            self.window = start

    def crowded(self) -> bool:
        return self.stress > self.ease

    def feel(self, stress: float, waiting: bool, width: int, now: int) -> None:
        """An attempt took this part of its aim: widen the window while others wait, or narrow it."""
        stress = min(stress, STRESS_MAX)
        self.gap += 0.05 * (min(SECOND, now - self.felt_ns) - self.gap)
        self.felt_ns = now
        rise = min(0.002, self.gap / GROWN_USED_NS)
        self.stress += min(0.1, self.gap / FELT_NS) * (stress - self.stress)
        self.calm += (0.05 if self.stress < self.calm else rise) * (self.stress - self.calm)
        self.ease = min(EASE[1], max(EASE[0], CROWD * self.calm))
        step = STEP * (self.ease - stress) / max(1, width)
        if waiting or step < 0 or self.window < self.start:
            self.window = max(1 / max(1, width), self.window + step)


class Balancer:
    """One proxy. Feed it events with `handle`; carry out the actions it gives, in order."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        tenants = settings.tenants or {"": api.Tenant("")}
        self.throttles = {name: Throttle(max(1e-6, t.share), self.rng, now) for name, t in tenants.items()}
        self.unlisted: Throttle | None = None  # of all who are not listed, once one of them has asked
        self.known: dict[str, api.Tenant] | None = None  # all tenants, once a directory has told of some
        self.strangers: api.Strangers | None = None  # what becomes of the others, once it has told of all
        self.crowd: Throttle | None = None  # of the known ones that find no place
        self.parted: dict[str, Throttle] = {}  # of tenants that left, until they are as good as new
        self.meters: dict[tuple[str, str], Meter] = {}  # by tenant and class
        self.rate = Rate(self.throttles.values(), now)
        self.crowding = Crowding()
        self.fleet = Fleet(settings, self.crowding, self.rng)
        self.requests: dict[str, Request] = {}
        for cls in settings.classes.values():
            self.fleet.pool(cls)
        self.turns: dict[str, Turn] = {}
        self.due: list[tuple[int, int, str, Request | Throttle | Turn | None, int]] = []  # by time
        self.count = 0
        self.timer_ns = self.timer = 0  # when the timer that counts is due, and its number
        self.actions: list[api.Action] = []
        self.checked_ns = now
        self.out = self.stuck = 0  # own attempts in flight, and those of them that are overdue
        self.patience_ns = min((c.aim_ns for c in settings.classes.values()), default=SECOND)
        self.look_ns = int(max(LOOK_NS[0], min(LOOK_NS[1], LOOK_PART * self.patience_ns)))
        self.crowding.each = min(self.crowding.each, EACH_PART * self.patience_ns)
        self.failures = 0
        self.subscribed = settings.discovery_push
        if not self.subscribed:
            self._later(now + int(self.rng.random() * settings.rules.ask_within_ns / 4), "subscribe", None)

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        self.actions = []
        for e in events:
            if type(e) is api.Arrival:
                self._arrival(e, now)
            elif type(e) is api.Outcome:
                self._outcome(e, now)
            elif type(e) is api.ClientGone and e.request in self.requests:
                self._end(self.requests[e.request], now)
            elif type(e) is api.ListUpdate:
                self._list(e, now)
            elif type(e) is api.PeerMessage:
                self._told(e, now)
            elif type(e) is api.ProbeResult:
                self._probed(e, now)
            elif type(e) is api.AnswerBegun and e.request in self.requests:
                self._begun(self.requests[e.request], e, now)
            elif type(e) is api.BodyCame and e.request in self.requests:
                self._came(self.requests[e.request], e, now)
            elif type(e) is api.TenantsUpdate:
                self._tenants(e, now)
            elif type(e) is api.Wake and e.name == str(self.timer):
                self.timer_ns = 0  # by its name, not the clock: a timer may come a little early
        while self.due and self.due[0][0] <= now:
            at, _, what, about, extra = heapq.heappop(self.due)
            if what == "overdue" and now - at > LATE_NS:
                # A proxy that is late itself can't say so of an upstream: the answer may lie here unread. It
                # covers any want of time here, and hurts where a standstill of both is seen that much later.
                self._later(2 * now - at, what, about, extra)
            else:
                self._look(what, about, extra, now)
        self._pump(now)
        if now - self.checked_ns >= FEEDBACK_NS:
            self._feedback(now)
        while self.due and self._settled(*self.due[0][2:]):
            heapq.heappop(self.due)  # no wake for what is over
        if self.due and (not self.timer_ns or self.due[0][0] < self.timer_ns):
            self.timer_ns = self.due[0][0]
            self.timer += 1
            self.actions.append(api.SetTimer(max(1, self.timer_ns - now), str(self.timer)))
        return self.actions

    def avoided(self, now: int) -> int:
        """How many listed upstreams get nothing now: they drain, or failed and are left alone for a while."""
        return sum(s.entry.state is api.State.DRAINING or s.barred_ns > max(now, s.struck_ns + AWAY_NS)
                   for s in self.fleet.servers.values() if s.entry.state is not api.State.GONE)

    def _settled(self, what: str, about: Request | Throttle | Turn | None, extra: int) -> bool:
        if not isinstance(about, Request):
            return False
        return about.over or (what == "overdue" and about.attempts[extra].result is not None)

    def _later(self, at: int, what: str, about: Request | Throttle | Turn | None, extra: int = 0) -> None:
        self.count += 1
        heapq.heappush(self.due, (at, self.count, what, about, extra))

    def _arrival(self, e: api.Arrival, now: int) -> None:
        if self.known is not None and self._turned_away(e, now):
            return
        throttle = self.throttles.get(e.tenant) or self._join(e.tenant, now)
        cls = self.settings.classes.get(e.class_name) or api.RequestClass(e.class_name, api.Effect.UNSAFE)
        asked = e.asked_ns or now
        aim = min(asked + cls.aim_ns, e.deadline_ns)
        pool = self.fleet.pool(cls)
        hint = min(e.cost_hint_ns, cls.deadline_ns)  # a wild guess must not keep its timers for years
        r = Request(e.request, cls, e.tenant, throttle, pool, e.deadline_ns, aim, hint, e.retry,
                    coming=e.coming)
        self.requests[r.id] = r
        expected = self.crowding.work(r)
        waited = now - asked
        if (self.fleet.tells and self.crowding.guess.seen >= EVIDENCE and not (cls.stream or e.coming)
                and expected > HOPELESS * (e.deadline_ns - now)):
            self._refuse(r, now)  # all that its upstream does for it would be in vain, and hold up others
            return
        if expected < cls.aim_ns < waited + expected and not (cls.late_worth or cls.stream):
            # It waited unseen for so long, the proxy being late itself, that its answer would come too late.
            # Served in turn, all would: work on those makes the ones behind them late as well. This covers
            # any stretch in which the proxy had no time. It hurts where `expected` is far too high.
            self._refuse(r, now)
            return
        self._bound(r, now)
        if cls.in_order and e.key:
            r.turn = self.turns.setdefault(e.key, Turn(e.key))
            r.turn.waiting.append(r)
            r.turn_ns = r.turn.rest_ns
        if r.has_turn(now):
            self._offer(r, now)
        else:
            r.place = "turn"  # it holds no token meanwhile, and nobody waits behind it but its own key
            self._later(r.turn_ns, "turn", r.turn)

    def _bound(self, r: Request, now: int) -> None:
        """How long it may wait; whatever comes, a request that waits is looked at then."""
        need = self.crowding.work(r) * (MARGIN + self.crowding.spread)
        r.give_up_ns = max(r.aim_ns - int(need), now + (r.deadline_ns - now) // 4)
        self._later(r.give_up_ns, "give up", r)

    def _came(self, r: Request, e: api.BodyCame, now: int) -> None:
        """Its body is whole: what it takes counts from now."""
        if not r.coming:
            return
        r.coming = False
        r.deadline_ns, r.aim_ns = e.deadline_ns, min(now + r.cls.aim_ns, e.deadline_ns)
        self._bound(r, now)
        for i, a in enumerate(r.attempts):
            if a.result is None and not a.begun:
                a.sent_ns = now
                self._watch(r, i, now)

    def _join(self, name: str, now: int) -> Throttle:
        """The throttle of a tenant that has none of its own yet."""
        if self.known is None or name not in self.known:
            return self._unlisted(now)
        t = self.parted.pop(name, None)  # it comes back: with the tokens that it left with
        if t is None and len(self.throttles) + len(self.parted) >= MAX_THROTTLES:
            if self.crowd is None:
                self.crowd = Throttle(CROWD_PART * self.rate.weight, self.rng, now)
                self.rate.join(self.crowd, now)
            return self.crowd
        weight = max(1e-6, self.known[name].share)
        t = self.throttles[name] = t or Throttle(weight, self.rng, now)
        t.weight = weight
        self.rate.join(t, now)
        return t

    def _unlisted(self, now: int) -> Throttle:
        """Whoever is not listed shares one small throttle: what they ask costs no listed tenant a token."""
        if "" in self.throttles:
            return self.throttles[""]  # nobody is listed
        if self.unlisted is None:
            whole = self.rate.weight or 1.0
            self.unlisted = Throttle(UNLISTED_PART * whole, self.rng, now, borrows=False)
            self.rate.join(self.unlisted, now)
        return self.unlisted

    def _denied(self, name: str, class_name: str) -> str:
        """Why a tenant may not ask for this class, or nothing."""
        assert self.known is not None
        t = self.known.get(name)
        if t is None:
            return "unknown tenant" if self.strangers is api.Strangers.DENY else ""
        if t.barred:
            return t.barred
        if t.classes and class_name not in t.classes:
            return "class not allowed"
        return "limit of 0" if any(not rate and cls in ("", class_name) for cls, rate in t.limits) else ""

    def _turned_away(self, e: api.Arrival, now: int) -> bool:
        """Was a request answered at once, by what a directory says of its tenant?"""
        assert self.known is not None
        why = self._denied(e.tenant, e.class_name)
        if why:
            self.actions.append(api.Fail(e.request, why))
            return True
        t = self.known.get(e.tenant)
        # A limit is over all proxies, and this one has its part. To deal clients evenly is the front's work.
        each = max(1, self.settings.replicas_of_me)
        limits = [(cls, all_s / each) for cls, all_s in t.limits if cls in ("", e.class_name)] if t else []
        meters = [(self._meter(e.tenant, cls, rate, now), rate) for cls, rate in limits]
        wait = max((meter.wait_ns(rate, now) for meter, rate in meters), default=0)
        if wait:
            most = self.settings.limits.max_retry_after_ns if self.settings.limits.retry_after else 0
            self.actions.append(api.Refuse(e.request, int(min(most, wait * self.rng.uniform(1, 1.5))), True))
        else:
            for meter, _ in meters:
                meter.tokens -= 1
        return wait > 0

    def _meter(self, name: str, class_name: str, limit: float, now: int) -> Meter:
        meter = self.meters.get((name, class_name)) or Meter(limit, now)
        if len(self.meters) < MAX_METERS:
            self.meters[name, class_name] = meter
        return meter

    def _tenants(self, e: api.TenantsUpdate, now: int) -> None:
        """A directory's news. Throttles keep their tokens and whom they hold; R is divided anew at once, lest
        what a tenant left is lent twice. Who may not be served any more and has nothing out is told so."""
        if self.known is None:
            self.known = dict(self.settings.tenants)
        shares = False
        for t in e.tenants:
            self.known[t.name] = t
            throttle = self.throttles.get(t.name)
            if throttle is not None and throttle.weight != t.share:
                throttle.weight, shares = max(1e-6, t.share), True
        leaving = list(e.gone)
        everybody = e.strangers not in (None, self.strangers)
        if everybody:
            self.strangers = e.strangers
            leaving.append("")  # the throttle of all, while nobody was listed
        for name in leaving:
            self.known.pop(name, None)
            if name in self.throttles:
                self.parted[name], shares = self.throttles.pop(name), True
        if shares:
            self.rate.keep(self._sharing(), now)
        about = {t.name for t in e.tenants}.union(e.gone)
        for r in list(self.requests.values()):
            if (everybody or r.who in about) and not r.over:
                r.denied = self._denied(r.who, r.cls.name)
                if r.denied and not r.out and not r.begun:
                    self.actions.append(api.Fail(r.id, r.denied))
                    self._end(r, now)

    def _sharing(self) -> list[Throttle]:
        own = list(self.throttles.values())
        whole = sum(t.weight for t in own) or 1.0
        for t, part in ((self.unlisted, UNLISTED_PART), (self.crowd, CROWD_PART)):
            if t is not None:
                t.weight = part * whole
                own.append(t)
        return own

    def _tidy(self, now: int) -> None:
        """Forget who has not asked for a while, and left nothing that would have to be remembered."""
        for table in (self.throttles, self.parted):
            # Where nobody is listed, the one throttle of all stays.
            rested = [n for n, t in table.items() if t.rested(now) and (n or table is self.parted)]
            for name in rested:
                del table[name]
        sharing = self._sharing()
        if len(sharing) < len(self.rate.throttles):
            self.rate.keep(sharing, now)
        for t in self.parted.values():
            self._release(t, now)
        for key in [key for key, m in self.meters.items()
                    if m.tokens + m.rate * (now - m.at) / SECOND >= m.bank]:
            del self.meters[key]

    def _offer(self, r: Request, now: int) -> None:
        # Marked retries take spare tokens only: they must not starve fresh work.
        r.place = ""
        # Nowhere listed that it may go to: said at once, without a token.
        answer = bool(r.pool.order) and (r.tenant.spare(now) if r.retry else r.tenant.offer(r, now))
        if answer is False:
            self._refuse(r, now)
        elif answer is None:
            r.place = "held"
            self._release(r.tenant, now)
        else:
            self._admit(r, now)

    def _pass_turn(self, turn: Turn, now: int) -> None:
        """Rule 5: whoever is over and has nothing out makes way for the next request of its key."""
        while turn.waiting and turn.waiting[0].over and not turn.waiting[0].out:
            turn.waiting.popleft()
            if turn.waiting:
                turn.waiting[0].turn_ns = turn.rest_ns
                self._later(turn.rest_ns, "turn", turn)
        if not turn.waiting:
            self._later(turn.rest_ns, "turn", turn)  # forgotten once its rest is over

    def _turn_due(self, turn: Turn, now: int) -> None:
        if turn.waiting and turn.waiting[0].place == "turn" and turn.waiting[0].has_turn(now):
            self._offer(turn.waiting[0], now)
        elif not turn.waiting and now >= turn.rest_ns:
            self.turns.pop(turn.key, None)

    def _admit(self, r: Request, now: int) -> None:
        r.place = ""
        part = OVER_PART if r.tenant.over else LINE_PART  # over-share traffic is refused first
        # A class with much time must not make the line too long for those with little.
        spare = min(r.give_up_ns - now, self.patience_ns)
        if r.pool.jammed and len(r.pool.line) * SECOND > self.rate.served * spare * part:
            self.rate.unplaced += 1  # the line is too long already: better said at once
            self._refuse(r, now)
            return
        r.pool.line.append(r)
        self._look_around(r, now)

    def _look_around(self, r: Request, now: int) -> None:
        r.place = "line"
        if self.fleet.looks:
            # Own counts say little where proxies are many: the drawn upstreams are asked, the request waits.
            # One question at a time is out at each: its answer serves all who wait for it. Where requests
            # come faster than answers, each would need a connection. Who owes one for long is passed over.
            drawn = dict.fromkeys(r.pool.draw(LOOKS, now))
            r.busy = []
            self._ask(r, [s for s in drawn if not s.asked_ns or now < s.asked_ns + self.look_ns], now)

    def _ask(self, r: Request, servers: list[Server], now: int) -> None:
        r.asked, r.asked_ns = servers, now
        for s in servers:
            if not s.asked_ns:
                s.asked_ns = now
                self.actions.append(api.Probe(s.id))
        self._later(now + self.look_ns, "look", r)

    def _look_on(self, r: Request, busy: list[Server], now: int) -> bool:
        """All who were asked have work: before it waits behind that, a few others are asked, once."""
        others = [s for s in r.pool.order[:r.pool.width] if s not in busy and self.fleet.fit(s, now)]
        if not others:
            return False
        r.busy = busy
        self._ask(r, self.rng.sample(others, min(LOOKS, len(others))), now)
        return True

    def _probed(self, e: api.ProbeResult, now: int) -> None:
        server = self.fleet.servers.get(e.upstream)
        if server is not None:
            if e.report is not None:
                each = self.crowding.each * server.pace
                server.heard(e.report.get("inflight", 0.0) * each, now)
            server.asked_ns = 0

    def _told(self, e: api.PeerMessage, now: int) -> None:
        """Another proxy has sent something to an upstream that it shares with this one."""
        if len(e.data) == TOLD.size:
            kind, number, units = TOLD.unpack(e.data)
            server = self.fleet.servers.get(number)
            if kind == SENT and server is not None:
                server.book(e.came_ns or now, units * TOLD_UNIT_NS)

    def _tell(self, r: Request, server: Server, work: float) -> None:
        units = max(1, min(0xFFFF, int(work / TOLD_UNIT_NS)))
        data = TOLD.pack(SENT, server.id, units)
        self.actions += [api.Tell(data, p) for p in r.pool.holders.get(server.id, ())
                         if p != self.settings.me]

    def _outcome(self, e: api.Outcome, now: int) -> None:
        r = self.requests.get(e.request)
        if r is None or r.attempts[e.attempt].result is not None:
            return
        a = r.attempts[e.attempt]
        a.result = e.result
        a.server.unreached = e.result is api.Result.CONNECT_FAILED
        r.spent = r.spent or e.spent
        server = a.server  # also of one that is listed no more: counts must come out even
        fleet = self.fleet
        if r.turn and e.result in (api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED):
            r.turn.rest_ns = now + self.settings.rules.turn_gap_ns
        if a.begun:  # it was told then, and has its place no more
            self.rate.bad += e.result not in (api.Result.OK, api.Result.CANCELLED)
            if e.complete:
                self._end(r, now)
            self._forget(r, now)
            return
        if e.result is api.Result.OK:
            server.did(a.sent_ns, now)
            self._answered(r, a, e.took_ns, now)
        elif e.result in (api.Result.FULL, api.Result.TIMEOUT, api.Result.CONNECT_FAILED, api.Result.RESET):
            if e.result is api.Result.FULL or self.crowding.crowded():
                self.crowding.feel(1.0, False, r.pool.width, now)
            self.rate.bad += 1
            busy = e.result in (api.Result.FULL, api.Result.TIMEOUT)
            if e.result is api.Result.TIMEOUT:
                self.crowding.crowd(a, e.took_ns)
            if e.result is not api.Result.RESET or fleet.broken(server):
                self._bar(a, now, a.expected if busy else SECOND / 4)
        elif e.result is api.Result.ERROR:
            self.rate.good += 1
            if fleet.judge(server, True):
                self._bar(a, now, SECOND / 4)
        if e.result in api.NEVER_RAN or e.result is api.Result.ERROR:
            server.unbook(a.sent_ns, a.work)
        self._frees(a)
        if e.complete:
            self._end(r, now)
        elif not r.over and not r.out and not r.begun:
            self._again(r, now)
        self._forget(r, now)

    def _bar(self, a: Attempt, now: int, base: float) -> None:
        self.fleet.bar(a, now, base)
        self._later(a.server.barred_ns, "pump", None)

    def _begun(self, r: Request, e: api.AnswerBegun, now: int) -> None:
        """Its answer is passed on from here. How long that takes is its client's matter: the time that counts
        is over, and the place in the window is free."""
        a = r.attempts[e.attempt]
        if a.result is not None or r.begun:
            return
        r.begun = a.begun = True
        self._answered(r, a, e.took_ns, now)
        self._frees(a)
        if self.settings.limits.may_cancel:
            self.actions += [api.Cancel(r.id, i) for i, o in enumerate(r.attempts)
                             if o.result is None and not o.begun]

    def _answered(self, r: Request, a: Attempt, took_ns: int, now: int) -> None:
        """Learn from an answer that took so long."""
        server, fleet = a.server, self.fleet
        self.crowding.note(r, a, took_ns)
        self.crowding.feel(took_ns / r.cls.aim_ns, bool(r.pool.blocked_ns), r.pool.width, now)
        late = a.sent_ns + took_ns > r.aim_ns
        self.rate.good += not late
        self.rate.bad += late  # what a crowded fleet shows first
        fleet.judge(server, False)
        fleet.breaks -= 0.02 * fleet.breaks
        server.breaks = 0
        if server.strikes:
            server.strikes = server.barred_ns = 0

    def _frees(self, a: Attempt) -> None:
        """An attempt has its place in the window and at its upstream no more."""
        self.out -= 1
        self.stuck -= a.overdue
        a.server.inflight -= 1
        self.fleet.forget(a.server)

    def _forget(self, r: Request, now: int) -> None:
        if r.over and not r.out and r.id in self.requests:
            del self.requests[r.id]
            if r.turn:
                self._pass_turn(r.turn, now)

    def _again(self, r: Request, now: int) -> None:
        """Nothing is out and nothing was served: another attempt, or the final answer."""
        if r.attempts and any(r.may_send(s, now, self.settings.limits)
                              for s in self._choices(r) or r.pool.order[:1]) and now < r.give_up_ns:
            r.pool.line.appendleft(r)
            self._look_around(r, now)
        else:
            self._refuse(r, now)

    def _choices(self, r: Request) -> list[Server] | None:
        """Where a request that may have run may go again; None: anywhere."""
        first = next((a for a in r.attempts if a.may_have_run), None)
        if first is None or r.cls.effect is api.Effect.SAFE or r.cls.scope is api.Scope.ALL:
            return None
        return [s for s in r.pool.order if r._same_group(s, first.server)]

    def _refuse(self, r: Request, now: int) -> None:
        """The final answer of a request that is not served: refused if that is true, else failed."""
        if r.denied:
            self.actions.append(api.Fail(r.id, r.denied))
        elif r.may_refuse():
            limits = self.settings.limits
            back = self.rng.uniform(0.25, 1.0) * min(limits.max_retry_after_ns, SECOND)
            self.actions.append(api.Refuse(r.id, int(back) if limits.retry_after else 0))
        else:
            self.actions.append(api.Fail(r.id))
        self._end(r, now)

    def _end(self, r: Request, now: int) -> None:
        if r.place == "held":
            r.tenant.leave(r)
        elif r.place == "line":
            r.pool.line.remove(r)
        r.place = ""
        r.over = True
        if self.settings.limits.may_cancel:
            for i, a in enumerate(r.attempts):
                if a.result is None:
                    self.actions.append(api.Cancel(r.id, i))
        self._forget(r, now)

    def _list(self, e: api.ListUpdate, now: int) -> None:
        if e.kind is api.ListKind.FAILED:
            # Calls are spread and backed off: discovery does not grow with the fleet.
            self.subscribed = False
            self.failures += 1
            wait = SECOND * min(8.0, 2.0 ** (self.failures - 1)) * self.rng.uniform(0.5, 1.5)
            self._later(now + int(min(wait, self.settings.rules.ask_within_ns * 0.8)), "subscribe", None)
        else:
            self.failures = self.failures if e.kind is api.ListKind.CACHED else 0
            self.fleet.learn(e, now)

    def _look(self, what: str, about: Request | Throttle | Turn | None, extra: int, now: int) -> None:
        if isinstance(about, Turn):
            self._turn_due(about, now)
        elif isinstance(about, Request):
            if what == "give up" and about.place and now >= about.give_up_ns:
                self.rate.unplaced += about.place == "line"
                self._refuse(about, now)
            elif what == "overdue":
                self._overdue(about, extra, now)
        elif what == "subscribe" and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe(True))
        elif isinstance(about, Throttle):
            about.waking = False
            self._release(about, now)

    def _release(self, t: Throttle, now: int) -> None:
        for r in t.released(now):
            self._admit(r, now)
        if t.held and not t.waking:
            t.waking = True
            self._later(now + int((1 - t.credit) / t.rate * SECOND) + 1, "token", t)

    def _overdue(self, r: Request, number: int, now: int) -> None:
        """An attempt is out longer than its upstream should take: it may stand still."""
        a = r.attempts[number]
        if a.result is not None or a.begun:
            return
        a.overdue = True
        self.stuck += 1
        self._bar(a, now, a.expected)
        if r.pool.line or now + a.expected > r.aim_ns:
            return
        server = r.pool.pick(now, self._choices(r))
        if server and r.may_send(server, now, self.settings.limits) and r.tenant.spare(now):
            self._send(r, server, now)

    def _pump(self, now: int) -> None:
        """Serve each line in order while an upstream has room."""
        for pool in self.fleet.pools.values():
            self._serve(pool, now)
            if not pool.line:
                pool.blocked_ns = 0

    def _serve(self, pool: Pool, now: int) -> None:
        fleet, limits = self.fleet, self.settings.limits
        jammed = False
        while pool.line:
            r = pool.line[0]
            if r.asked and now < r.asked_ns + self.look_ns and any(s.heard_ns < r.asked_ns for s in r.asked):
                break  # who waits for an answer to a question is not held up by a want of room
            pool.blocked_ns = pool.blocked_ns or now
            # What stands still must not fill the window while other answers are quick; but where they are
            # slow too, upstreams are crowded, and work whose answer is late still runs there.
            window = max(1.0, self.crowding.window * pool.able(now))
            freed = max(1.0, STUCK_PART * window) * (1 if self.crowding.crowded() else 2)
            if self.out - min(self.stuck, freed) >= window:
                jammed = True
                break
            choices = self._choices(r) if r.attempts else None
            fresh = [s for s in r.asked if s.heard_ns >= r.asked_ns and fleet.fit(s, now)]
            quick = 4 * (now - r.asked_ns) < self.look_ns  # else time is short here, and questions cost some
            if (quick and fresh and not r.busy and all(s.ahead(now, 0.0) > 0 for s in fresh)
                    and self._look_on(r, fresh, now)):
                break
            fresh += [s for s in r.busy if fleet.fit(s, now)]
            r.asked = []
            server = pool.pick(now, fresh or choices)
            full = server is not None and self._full(r, server, now)
            if full or (server is None and choices is not None):
                # All that it may go to are busy, or would answer late: it must not stop the line.
                self.rate.unplaced += 1
                self._refuse(r, now)
            elif server is not None:
                pool.line.popleft()
                r.place = ""
                if r.may_send(server, now, limits):
                    self._send(r, server, now)
                else:
                    self._refuse(r, now)
            else:
                jammed = True
                break
        pool.jammed = jammed

    def _full(self, r: Request, server: Server, now: int) -> bool:
        """Would the first that is free answer late, by the work that is known to be ahead of it? An idle one
        is never too slow to try."""
        ahead = server.ahead(now, self.crowding.each)
        return ahead > 0 and ahead + self.crowding.work(r) * server.pace > LATE_PART * (r.aim_ns - now)

    def _send(self, r: Request, server: Server, now: int) -> None:
        each = self.crowding.each
        ahead, work = server.ahead(now, each), self.crowding.work(r) * server.pace
        self.out += 1
        server.inflight += 1
        expected = min(max(1.0, ahead + work), r.cls.deadline_ns)
        opens = server.inflight > server.most
        server.most = max(server.most, server.inflight)
        r.attempts.append(Attempt(server, now, expected, 1 + ahead / each, ahead, work, opens))
        server.book(now, work)
        if self.fleet.tells:
            self._tell(r, server, work)
        if self.fleet.cold(server, now):
            server.barred_ns = now + self.fleet.cold_gap_ns(server, now)
            self._later(server.barred_ns, "pump", None)
        # Out until its client gives up, also past the aim: its upstream works on, and whoever is refused asks
        # for the same work once more. This hurts where upstreams stop at once what is called off.
        self.actions.append(api.Send(r.id, server.id))
        if not r.coming:
            self._watch(r, len(r.attempts) - 1, now)

    def _watch(self, r: Request, number: int, now: int) -> None:
        """Look again at an attempt when its upstream should have answered."""
        overdue = now + int(r.attempts[number].expected * (MARGIN + 3 * self.crowding.spread))
        self._later(overdue, "overdue", r, number)

    def _feedback(self, now: int) -> None:
        self.checked_ns = now
        if self.known is not None:
            self._tidy(now)
        fleet = self.fleet
        for pool in fleet.pools.values():
            pool.reach(now)
        self.rate.adjust(now, self.crowding.stress - self.crowding.ease, blind=not fleet.tells)
        fleet.borne += 0.2 * (self.rate.sent / max(1, fleet.main.width) - fleet.borne)
        for t in self.rate.throttles:
            self._release(t, now)
