"""Layouts of the deployments: what runs where, and the configuration."""

import importlib.resources
from typing import Any, Literal

import msgspec
import yaml
from vanillamast_core import VanillamastError
from vanillamast_core.configuration import (
    Configuration,
    ConfigurationError,
    load_configuration,
    validate,
)

LAYOUTS = ("tintero", "moreton_coast")


class LayoutError(VanillamastError):
    """A layout is malformed or does not fit its configuration."""


class LayoutFile(msgspec.Struct, forbid_unknown_fields=True):
    """Schema of a layout file; the core validates `configuration`."""

    region: str
    failure_domains: tuple[str, ...]
    instances: dict[str, dict[str, int]]
    reads: tuple[str, ...]
    posts: tuple[str, ...]
    on_deadline: Literal["hold", "finish"]
    configuration: dict[str, Any]


class Layout(msgspec.Struct, frozen=True):
    """A deployment.

    Attributes:
      name: Name of the layout.
      region: Its region.
      failure_domains: Its failure domains.
      instances: Number of instances by service and failure domain.
      reads: Paths that callers read.
      posts: Paths of non-idempotent posts.
      on_deadline: What its moves do at the deadline if evidence is
        inconclusive.
      configuration: The first configuration.
      text: The same configuration as YAML, to publish.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    instances: dict[str, dict[str, int]]
    reads: tuple[str, ...]
    posts: tuple[str, ...]
    on_deadline: Literal["hold", "finish"]
    configuration: Configuration
    text: str

    def servers(self, service: str) -> int:
        """Returns the number of a service's instances."""
        return sum(self.instances[service].values())


def load_layout(name: str) -> Layout:
    """Returns one of the package's layouts.

    Raises:
      LayoutError: There is no such layout, or it is wrong.
    """
    if name not in LAYOUTS:
        raise LayoutError(f"no layout {name}; known: {', '.join(LAYOUTS)}")
    folder = importlib.resources.files("vanillamast_testing") / "layouts"
    return parse_layout(name, (folder / f"{name}.yaml").read_text())


def parse_layout(name: str, text: str) -> Layout:
    """Returns the layout that a YAML text holds.

    Raises:
      LayoutError: It is malformed, or an instance is of a service or in a
        failure domain that the layout does not have.
    """
    try:
        file = msgspec.convert(yaml.safe_load(text), LayoutFile)
        published = yaml.safe_dump(file.configuration, sort_keys=False)
        configuration = load_configuration(published)
    except (msgspec.MsgspecError, yaml.YAMLError, ConfigurationError) as error:
        raise LayoutError(f"{name}: {error}") from error
    problems = [str(problem) for problem in validate(configuration)]
    problems += _misplaced(file, configuration)
    if problems:
        raise LayoutError(f"{name}: {'; '.join(problems)}")
    return Layout(
        name=name,
        region=file.region,
        failure_domains=file.failure_domains,
        instances=file.instances,
        reads=file.reads,
        posts=file.posts,
        on_deadline=file.on_deadline,
        configuration=configuration,
        text=published,
    )


def _misplaced(file: LayoutFile, configuration: Configuration) -> list[str]:
    problems = []
    for service, counts in file.instances.items():
        if service not in configuration.services:
            problems.append(f"instances.{service}: no such service")
        problems += [
            f"instances.{service}.{domain}: no such failure domain"
            for domain in counts
            if domain not in file.failure_domains
        ]
    problems += [
        f"services.{service}: no instances"
        for service in configuration.services
        if service not in file.instances
    ]
    return problems
