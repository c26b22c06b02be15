"""What outsiders read, pinned: bytes, keys, flags and answers.

Outsiders are the platform and its clients, operators and their files and scripts, processes of another
release, a state file on a disk, and the recorded traces of seeded schedules. The tests here hold literal
bytes and words, and name nothing of `lanelift`: only `names.py` and `settings_names.py` do.
Whoever renames something in `lanelift` changes these two and nothing else in this package; a test that then
fails has found a change of what the software does.
"""
