"""Pins the outer interfaces: bytes, keys, flags and answers.

These are read by the platform and its clients, by operators with their files and scripts, by processes of
another release and by state files on a disk, and they determine the recorded traces of seeded schedules. The
tests contain literal bytes and words, and no names of `lanelift`: only `names.py` and `settings_names.py` do.
After a rename in `lanelift`, change these two modules and nothing else in this package. If a test then fails,
the behaviour of the software has changed.
"""
