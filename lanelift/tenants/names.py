"""When two names are the same tenant's.

Names are compared as directories compare them, without regard to case, Unicode form or runs of spaces
(caseIgnoreMatch, RFC 4517, 4.2.11, with the preparation of RFC 4518).
"""

from __future__ import annotations

import unicodedata


def folded(text: str) -> str:
    """Return the form under which a tenant is stored and looked up."""
    if not text.isascii():
        # Case folding can undo the normal form, and normalizing the folding: `ﬀ`, `İ` and others need both
        # twice.
        text = unicodedata.normalize("NFKC", unicodedata.normalize("NFKC", text).casefold())
        return " ".join(unicodedata.normalize("NFKC", text.casefold()).split())
    return " ".join(text.lower().split())
