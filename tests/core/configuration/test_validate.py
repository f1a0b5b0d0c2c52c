"""Tests of the validation of whole configurations."""

import msgspec
import pytest
from vanillamast_core.configuration import (
    CallerClass,
    Configuration,
    MoveSpec,
    ProblemKind,
    Route,
    Service,
    validate,
)

VALID = Configuration(
    services={"browse": Service("1"), "publish": Service("1")},
    routes={
        "chapter": Route("/chapters", "browse", callers=("edge", "publish")),
        "post": Route("/chapters", "publish", methods=("POST",)),
        "root": Route("/", "browse", caller_class="batch"),
    },
    classes={"batch": CallerClass(priority=9)},
    moves={"move": MoveSpec("browse", "1", "2", 1.8e9)},
)

# Kind of the problem, kind and name of the object, and the fields that replace
# those in VALID.
FAULTS = [
    (ProblemKind.NAME_FORM, "services", "a/b", {"version": "1"}),
    (ProblemKind.NAME_FORM, "classes", "", {}),
    (ProblemKind.RESERVED_NAME, "services", "edge", {"version": "1"}),
    (ProblemKind.EMPTY, "services", "publish", {"version": ""}),
    (ProblemKind.OUT_OF_RANGE, "services", "browse", {"slots": 0}),
    (ProblemKind.OUT_OF_RANGE, "services", "browse", {"retry_ratio": 1.1}),
    (ProblemKind.OUT_OF_RANGE, "classes", "batch", {"max_share": 0.0}),
    (ProblemKind.OUT_OF_RANGE, "classes", "batch", {"max_share": float("nan")}),
    (ProblemKind.OUT_OF_RANGE, "routes", "root", {"timeout_ms": 0}),
    (ProblemKind.OUT_OF_RANGE, "moves", "move", {"deadline": float("inf")}),
    (ProblemKind.UNKNOWN_SERVICE, "routes", "root", {"service": "gone"}),
    (ProblemKind.UNKNOWN_CLASS, "routes", "root", {"caller_class": "gone"}),
    (ProblemKind.UNKNOWN_CALLER, "routes", "root", {"callers": ("gone",)}),
    (ProblemKind.EMPTY, "routes", "root", {"callers": ()}),
    (ProblemKind.EMPTY, "routes", "root", {"methods": ()}),
    (ProblemKind.METHOD_FORM, "routes", "root", {"methods": ("get",)}),
    (ProblemKind.DUPLICATE_ROUTE, "routes", "root", {"path": "/chapters"}),
    *(
        (ProblemKind.PATH_FORM, "routes", "root", {"path": path})
        for path in ("", "a", "/a/", "//a", "/a/../b", "/.", "/a?b", "/é")
    ),
    (ProblemKind.PATH_FORM, "routes", "root", {"path": "/a%2Fb"}),
    (ProblemKind.PATH_FORM, "routes", "root", {"path": "/a\n"}),
    *(
        (ProblemKind.MOVE_STEPS, "moves", "move", {"steps": steps})
        for steps in ((), (0.5,), (0.0, 1.0), (0.5, 0.5, 1.0), (1.0, 1.1))
    ),
    (ProblemKind.SAME_VERSION, "moves", "move", {"new": "1"}),
    (ProblemKind.EMPTY, "moves", "move", {"new": ""}),
    (ProblemKind.UNKNOWN_SERVICE, "moves", "move", {"service": "gone"}),
    (ProblemKind.MOVE_VERSION, "moves", "move", {"old": "0"}),
    (
        ProblemKind.MOVE_OVERLAP,
        "moves",
        "other",
        {"service": "browse", "old": "1", "new": "3", "deadline": 1.8e9},
    ),
]


def with_fault(kind: str, name: str, fields: dict) -> Configuration:
    """Returns VALID with one object changed or added."""
    objects = dict(getattr(VALID, kind))
    if name in objects:
        objects[name] = msgspec.structs.replace(objects[name], **fields)
    else:
        objects[name] = type(next(iter(objects.values())))(**fields)
    return msgspec.structs.replace(VALID, **{kind: objects})


class TestValidate:
    """Each fault is reported, and nothing else."""

    def test_valid_configuration_has_no_problem(self):
        """Guards against rules that reject a normal configuration."""
        assert validate(VALID) == []

    @pytest.mark.parametrize(("problem", "kind", "name", "fields"), FAULTS)
    def test_one_fault_is_one_kind_of_problem(
        self, problem, kind, name, fields
    ):
        """Guards against a fault that is not reported under its own kind."""
        problems = validate(with_fault(kind, name, fields))
        assert {found.kind for found in problems} == {problem}
        assert all(found.path.startswith(kind) for found in problems)

    def test_every_kind_of_problem_has_a_case(self):
        """Guards against a rule that no test exercises."""
        assert {fault[0] for fault in FAULTS} == set(ProblemKind)

    def test_moves_that_ended_bind_no_service(self):
        """Guards against ended moves that block a service forever."""
        configuration = with_fault("moves", "move", {"old": "0"})
        assert validate(configuration, {"move"}) == []
