"""The base class of lanelift's own exceptions."""


class LaneliftError(Exception):
    """Base class of lanelift's own exceptions; each subclass names a failure, with its details as fields."""
