"""Commands that check and publish configuration files."""

import dataclasses
import pathlib

import msgspec
from vanillamast_core.configuration import (
    Configuration,
    ConfigurationError,
    diff,
    load_configuration,
)

from vanillamast_cli.context import Context
from vanillamast_cli.errors import InvalidFileError
from vanillamast_cli.publishing import (
    find_ended_moves,
    get_configuration,
    publish_changes,
    require_valid,
)
from vanillamast_cli.report import Report
from vanillamast_cli.verb import Verb, verbs


def read_configuration(file: str) -> Configuration:
    """Returns the configuration in a file.

    Raises:
      InvalidFileError: The file cannot be read or is malformed.
    """
    try:
        return load_configuration(pathlib.Path(file).read_text())
    except OSError as error:
        raise InvalidFileError(f"{file}: {error.strerror}") from error
    except (ConfigurationError, UnicodeDecodeError) as error:
        raise InvalidFileError(f"{file}: {error}") from error


@verbs.register("check")
@dataclasses.dataclass(frozen=True, slots=True)
class CheckFile(Verb):
    """Checks a configuration file without a node."""

    file: str

    usage = "check FILE"
    summary = "checks a configuration file; needs no node"
    example = "vanillamast 'check mesh.yaml'"

    async def run(self, context: Context) -> Report:
        """Checks the file."""
        configuration = read_configuration(self.file)
        require_valid(configuration)
        counts = {
            kind: len(getattr(configuration, kind))
            for kind in configuration.__struct_fields__
        }
        text = ", ".join(f"{count} {kind}" for kind, count in counts.items())
        return Report({"valid": True, **counts}, [f"valid: {text}"])


@verbs.register("publish")
@dataclasses.dataclass(frozen=True, slots=True)
class PublishFile(Verb):
    """Publishes the changes that a file makes."""

    file: str
    label: str | None = None

    usage = "publish FILE [as LABEL]"
    summary = "shows what a file changes and publishes it as a version"
    example = "vanillamast 'publish mesh.yaml as winter-theme'"

    async def run(self, context: Context) -> Report:
        """Publishes the file."""
        wanted = read_configuration(self.file)
        current = await get_configuration(context)
        wanted = keep_moves(current.configuration, wanted)
        ended = await find_ended_moves(context, wanted)
        require_valid(wanted, ended & current.configuration.moves.keys())
        changes = diff(current.configuration, wanted)
        if not changes:
            text = f"nothing changes: version {current.version} is the same"
            return Report({"version": current.version, "changes": []}, [text])
        return await publish_changes(
            context, current, changes, self.label or ""
        )


def keep_moves(current: Configuration, wanted: Configuration) -> Configuration:
    """Returns a configuration with the current moves added.

    A file describes routes and services. A move that it does not name goes on:
    leaving a name out is not a request to stop it.
    """
    moves = {**current.moves, **wanted.moves}
    return msgspec.structs.replace(wanted, moves=moves)
