"""The emulated operator."""

import json
from typing import Any

from vanillamast_testing.emulator.store import EmulatedStore, Partitions

HOST = "tintero.example"


class Operator:
    """Publishes configurations and starts moves.

    Attributes:
      store: The store.
      version: Version of the last configuration.
      routes: Routes of the last configuration by name.
      organisations: Organisations of the last configuration by name.
      services: Services of the last configuration by name.
    """

    def __init__(self, store: EmulatedStore):
        self.store = store
        self.version = 0
        self.routes: dict[str, dict[str, Any]] = {}
        self.organisations: dict[str, dict[str, Any]] = {}
        self.services: dict[str, dict[str, Any]] = {}

    def set_route(self, name: str, service: str, **fields: Any) -> None:
        """Adds or replaces a route of the next configuration."""
        spec = {
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": "idempotent",
            "timeout_s": 2.0,
            "target_latency_s": 0.8,
            "priority": 1,
            "max_attempts": 2,
            "service": service,
        }
        spec.update(fields)
        self.routes[name] = spec

    def set_organisation(self, name: str, *keys: str, **fields: Any) -> None:
        """Adds or replaces an organisation of the next configuration."""
        self.organisations[name] = {"api_keys": list(keys), **fields}

    def set_service(self, name: str, **spec: Any) -> None:
        """Adds or replaces a service of the next configuration."""
        self.services[name] = spec

    async def publish(self) -> int:
        """Publishes a configuration; returns its version."""
        self.version += 3
        resources: list[dict[str, Any]] = [
            {"entry_type": "routes", "metadata": {"name": name}, "spec": spec}
            for name, spec in self.routes.items()
        ]
        resources.extend(
            {"entry_type": "tenants", "metadata": {"name": name}, "spec": spec}
            for name, spec in self.organisations.items()
        )
        resources += [
            {"entry_type": "services", "metadata": {"name": name}, "spec": spec}
            for name, spec in self.services.items()
        ]
        resources.append(
            {
                "entry_type": "limits",
                "metadata": {},
                "spec": {
                    "header_bytes": 16384,
                    "max_body_bytes": 1 << 20,
                    "header_timeout_s": 3,
                    "idle_timeout_s": 15,
                },
            }
        )
        value = {"version": self.version, "resources": resources}
        await self.store.put("keyed.op", "config", json.dumps(value).encode())
        return self.version

    async def start_move(
        self, service: str, version: str, over_s: float
    ) -> None:
        """Starts a move of a service's traffic to a server version."""
        value = {"service": service, "to": version, "over_s": over_s}
        await self.store.put(
            "keyed.op", f"rollout/{service}", json.dumps(value).encode()
        )

    async def restore_store(self, partitions: Partitions) -> None:
        """Returns the store to an older copy and writes again what it lost."""
        lost = await self.store.restore(partitions)
        for key, value in lost.items():
            await self.store.put("keyed.op", key, value)

    def move_state(self, service: str) -> str:
        """Returns a move's state in the store, "" without one."""
        value = self.store.newest("keyed.status", f"rollout/{service}")
        return json.loads(value)["state"] if value is not None else ""

    async def evacuate(self, zone: str) -> None:
        """Evacuates a failure domain."""
        await self.store.put("keyed.op", f"evacuate/{zone}", b"{}")

    async def withdraw_evacuation(self, zone: str) -> None:
        """Withdraws the evacuation of a failure domain."""
        await self.store.put("keyed.op", f"evacuate/{zone}", b"")
