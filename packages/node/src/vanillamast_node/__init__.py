"""The vanillamast node: one process beside each backend server."""

import importlib
from typing import Any

# Public names and their modules, which are imported at first use, so that
# importing the package loads no HTTP library.
_MODULES = {
    "CallerApp": "caller_app",
    "CallerListener": "caller_listener",
    "InterruptedRequest": "caller_listener",
    "ForwardingContext": "forwarding_context",
    "ForwardingSettings": "forwarding_settings",
    "tune_garbage_collection": "process_tuning",
    "UpstreamPool": "upstream_pool",
}

__all__ = list(_MODULES)


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
    return getattr(module, name)
