"""The steps of the demo."""

import asyncio
import time
from typing import Any

import msgspec
import yaml

from vanillamast_testing.demo_report import DemoReport
from vanillamast_testing.deployment import Deployment
from vanillamast_testing.fleet import Fleet, choose_seeds
from vanillamast_testing.instance_spec import InstanceSpec
from vanillamast_testing.load_settings import LoadSettings
from vanillamast_testing.open_loop import LoadGenerator
from vanillamast_testing.operator_command import (
    CommandResult,
    run_operator_command,
)
from vanillamast_testing.outcome_audit import audit_outcomes
from vanillamast_testing.run_counts import RunCounts, merge_runs

CONVERGENCE_BOUND_S = 12.0
CONTROL_BOUND_BYTES_PER_S = 2048.0
GOOD_MOVE_S = 40
FAILING_SHARE_BOUND = 0.1
ROLLBACK_BOUND_S = 60.0
RATE_PER_S = 60.0
POST_SHARE = 0.2
POLL_S = 0.2
IDLE_S = 10.0


class DemoRun:
    """Starts a deployment, moves traffic, causes failures and reports.

    Attributes:
      fleet: The processes.
      deployment: The deployment to show.
      report: The findings.
      load: The callers, None before they start.
      planned: Specs of all instances so far.
    """

    def __init__(self, fleet: Fleet, deployment: Deployment):
        self.fleet = fleet
        self.deployment = deployment
        self.report = DemoReport()
        self.load: LoadGenerator | None = None
        self.planned: list[InstanceSpec] = []

    async def run(self) -> DemoReport:
        """Runs all steps."""
        await self.start_fleet()
        await self.publish_first()
        load = asyncio.create_task(self.start_load())
        try:
            await asyncio.sleep(2.0)
            await self.move_good_version()
            await self.move_failing_version()
            await self.publish_again()
            await self.show_state()
            await self.count_control_bytes()
        finally:
            assert self.load is not None
            self.load.stop()
            await load
        await self.audit()
        await self.stop_fleet()
        return self.report

    async def start_fleet(self) -> None:
        """Starts the platform's stand-in and all instances."""
        specs = self.old_instances()
        print_step(
            f"starting {len(specs)} instances of {self.deployment.layout.name}"
        )
        await self.fleet.platform.start()
        self.fleet.add(specs, choose_seeds(specs))
        await self.fleet.start([spec.name for spec in specs])

    def old_instances(self) -> list[InstanceSpec]:
        """Returns the instances of the layout."""
        placed = [
            (service, domain)
            for service, domains in self.deployment.layout.instances.items()
            for domain, count in domains.items()
            for _ in range(count)
        ]
        return [
            self.spec(index, service, f"{index + 1}", "1", domain)
            for index, (service, domain) in enumerate(placed)
        ]

    def spec(
        self, index: int, service: str, suffix: str, version: str, domain: str
    ) -> InstanceSpec:
        """Returns an instance; the first of each domain accepts callers."""
        taken = {spec.failure_domain for spec in self.planned}
        spec = InstanceSpec(
            name=f"{service}-{suffix}",
            region=self.deployment.layout.region,
            failure_domain=domain,
            service=service,
            version=version,
            host=self.fleet.host(index),
            edge=domain not in taken,
        )
        self.planned.append(spec)
        return spec

    async def publish_first(self) -> None:
        """Publishes the configuration and measures the time to all nodes."""
        path = self.fleet.settings.directory / "configuration.yaml"
        path.write_text(self.deployment.layout.text)
        await self.fleet.wait_for(
            self.fleet.running(), lambda status: status["offset"] > 0, 30.0
        )
        await self.publish(path, "first")

    async def publish(self, path: Any, label: str) -> None:
        """Publishes a file through one node and waits for all others.

        The time is from the start of the command's process to the time at
        which the last node reports that it applied the version.
        """
        started = time.time()
        result = await self.run_command(f'publish "{path}" as "{label}"')
        version = (await self.operator_node_status())["version"]
        await self.fleet.wait_for(
            self.fleet.running(),
            lambda status: status["applied_version"] >= version,
            CONVERGENCE_BOUND_S * 2,
        )
        took_s = await self.last_applied(version) - started
        self.report.add(
            f"from the command to the last node, {label!r}",
            f"{took_s:.2f} s",
            f"at most {CONVERGENCE_BOUND_S:.0f} s",
            result.status == 0 and 0 < took_s <= CONVERGENCE_BOUND_S,
        )

    async def last_applied(self, version: int) -> float:
        """Returns the wall time at which the last node applied a version."""
        addresses = [
            self.fleet.instances[n].spec.operators for n in self.fleet.running()
        ]
        answers = await self.fleet.client.get_all(addresses, "/v1/events")
        times = [
            event["time"]
            for answer in answers.values()
            for event in (answer or {}).get("events", [])
            if event["kind"] == "configuration.applied"
            and event["version"] == version
        ]
        return max(times)

    async def start_load(self) -> None:
        """Sends reads and posts through the nodes that accept callers."""
        edges = [i.spec for i in self.fleet.instances.values() if i.spec.edge]
        self.load = LoadGenerator(
            LoadSettings(
                targets=tuple(spec.callers for spec in edges),
                rate=RATE_PER_S,
                duration_s=600.0,
                reads=self.deployment.layout.reads,
                posts=self.deployment.layout.posts,
                post_share=POST_SHARE,
            )
        )
        await self.load.run()

    async def move_good_version(self) -> None:
        """Moves traffic to a good version while parts of the mesh fail."""
        service = self.deployment.good_move_service
        await self.start_new_version(service, badness="{}")
        started = time.monotonic()
        await self.run_command(self.move_command(service, "good"))
        failures = asyncio.create_task(self.cause_failures())
        state = await self.wait_for_move(
            "good", {"done", "settled", "taken_back", "stopped"}, 90.0
        )
        took_s = time.monotonic() - started
        await failures
        self.report.add(
            "good version done in time",
            f"{state} after {took_s:.1f} s",
            f"done within {GOOD_MOVE_S} s",
            state in ("done", "settled") and took_s <= GOOD_MOVE_S,
        )

    async def cause_failures(self) -> None:
        """Kills and restarts nodes, an instance and the platform's log."""
        victims = [
            instance
            for instance in self.fleet.instances.values()
            if not instance.spec.edge and instance.spec.version == "1"
        ]
        print_step(f"killing the node of {victims[0].spec.name}")
        await victims[0].node.kill()
        await asyncio.sleep(2.0)
        print_step("killing the platform's log")
        await self.fleet.platform.kill()
        await victims[0].node.start()
        await asyncio.sleep(3.0)
        print_step("starting the platform's log again")
        await self.fleet.platform.start()
        print_step(f"restarting the node of {victims[1].spec.name} as planned")
        await victims[1].node.stop(20.0)
        await victims[1].node.start()

    async def move_failing_version(self) -> None:
        """Moves traffic to a failing version and waits for its rollback."""
        service = self.deployment.failing_move_service
        await self.start_new_version(service, badness='{"kind": "fails"}')
        assert self.load is not None
        first = len(self.load.records)
        started = time.monotonic()
        await self.run_command(self.move_command(service, "bad"))
        state = await self.wait_for_move(
            "bad", {"done", "settled", "taken_back", "stopped"}, 90.0
        )
        took_s = time.monotonic() - started
        share = await self.failing_version_share(first)
        self.report.add(
            "bad version taken back",
            f"{state} after {took_s:.1f} s",
            f"taken_back within {ROLLBACK_BOUND_S:.0f} s",
            state == "taken_back" and took_s <= ROLLBACK_BOUND_S,
        )
        self.report.add(
            "share of the service's requests that it got",
            f"{share:.3f}",
            f"at most {FAILING_SHARE_BOUND}",
            share <= FAILING_SHARE_BOUND,
        )

    async def failing_version_share(self, first: int) -> float:
        """Returns the failing version's share of its service's runs."""
        assert self.load is not None
        sent = {r.request_id for r in self.load.records[first:]}
        runs = {"1": 0, "2": 0}
        for instance in self.fleet.instances.values():
            spec = instance.spec
            if spec.service != self.deployment.failing_move_service:
                continue
            counts = await self.run_counts(spec)
            runs[spec.version] += sum(
                count
                for request, count in counts.runs.items()
                if request in sent
            )
        return runs["2"] / max(1, sum(runs.values()))

    async def start_new_version(self, service: str, badness: str) -> None:
        """Starts instances of version 2 next to the old ones."""
        index = len(self.fleet.instances)
        domains = self.deployment.layout.failure_domains
        specs = [
            self.spec(index + n, service, f"new-{n + 1}", "2", domain)
            for n, domain in enumerate(domains)
        ]
        seeds = choose_seeds([i.spec for i in self.fleet.instances.values()])
        self.fleet.add(specs, seeds)
        for spec in specs:
            server = self.fleet.instances[spec.name].server
            server.arguments += (f"--badness={badness}",)
        print_step(f"starting {len(specs)} instances of {service} version 2")
        names = [spec.name for spec in specs]
        await self.fleet.start(names)
        await self.fleet.wait_for(
            names, lambda status: status["server_state"] == "serving", 30.0
        )

    async def publish_again(self) -> None:
        """Publishes one more change after the failures."""
        answer = await self.fleet.client.get(
            self.operator_address(), "/v1/configuration"
        )
        assert answer is not None
        configuration = answer["configuration"]
        configuration["routes"]["help"] = {
            "path": "/help",
            "service": self.deployment.good_move_service,
        }
        path = self.fleet.settings.directory / "next.yaml"
        path.write_text(yaml.safe_dump(configuration))
        await self.publish(path, "second")

    async def show_state(self) -> None:
        """Prints the applied versions and the moves."""
        result = await self.run_command("show versions")
        print(result.output)
        result = await self.run_command("show moves")
        print(result.output)

    async def count_control_bytes(self) -> None:
        """Measures the control bytes of each node while nothing changes.

        The bound is for the target's rates (830 changes and 94 restarts a
        day). The demo makes many times as many in a minute, so the bytes of
        the whole run are printed but not checked.
        """
        before = await self.control_bytes()
        await asyncio.sleep(IDLE_S)
        after = await self.control_bytes()
        rates = [(after[n] - before[n]) / IDLE_S for n in before.keys() & after]
        worst = max(rates)
        self.report.add(
            "control bytes a second and node, at rest",
            f"mean {sum(rates) / len(rates):.0f}, worst {worst:.0f}",
            f"at most {CONTROL_BOUND_BYTES_PER_S:.0f}",
            worst <= CONTROL_BOUND_BYTES_PER_S,
        )
        total = sum(after.values()) / len(after)
        print_step(f"control bytes of a node in the whole run: {total:.0f}")

    async def control_bytes(self) -> dict[str, float]:
        """Returns the control bytes so far by node."""
        addresses = [
            self.fleet.instances[n].spec.operators for n in self.fleet.running()
        ]
        answers = await self.fleet.client.get_all(addresses, "/v1/metrics")
        return {
            address: answer["peer_bytes"] + answer["platform_bytes"]
            for address, answer in answers.items()
            if answer
        }

    async def audit(self) -> None:
        """Compares the answers to callers with the runs of backend servers."""
        assert self.load is not None
        counts = merge_runs(
            [
                await self.run_counts(instance.spec)
                for instance in self.fleet.instances.values()
            ]
        )
        result = audit_outcomes(self.load.records, counts)
        print(f"callers: {self.load.summary()}")
        for name, value in result.violations().items():
            self.report.add(name, value, "0", value == 0)

    async def stop_fleet(self) -> None:
        """Stops all instances as planned."""
        print_step("stopping all instances")
        instances = list(self.fleet.instances.values())
        statuses = await asyncio.gather(*(i.stop() for i in instances))
        clean = sum(status == 0 for status in statuses)
        self.report.add(
            "planned stops without a cut-off request",
            f"{clean} of {len(statuses)}",
            "all",
            clean == len(statuses),
        )

    async def wait_for_move(
        self, name: str, states: set[str], timeout_s: float
    ) -> str:
        """Waits until a move is in one of the states; returns its state."""
        deadline = time.monotonic() + timeout_s
        last = ""
        while time.monotonic() < deadline:
            answer = await self.fleet.client.get(
                self.operator_address(), "/v1/moves"
            )
            for move in (answer or {}).get("moves", []):
                if move["name"] != name:
                    continue
                text = f"move {name}: {move['state']}, share {move['share']}"
                if text != last:
                    print_step(text)
                    last = text
                if move["state"] in states:
                    return move["state"]
            await asyncio.sleep(POLL_S)
        return "unfinished"

    async def run_command(self, text: str) -> CommandResult:
        """Runs a command of the operators' language and shows it."""
        print_step(f"vanillamast '{text}'")
        result = await run_operator_command(self.operator_address(), text)
        if result.status != 0:
            print(result.output)
            self.report.add(
                f"command {text!r}", f"status {result.status}", "0", False
            )
        return result

    async def operator_node_status(self) -> dict[str, Any]:
        """Returns the status of the node that operators use."""
        answer = await self.fleet.client.get(
            self.operator_address(), "/v1/status"
        )
        assert answer is not None
        return answer

    def move_command(self, service: str, name: str) -> str:
        """Returns the command that starts a move from version 1 to 2."""
        return (
            f"move {service} from 1 to 2 in {GOOD_MOVE_S}s named {name}"
            f" at deadline {self.deployment.layout.on_deadline}"
        )

    def operator_address(self) -> str:
        """Returns the address of the node that operators use."""
        return next(iter(self.fleet.instances.values())).spec.operators

    async def run_counts(self, spec: InstanceSpec) -> RunCounts:
        """Returns how often a backend server ran each request."""
        answer = await self.fleet.client.get(spec.backend, "/control/runs")
        return msgspec.convert(answer or {}, RunCounts)


def print_step(text: str) -> None:
    """Prints a step with the time."""
    print(f"{time.strftime('%H:%M:%S')}  {text}", flush=True)
