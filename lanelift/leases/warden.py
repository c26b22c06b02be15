"""The former name of `watchdog.py`, kept as an entry point: `python -m lanelift.leases.warden`.

A holder starts its watchdog under this name, because the files may have been replaced by those of another
software version while the holder runs. Holders of earlier versions find this module in the files of this
version, and holders of this version find it in the files of earlier ones. Without this module the command
would not be run, or would run without its deadlines.
"""

from __future__ import annotations

import sys

from lanelift.leases.watchdog import run_from_arguments

if __name__ == "__main__":
    sys.exit(run_from_arguments())
