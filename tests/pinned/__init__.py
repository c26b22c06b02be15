"""Pins the outer interfaces: bytes, keys, flags and answers.

The platform and its clients, the files and scripts of operators, processes of another release and state files
on a disk depend on these interfaces, which also determine the recorded traces of seeded schedules. The tests
contain literal bytes and words; only `names.py` and `settings_names.py` use names of `lanelift`.
After a rename in `lanelift`, change these two modules and nothing else in this package. If a test then fails,
the behaviour of the software has changed.
"""
