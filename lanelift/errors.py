"""The root of all errors that lanelift raises on purpose."""


class LaneliftError(Exception):
    """Base class of lanelift's own errors; each subclass says what failed and carries it as fields."""
