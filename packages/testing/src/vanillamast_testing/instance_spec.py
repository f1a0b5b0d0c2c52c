"""One instance of a fleet on loopback."""

import dataclasses

CALLERS_PORT = 8000
PEERS_PORT = 8001
SERVERS_PORT = 8002
OPERATORS_PORT = 8003
BACKEND_PORT = 8080


@dataclasses.dataclass(slots=True, frozen=True)
class InstanceSpec:
    """What runs on an instance, and where.

    Attributes:
      name: Name of the instance.
      region: Its region.
      failure_domain: Its failure domain.
      service: Service of its backend server.
      version: Version of its backend server.
      host: Loopback address that stands for the machine.
      edge: Whether callers outside the mesh connect to its node.
    """

    name: str
    region: str
    failure_domain: str
    service: str
    version: str
    host: str
    edge: bool = False

    @property
    def callers(self) -> str:
        """Address of the node's listener for callers."""
        return f"{self.host}:{CALLERS_PORT}"

    @property
    def peers(self) -> str:
        """Address of the node's listener for peers."""
        return f"{self.host}:{PEERS_PORT}"

    @property
    def servers(self) -> str:
        """Address of the node's listener for its backend server."""
        return f"{self.host}:{SERVERS_PORT}"

    @property
    def operators(self) -> str:
        """Address of the node's listener for operators."""
        return f"{self.host}:{OPERATORS_PORT}"

    @property
    def backend(self) -> str:
        """Address of the backend server."""
        return f"{self.host}:{BACKEND_PORT}"
