"""Log messages of the tenant store, which are not repeated while they still apply. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence, Set
from dataclasses import dataclass, field

MAX_NAME_CHARACTERS = 200  # limits the length of a name in the log
# Limits the logged problems of entries per reading; `lanelift tenants check` lists all.
MAX_PROBLEMS_LOGGED = 20
NAMES_SHOWN = 3  # limits the names that a log message shows of one list
ENTRY, NAME = "entry ", "name "  # prefixes of subjects, before an entry's id and a tenant's name

Notify = Callable[[str, str], None]


@dataclass(slots=True)
class Notices:
    """Remembers the last message on each subject, so that the next reading does not repeat the message.

    At most one subject exists for each entry read and for each tenant. The other subjects are "bound",
    "behind" and "removals".

    Attributes:
        notify: Logs a message; its arguments are the level and the text.
        texts: By subject: the text of the last message.
        problems: Number of validation problems of single entries in this reading.
    """

    notify: Notify
    texts: dict[str, str] = field(default_factory=dict)
    problems: int = 0

    def begin_reading(self) -> None:
        """Reset the number of validation problems."""
        self.problems = 0

    def end_reading(self) -> None:
        """Log how many validation problems were not logged one by one."""
        if self.problems > MAX_PROBLEMS_LOGGED:
            more = self.problems - MAX_PROBLEMS_LOGGED
            self.notify("warning", f"{more} more entries with mistakes: see lanelift tenants check")

    def validation_problem(self, subject: str, text: str) -> None:
        """Log a problem of one entry, if it is new and among the first of this reading."""
        if self.texts.get(subject) != text:
            self.texts[subject] = text
            self.problems += 1
            if self.problems <= MAX_PROBLEMS_LOGGED:
                self.notify("warning", text)

    def log_once(self, level: str, subject: str, text: str) -> None:
        """Log a text, unless the last message on the subject has the same text."""
        if self.texts.get(subject) != text:
            self.texts[subject] = text
            self.notify(level, text)

    def forget(self, subject: str) -> None:
        """Forget the last message on a subject, as the message does not apply any more."""
        self.texts.pop(subject, None)

    def forget_others(self, prefix: str, kept: Set[str]) -> None:
        """Forget each subject with this prefix, unless `kept` contains the part after the prefix."""
        start = len(prefix)
        known = [subject for subject in self.texts if subject.startswith(prefix)]
        for subject in known:
            if subject[start:] not in kept:
                del self.texts[subject]


def shortened(name: str) -> str:
    """Return a name shortened for the log, as names in a directory may be of any length."""
    return name if len(name) <= MAX_NAME_CHARACTERS else name[:MAX_NAME_CHARACTERS] + "…"


def listed(names: Sequence[str]) -> str:
    """Return the first few names and the number of the others, as text."""
    shown = ", ".join(shortened(name) for name in names[:NAMES_SHOWN])
    return shown + (f" and {len(names) - NAMES_SHOWN} more" if len(names) > NAMES_SHOWN else "")
