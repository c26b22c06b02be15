"""When two names are one tenant's: as directories compare them, without regard to case, Unicode form or runs
of spaces (caseIgnoreMatch, RFC 4517, 4.2.11, with the preparation of RFC 4518)."""

from __future__ import annotations

import unicodedata


def folded(text: str) -> str:
    """The form under which a tenant is kept and looked up."""
    if not text.isascii():
        # Folding can undo the form and the form the folding: `ﬀ`, `İ` and their like want both twice.
        text = unicodedata.normalize("NFKC", unicodedata.normalize("NFKC", text).casefold())
        return " ".join(unicodedata.normalize("NFKC", text.casefold()).split())
    return " ".join(text.lower().split())
