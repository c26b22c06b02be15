"""Revisions of this repository, as arguments of the benchmarks that compare with one."""

from __future__ import annotations

import argparse
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent


def revision(text: str) -> str:
    """A revision that git knows here; argparse's own error otherwise."""
    known = ["git", "rev-parse", "-q", "--verify", f"{text}^{{commit}}"]
    if subprocess.run(known, cwd=ROOT, stdout=subprocess.DEVNULL).returncode:
        raise argparse.ArgumentTypeError(f"{text!r} is no revision of this repository")
    return text
