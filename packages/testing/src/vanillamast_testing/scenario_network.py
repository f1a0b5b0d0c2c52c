"""The in-memory network with a request path on each node."""

from collections.abc import Callable

from vanillamast_testing.core_network import CoreNetwork
from vanillamast_testing.core_request_path import CoreRequestPath
from vanillamast_testing.simulated_backend import SimulatedBackend
from vanillamast_testing.simulated_server import SimulatedServer

DRAIN_DELAY_S = 3.0  # `ForwardingSettings.drain_delay_s`.
DRAIN_LIMIT_S = 30.0  # `ForwardingSettings.drain_limit_s`.
DRAIN_POLL_S = 0.1


class ScenarioNetwork(CoreNetwork):
    """Nodes whose requests go through the real request router.

    Attributes:
      paths: Request path of each node's last process.
      backends: Simulated backend servers by instance.
      accepting: Nodes that accept new requests of callers.
    """

    def __init__(self, seed: int):
        super().__init__(seed)
        self.paths: dict[str, CoreRequestPath] = {}
        self.backends: dict[str, SimulatedBackend] = {}
        self.accepting: set[str] = set()

    def add_instance(
        self,
        name: str,
        region: str,
        failure_domain: str,
        service: str,
        version: str = "1",
        edge: bool = False,
    ) -> SimulatedServer:
        """Adds an instance that is not started yet."""
        server = super().add_instance(
            name, region, failure_domain, service, version, edge
        )
        self.backends[name] = SimulatedBackend(self, name)
        return server

    def start(self, name: str) -> None:
        """Starts a node's process with an empty state."""
        super().start(name)
        adapter = self.adapter(name)
        path = CoreRequestPath(self, name, adapter)
        adapter.on_request_path_effect = path.apply_effect
        self.paths[name] = path
        self.accepting.add(name)

    def kill_instance(self, name: str) -> None:
        """Kills node and backend server, as a machine failure does."""
        super().kill_instance(name)
        self.accepting.discard(name)
        self.backends[name].kill()

    def pause_instance(self, name: str) -> None:
        """Pauses both processes."""
        self.servers[name].paused = True
        self.pause(name)

    def resume_instance(self, name: str) -> None:
        """Resumes both processes."""
        self.servers[name].paused = False
        self.backends[name].resume()
        self.resume(name)

    def stop_instance(self, name: str) -> None:
        """Stops the node, then the backend server, as planned."""
        self.stop(name)
        generation = self.nodes[name].generation
        until = self.now + DRAIN_DELAY_S + DRAIN_LIMIT_S

        def close() -> None:
            if self.nodes[name].generation != generation:
                return
            self.accepting.discard(name)
            if self.paths[name].calls and self.now < until:
                self.call_later(DRAIN_POLL_S, close)
            else:
                self.kill(name)
                end_server()

        def end_server() -> None:
            if self.backends[name].busy and self.now < until:
                self.call_later(DRAIN_POLL_S, end_server)
            elif self.nodes[name].mesh is None:
                self.servers[name].running = False
                self.backends[name].kill()

        self.call_later(DRAIN_DELAY_S, close)

    def reachable(self, first: str, second: str) -> bool:
        """Returns whether packets reach the other machine."""
        return (
            not self.separated(first, second) and self.nodes[second].reachable
        )

    def transmit(
        self, source: str, target: str, action: Callable[[], None]
    ) -> None:
        """Runs an action after the delay to another machine.

        A cut between the machines drops it.
        """

        def arrive() -> None:
            if not self.separated(source, target):
                action()

        self.call_later(self.delay_s(source, target), arrive)

    def call_node(
        self,
        source: str,
        target: str,
        action: Callable[[CoreRequestPath], None],
    ) -> None:
        """Calls a node's request path.

        A node that has exited or is cut off does not answer.
        """

        def arrive() -> None:
            path = self.paths.get(target)
            if path is not None:
                path.run_in_process(lambda: action(path))

        if target:
            self.transmit(source, target, arrive)
