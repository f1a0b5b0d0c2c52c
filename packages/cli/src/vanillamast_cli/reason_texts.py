"""Explanations of the reasons in the nodes' logs."""

REASON_TEXTS = {
    "no_configuration": "the node had not read a configuration yet",
    "no_route": "no route of the configuration in force matches",
    "no_server": "no ready server of the service could be reached",
    "overloaded": "no server was expected to answer in time",
    "leaving": "the server had announced that it leaves",
    "stopping": "the node was about to end",
    "wrong_instance": "another server runs at that address now",
    "version_closed": "a move of traffic had closed the server's version",
    "stale": "the call was held up between the nodes and was not run",
    "shed_by_server": "the server refused although its limit was kept",
    "connect_failed": "the server or its node refused a connection",
    "peer_lost": "the connection to the node beside the server ended",
    "peer_silent": "the node beside the server stopped answering",
    "connection_lost": "the server broke the connection off",
    "malformed": "the server's answer was damaged or not its own",
    "too_large": "the server's answer exceeded the limits, perhaps without end",
    "timeout": "the server did not answer within the time-out",
    "caller_gone": "the caller left before the answer",
    "not_confirmed": "the first node no longer wanted the request to run",
    "budget_spent": "no retry was left in the budget",
}
