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
SETTER_BY_KIND: dict[ObjectKind, Any] = {
    "services": SetService,
    "classes": SetClass,
    "routes": SetRoute,
    "moves": SetMove,
}
KIND_BY_SETTER: dict[type, ObjectKind] = {
    setter: kind for kind, setter in SETTER_BY_KIND.items()
}


def change_target(change: Change) -> tuple[ObjectKind, str]:
    """Returns the kind and the name of the object that a change affects."""
    if isinstance(change, Remove):
        return change.kind, change.name
    return KIND_BY_SETTER[type(change)], change.name


def diff(old: Configuration, new: Configuration) -> list[Change]:
    """Returns the changes that turn one configuration into another.

    Objects that are equal in both appear in no change.
    """
    changes: list[Change] = []
    for kind, setter in SETTER_BY_KIND.items():
        old_objects, new_objects = getattr(old, kind), getattr(new, kind)
        for name in sorted(new_objects):
            if old_objects.get(name) != new_objects[name]:
                changes.append(setter(name, new_objects[name]))
        for name in sorted(old_objects.keys() - new_objects.keys()):
            changes.append(Remove(kind, name))
    return changes


def apply_changes(
    old: Configuration, changes: tuple[Change, ...] | list[Change]
) -> Configuration:
    """Returns the configuration after changes, without modifying the old one.

    Raises:
      ConfigurationError: A change removes an object that does not exist.
    """
    objects_by_kind = {
        kind: dict(getattr(old, kind)) for kind in SETTER_BY_KIND
    }
    for change in changes:
        kind, name = change_target(change)
        if not isinstance(change, Remove):
            objects_by_kind[kind][name] = change.value
        elif objects_by_kind[kind].pop(name, None) is None:
            raise ConfigurationError(kind, name, f"a name in {kind}")
    return Configuration(**objects_by_kind)
