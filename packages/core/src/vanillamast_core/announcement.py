"""What an instance announces about its node and its backend server."""

import msgspec

from vanillamast_core.server_state import ServerState


class Announcement(msgspec.Struct, array_like=True, frozen=True):
    """State of one instance: its node and its backend server.

    Only the instance itself creates new announcements. Of two announcements of
    one instance, the one with the higher incarnation is newer.

    Attributes:
      instance: Name of the instance, unique in the mesh.
      incarnation: Increased by the instance at every change. It starts with
        the wall time in milliseconds, so that it increases across restarts.
      region: Region of the instance.
      failure_domain: Failure domain of the instance.
      peer_address: "ip:port" of the node's listener for peers.
      operator_address: "ip:port" of the node's listener for operators.
      service: Service of the backend server, "" if there is none.
      server_version: Version of the backend server.
      server_address: "ip:port" of the backend server.
      state: State of the backend server.
      slots: Requests that the backend server runs at once.
      connections: Connections that the backend server accepts.
      serving_since_ms: Wall time when the backend server began to serve; 0
        if it does not serve.
      leaving: Whether the node is stopping as planned.
    """

    instance: str
    incarnation: int
    region: str
    failure_domain: str
    peer_address: str
    operator_address: str = ""
    service: str = ""
    server_version: str = ""
    server_address: str = ""
    state: ServerState = ServerState.ABSENT
    slots: int = 9
    connections: int = 120
    serving_since_ms: int = 0
    leaving: bool = False
