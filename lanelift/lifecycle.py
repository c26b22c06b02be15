"""Where a balancer is in its life, and what that means for its clients' connections. Pure: no I/O, no clock.

    SERVING  --evacuate-->  EVACUATED  --rejoin-->  SERVING
    either   --leave-->     LEAVING                            (SIGTERM; there is no way back)

A balancer that is evacuated or leaves answers all that still comes; each answer is the last on its
connection. Only one that leaves ends when nothing is open.
"""

from __future__ import annotations

from enum import Enum


class Stage(Enum):
    SERVING = "serving"
    EVACUATED = "evacuated"
    LEAVING = "leaving"


# After the first no, new connections keep coming: the front asks every 0.1 s and deals out for 0.2 to 0.4 s
# more. Those at rest are ended after that and not before: their clients would come straight back. It is far
# within the 4 s in which an evacuated balancer must be empty, and the 0.7 s that SIGTERM leaves.
NEWCOMERS_S = 0.5
# After SIGTERM the process ends this long over the longest deadline: SIGKILL comes 0.7 s over it, with longer
# ones counted as 3 s. What would wait beyond the end is answered this long before it.
LONGEST_S, LEAVE_S, LAST_S = 3.0, 0.6, 0.03


class Lifecycle:
    """`shared`: the clients' address outlives this process, and its successor answers there as well."""

    def __init__(self, shared: bool = False) -> None:
        self.shared = shared
        self.stage = Stage.SERVING

    def evacuate(self) -> bool:
        """Empty the balancer; False if it was being emptied already."""
        if self.stage is not Stage.SERVING:
            return False
        self.stage = Stage.EVACUATED
        return True

    def rejoin(self) -> bool:
        """The drain ends; False if it leaves, which has no end."""
        if self.stage is not Stage.LEAVING:
            self.stage = Stage.SERVING
        return self.stage is Stage.SERVING

    def leave(self) -> bool:
        """SIGTERM; False if it has come before."""
        if self.stage is Stage.LEAVING:
            return False
        self.stage = Stage.LEAVING
        return True

    @property
    def last(self) -> bool:
        """An answer is the last on its connection."""
        return self.stage is not Stage.SERVING

    def wanted(self, serves: bool) -> bool:
        """What `/ready` says: shall the front deal out connections to this address?"""
        return serves and (self.stage is Stage.SERVING or (self.stage is Stage.LEAVING and self.shared))

    def takes(self, serves: bool) -> bool:
        """Are connections accepted? On a shared address only by whoever can serve: another may."""
        return serves or not self.shared
