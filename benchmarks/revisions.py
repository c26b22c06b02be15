"""Revisions of this repository, as arguments of benchmarks that compare two of them."""

from __future__ import annotations

import argparse
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent


def revision(text: str) -> str:
    """Return a revision of this repository. Raises ArgumentTypeError if git does not know it."""
    known = ["git", "rev-parse", "-q", "--verify", f"{text}^{{commit}}"]
    if subprocess.run(known, cwd=ROOT, stdout=subprocess.DEVNULL).returncode:
        raise argparse.ArgumentTypeError(f"{text!r} is not a revision of this repository")
    return text
