"""Differences between configurations."""

from typing import Any, Literal

from vanillamast_core.configuration.change import (
    Change,
    Remove,
    SetClass,
    SetMove,
    SetRoute,
    SetService,
)
from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.configuration_error import (
    ConfigurationError,
)

ObjectKind = Literal["services", "routes", "classes", "moves"]
SETTERS: dict[ObjectKind, Any] = {
    "services": SetService,
    "classes": SetClass,
    "routes": SetRoute,
    "moves": SetMove,
}
KINDS: dict[type, ObjectKind] = {
    setter: kind for kind, setter in SETTERS.items()
}


def change_target(change: Change) -> tuple[ObjectKind, str]:
    """Returns the kind and the name of the object that a change touches."""
    if isinstance(change, Remove):
        return change.kind, change.name
    return KINDS[type(change)], change.name


def diff(old: Configuration, new: Configuration) -> list[Change]:
    """Returns the changes that turn one configuration into another.

    Objects that are the same in both appear in no change.
    """
    changes: list[Change] = []
    for kind, setter in SETTERS.items():
        before, after = getattr(old, kind), getattr(new, kind)
        for name in sorted(after):
            if before.get(name) != after[name]:
                changes.append(setter(name, after[name]))
        for name in sorted(before.keys() - after.keys()):
            changes.append(Remove(kind, name))
    return changes


def apply_changes(
    old: Configuration, changes: tuple[Change, ...] | list[Change]
) -> Configuration:
    """Returns a configuration after changes; the old one stays as it is.

    Raises:
      ConfigurationError: A change removes an object that does not exist.
    """
    tables = {kind: dict(getattr(old, kind)) for kind in SETTERS}
    for change in changes:
        kind, name = change_target(change)
        if not isinstance(change, Remove):
            tables[kind][name] = change.value
        elif tables[kind].pop(name, None) is None:
            raise ConfigurationError(kind, name, f"a name in {kind}")
    return Configuration(**tables)
