"""Tests of the layouts of the deployments."""

import importlib.resources

import pytest
from vanillamast_core.configuration import EDGE, RouteFound
from vanillamast_core.configuration.route_index import RouteIndex
from vanillamast_testing import LayoutError, load_layout
from vanillamast_testing.layout import LAYOUTS, parse_layout

SERVERS = {  # Design section 1.2.
    "tintero": {"browse": 4, "publish": 3, "exports": 3, "reader": 3},
    "moreton_coast": {
        "rota-board": 3,
        "crew-desk": 3,
        "pen-records": 3,
        "net-survey": 3,
    },
}


class TestLayout:
    """What runs where."""

    @pytest.mark.parametrize("name", LAYOUTS)
    def test_layout_is_the_deployment_of_the_design(self, name: str):
        """Guards against a demo of another deployment than the stated one."""
        layout = load_layout(name)
        counts = {s: layout.servers(s) for s in layout.configuration.services}
        assert counts == SERVERS[name]
        assert len(layout.failure_domains) == 3
        for counts in layout.instances.values():
            assert set(counts) == set(layout.failure_domains)

    @pytest.mark.parametrize("name", LAYOUTS)
    def test_callers_paths_have_routes(self, name: str):
        """Guards against traffic that nodes refuse for lack of a route."""
        layout = load_layout(name)
        routes = layout.configuration.routes
        index = RouteIndex(
            {n: route for n, route in routes.items() if EDGE in route.callers}
        )
        for method, paths in (("GET", layout.reads), ("POST", layout.posts)):
            for path in paths:
                match = index.match(method, f"{path}/7")
                assert isinstance(match, RouteFound)
                assert match.route.is_idempotent(method) is (method == "GET")

    @pytest.mark.parametrize(
        ("old", "new", "problem"),
        [
            ("uy-sur-1: 2", "uy-sur-9: 2", "no such failure domain"),
            ("  publish: {uy", "  publsh: {uy", "no such service"),
            ("service: browse, timeout", "service: x, timeout", "browse"),
            ("region:", "reigon:", "unknown field"),
        ],
    )
    def test_mistakes_are_named(self, old: str, new: str, problem: str):
        """Guards against a mistake in a layout that shows only in the demo."""
        folder = importlib.resources.files("vanillamast_testing") / "layouts"
        text = (folder / "tintero.yaml").read_text()
        assert old in text
        with pytest.raises(LayoutError, match=problem):
            parse_layout("x", text.replace(old, new, 1))
