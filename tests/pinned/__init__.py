"""What outsiders read, pinned: bytes, keys, flags and answers."""
