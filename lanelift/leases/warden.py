"""The former name of `watchdog.py`, kept as a module to be started: `python -m lanelift.leases.warden`.

A holder of an earlier release starts its watchdog under this name, also after the files were replaced by this
release's; and a holder of this release does, also after they were replaced by an earlier one's. Without it
the command would not be run, or not under its deadlines.
"""

from __future__ import annotations

import sys

from lanelift.leases.watchdog import run_from_arguments

if __name__ == "__main__":
    sys.exit(run_from_arguments())
