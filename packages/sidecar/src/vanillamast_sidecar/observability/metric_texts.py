"""Help texts of a node's metrics."""

METRIC_TEXTS = {
    "caller_connections": "Open connections of callers.",
    "config_version": "Version of the configuration in force.",
    "held_requests": "Requests that are held, at the last end of a server.",
    "limited_organisations": "Organisations above their usage cap, on a hub.",
    "move_conflicts": "Writes of a move's state that another record beat.",
    "peer_silences": "Nodes that stopped answering on an open connection.",
    "peers": "Other nodes that this node knows.",
    "request_duration": "Time from a request's arrival to its answer.",
    "requests": "Requests of callers by how they ended.",
    "retries": "Further attempts by whether the budget allowed them.",
    "server_duration": "Time that requests held a slot of the server.",
    "server_ends": "Servers that ended while they ran requests.",
    "server_failures": "Requests without a usable answer of the server.",
    "server_rate_limit": "Requests a second that the server takes; 0: any.",
    "server_refusals": "Requests that were not sent to the server.",
    "server_requests": "Requests that were sent to the server.",
    "server_running": "Requests that the server runs.",
    "server_waiting": "Requests that wait for a slot of the server.",
    "store_connected": "1 if the store answered the last call, else 0.",
    "store_reader": "1 if this node reads the store for its domain, else 0.",
}
