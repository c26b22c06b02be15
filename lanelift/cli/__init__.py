"""The command line, `lanelift`. `python -m lanelift`, which the platform starts, does not import it."""
