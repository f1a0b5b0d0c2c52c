"""The exception family of vanillamast."""


class VanillamastError(Exception):
    """Base of every failure that vanillamast raises."""


class UnknownEntryError(VanillamastError):
    """A registry was asked for a name that nothing registered."""

    def __init__(self, subject: str, name: object, known: list[str]):
        super().__init__(
            f"unknown {subject} {name!r}; known: {', '.join(known)}"
        )
        self.subject = subject
        self.name = name
        self.known = known


class DuplicateEntryError(VanillamastError):
    """Two entries were registered in one registry under the same name."""

    def __init__(self, subject: str, name: object):
        super().__init__(f"{subject} {name!r} is registered twice")
        self.subject = subject
        self.name = name


class CodecError(VanillamastError):
    """Bytes from a peer or from the log do not decode to a known type."""
