"""Problems that validation finds in a configuration."""

import enum

import msgspec


class ProblemKind(enum.StrEnum):
    """Kinds of problems that make a configuration invalid."""

    NAME_FORM = "name_form"
    RESERVED_NAME = "reserved_name"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_CALLER = "unknown_caller"
    DUPLICATE_ROUTE = "duplicate_route"
    PATH_FORM = "path_form"
    METHOD_FORM = "method_form"
    EMPTY = "empty"
    OUT_OF_RANGE = "out_of_range"
    MOVE_STEPS = "move_steps"
    SAME_VERSION = "same_version"
    MOVE_OVERLAP = "move_overlap"
    MOVE_VERSION = "move_version"


class ValidationProblem(msgspec.Struct, frozen=True):
    """One reason why a configuration is invalid as a whole.

    Attributes:
      kind: Kind of the problem.
      path: Location, such as "routes.chapter.service".
      value: The invalid value.
      allowed: Description of the allowed values.
    """

    kind: ProblemKind
    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}; allowed: {self.allowed}"
