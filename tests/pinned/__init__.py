"""What outsiders read of the fleet, its leases and its membership, pinned to the byte.

Outsiders are the processes of another release, a state file on a disk, and the recorded traces of seeded
schedules. The tests here hold literal bytes, and name no class, function or field of `lanelift`: only
`names.py` does. Whoever renames something in `lanelift` changes `names.py` and nothing else in this package;
a test that then fails has found a change of what the software does.
"""
