"""One emulated machine: a node process and its settings file."""

import os
import pathlib
import sys

from vanillamast_platform.boot_file import METRICS_PORT

from vanillamast_testing.managed_process import ManagedProcess

PORTS = {
    "inbound": 18300,
    "outbound": 18304,
    "ready": 18302,
    "control": 18306,
    "app": 18301,
    "internal": 18320,
    "metrics": METRICS_PORT,
}

SETTINGS_TEMPLATE = """\
node = "{name}"
role = "node"
class = "sidecar"
ip = "{host}"
zone = "{zone}"
region = "r"
internal_ports = [{internal},{internal_last}]
seeds = []
heartbeat_s = 0.3
app_addr = "{host}:{app}"
service = "{service}"
[listen]
inbound = "{host}:{inbound}"
outbound = "{host}:{outbound}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[bounds]
drain_s = 2
grace_s = 6
apply_s = 2
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 60
expose_share = 0.1
expose_slack = 50
rollback_s = 5
[limits]
memory_mb = 300
[platform]
addr = "{store}"
ttl_min_s = 1
"""


class Machine:
    """The node process of one machine.

    Attributes:
      name: Name of the machine.
      host: Loopback address of the machine.
      zone: Failure domain.
      service: Service of its backend server.
      store_host: Address at which this machine reaches the store.
      settings: Settings file of the node.
      process: Process of the node.
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        service: str,
        store_host: str,
        store_port: int,
        folder: pathlib.Path,
    ):
        self.name = name
        self.host = host
        self.zone = zone
        self.service = service
        self.store_host = store_host
        self.settings = folder / f"{name}.toml"
        self.process = ManagedProcess(
            name,
            [sys.executable, "-m", "vanillamast_platform"],
            folder / f"{name}.log",
            dict(os.environ, VANILLAMAST_BOOT=str(self.settings)),
        )
        ports = {**PORTS, "internal_last": PORTS["internal"] + 10}
        self.settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                host=host,
                zone=zone,
                service=service,
                store=f"{store_host}:{store_port}",
                **ports,
            )
        )

    def url(self, port: str, path: str) -> str:
        """Returns the URL of a path on one of the ports in `PORTS`."""
        return f"http://{self.host}:{PORTS[port]}{path}"
