"""What the tenant store logs: each text once for as long as it holds. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence, Set
from dataclasses import dataclass, field

MAX_NAME_CHARACTERS = 200  # of an entry's name that are logged
MAX_PROBLEMS_LOGGED = 20  # of single entries by one reading: `lanelift tenants check` lists all
NAMES_SHOWN = 3  # of a list
ENTRY, NAME = "entry ", "name "  # how subjects begin that are an entry, and a tenant's name

Notify = Callable[[str, str], None]


@dataclass(slots=True)
class Notices:
    """Remembers by subject what was logged last, so that no reading repeats it.

    Subjects are at most one for each entry read, one for each tenant and three others.

    Attributes:
        notify: Takes the level and the text.
        texts: By subject: the last text.
        problems: Validation problems of single entries in this reading.
    """

    notify: Notify
    texts: dict[str, str] = field(default_factory=dict)
    problems: int = 0

    def begin_reading(self) -> None:
        """Count validation problems anew."""
        self.problems = 0

    def end_reading(self) -> None:
        """Log how many validation problems were not logged one by one."""
        if self.problems > MAX_PROBLEMS_LOGGED:
            more = self.problems - MAX_PROBLEMS_LOGGED
            self.notify("warning", f"{more} more entries with mistakes: see lanelift tenants check")

    def validation_problem(self, subject: str, text: str) -> None:
        """Log a problem of one entry, if it is among the first of this reading."""
        if self.texts.get(subject) != text:
            self.texts[subject] = text
            self.problems += 1
            if self.problems <= MAX_PROBLEMS_LOGGED:
                self.notify("warning", text)

    def log_once(self, level: str, subject: str, text: str) -> None:
        """Log a text, unless it is the subject's last one."""
        if self.texts.get(subject) != text:
            self.texts[subject] = text
            self.notify(level, text)

    def forget(self, subject: str) -> None:
        """Forget what was logged of a subject: it does not hold any more."""
        self.texts.pop(subject, None)

    def forget_others(self, prefix: str, kept: Set[str]) -> None:
        """Forget all subjects with this prefix, but for those whose rest is among `kept`."""
        start = len(prefix)
        known = [subject for subject in self.texts if subject.startswith(prefix)]
        for subject in known:
            if subject[start:] not in kept:
                del self.texts[subject]


def shortened(name: str) -> str:
    """Return a name as it is logged: a directory's names may be of any length."""
    return name if len(name) <= MAX_NAME_CHARACTERS else name[:MAX_NAME_CHARACTERS] + "…"


def listed(names: Sequence[str]) -> str:
    """Return the first few names, and how many more there are."""
    shown = ", ".join(shortened(name) for name in names[:NAMES_SHOWN])
    return shown + (f" and {len(names) - NAMES_SHOWN} more" if len(names) > NAMES_SHOWN else "")
