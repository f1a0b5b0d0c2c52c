"""Checks the organisations of a configuration."""

from collections.abc import Iterable

from vanillamast_sidecar.errors import InvalidConfigurationError
from vanillamast_sidecar.organisations.organisation import Organisation

# The name is a header field of every request and appears in messages.
MAX_NAME_BYTES = 255
MAX_SHOWN_CHARACTERS = 60  # Of a name in an error message.
FIRST_VISIBLE, LAST_VISIBLE = "!", "~"
# What a field with a key has beside it: `authorization`, `Bearer `, `: ` and
# the line end.
KEY_FIELD_BYTES = len("authorization") + len("Bearer ") + 4


def check_organisations(
    organisations: Iterable[Organisation], header_bytes: int
) -> None:
    """Checks that each key identifies one organisation and can be sent.

    Args:
      organisations: Organisations of a configuration.
      header_bytes: Longest header section that callers may send.

    Raises:
      InvalidConfigurationError: A fault; the message names organisations and
        no key.
    """
    names: set[str] = set()
    names_by_key: dict[str, str] = {}
    for organisation in organisations:
        name = organisation.name
        _check_name(name)
        if name in names:
            raise InvalidConfigurationError(
                f"two organisations are named {_show(name)}"
            )
        names.add(name)
        for key in organisation.api_keys:
            _check_key(key, name, header_bytes)
            other = names_by_key.setdefault(key, name)
            if other != name:
                raise InvalidConfigurationError(
                    f"organisations {_show(other)} and {_show(name)} share an"
                    " API key"
                )


def _check_name(name: str) -> None:
    if not name:
        raise InvalidConfigurationError("an organisation has no name")
    if (
        not name.isprintable()
        or name != name.strip()
        or len(name.encode()) > MAX_NAME_BYTES
    ):
        raise InvalidConfigurationError(
            f"the name of organisation {_show(name)} does not fit in a header"
            " field"
        )


def _check_key(key: str, name: str, header_bytes: int) -> None:
    if not key:
        raise InvalidConfigurationError(
            f"organisation {_show(name)} has an empty API key"
        )
    # Blanks would be ambiguous, and other characters have no fixed encoding.
    if (
        min(key) < FIRST_VISIBLE
        or max(key) > LAST_VISIBLE
        or KEY_FIELD_BYTES + len(key) > header_bytes
    ):
        raise InvalidConfigurationError(
            f"an API key of organisation {_show(name)} cannot be sent in a"
            " header field"
        )


def _show(name: str) -> str:
    return repr(name[:MAX_SHOWN_CHARACTERS])
