"""Why the key of a request was refused."""

import enum


class RefusalReason(enum.StrEnum):
    """Reasons that appear in logs and metrics."""

    MISSING = "missing"
    MALFORMED = "malformed"
    AMBIGUOUS = "ambiguous"
    UNKNOWN = "unknown"
