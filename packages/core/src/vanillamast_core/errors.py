"""Exceptions of vanillamast."""


class VanillamastError(Exception):
    """Base class of the exceptions of vanillamast."""


class UnknownEntryError(VanillamastError):
    """A name is not registered."""

    def __init__(self, subject: str, name: object, known: list[str]):
        super().__init__(
            f"unknown {subject} {name!r}; known: {', '.join(known)}"
        )
        self.subject = subject
        self.name = name
        self.known = known


class DuplicateEntryError(VanillamastError):
    """A name is registered twice in one registry."""

    def __init__(self, subject: str, name: object):
        super().__init__(f"{subject} {name!r} is registered twice")
        self.subject = subject
        self.name = name


class CodecError(VanillamastError):
    """Bytes from a peer or from the log cannot be decoded to a known type."""
