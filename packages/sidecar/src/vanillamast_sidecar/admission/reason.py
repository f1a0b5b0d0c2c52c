"""Why a request was refused, retried or given up."""

import enum


class Reason(enum.StrEnum):
    """Reasons that appear in logs, metrics and between nodes."""

    NONE = ""
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNAUTHENTICATED = "unauthenticated"
    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    BUSY = "busy"
    LEAVING = "leaving"
    STOPPING = "stopping"
    WRONG_INSTANCE = "wrong_instance"
    VERSION_CLOSED = "version_closed"
    STALE = "stale"
    SHED_BY_SERVER = "shed_by_server"
    CONNECT_FAILED = "connect_failed"
    PEER_LOST = "peer_lost"
    PEER_SILENT = "peer_silent"
    CONNECTION_LOST = "connection_lost"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TIMEOUT = "timeout"
    CALLER_GONE = "caller_gone"
    NOT_CONFIRMED = "not_confirmed"
    HELD = "held"
    EVACUATED = "evacuated"
    BUDGET_SPENT = "budget_spent"
    OVER_CAP = "over_cap"
