"""Case folding and normalization of tenant names.

Names are compared as directories compare them, without regard to case, Unicode form or runs of spaces
(caseIgnoreMatch, RFC 4517, 4.2.11, with the preparation of RFC 4518).
"""

from __future__ import annotations

import unicodedata


def folded(text: str) -> str:
    """Return the folded form of a name, by which tenants are stored and looked up."""
    if not text.isascii():
        # Case folding can return text that is not normalized, and normalization can return text that is not
        # folded: `ﬀ`, `İ` and others need both steps twice.
        text = unicodedata.normalize("NFKC", unicodedata.normalize("NFKC", text).casefold())
        return " ".join(unicodedata.normalize("NFKC", text.casefold()).split())
    return " ".join(text.lower().split())
