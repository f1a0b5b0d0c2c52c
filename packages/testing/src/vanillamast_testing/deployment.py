"""The deployments that the demo shows."""

import dataclasses

from vanillamast_core import Registry

from vanillamast_testing.layout import Layout, load_layout


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """A layout and the moves that the demo makes in it.

    Attributes:
      layout: What runs where, and the configuration.
      good_move_service: Service that moves to a good version.
      failing_move_service: Service that moves to a failing version.
    """

    layout: Layout
    good_move_service: str
    failing_move_service: str


deployments: Registry[Deployment] = Registry("deployment")
deployments.register("tintero")(
    Deployment(load_layout("tintero"), "browse", "reader")
)
deployments.register("moreton-coast")(
    Deployment(load_layout("moreton_coast"), "rota-board", "net-survey")
)
