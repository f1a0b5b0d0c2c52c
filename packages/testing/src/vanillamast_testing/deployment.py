"""The two deployments that vanillamast serves today."""

import dataclasses

from vanillamast_core import Registry


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """A deployment as the demo starts it.

    Attributes:
      name: Name of the deployment.
      region: Its region.
      failure_domains: Its failure domains.
      servers: Number of backend servers by service.
      connections: Connections that a backend server accepts.
      configuration: Configuration as YAML text.
      reads: Paths that callers read.
      posts: Paths of non-idempotent posts.
      good_service: Service that moves to a good version.
      bad_service: Service that moves to a bad version.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    servers: dict[str, int]
    connections: int
    configuration: str
    reads: tuple[str, ...]
    posts: tuple[str, ...]
    good_service: str
    bad_service: str


deployments: Registry[Deployment] = Registry("deployment")

TINTERO = deployments.register("tintero")(
    Deployment(
        name="tintero",
        region="uy-sur",
        failure_domains=("uy-sur-1", "uy-sur-2", "uy-sur-3"),
        servers={"browse": 4, "publish": 3, "exports": 3, "reader": 3},
        connections=120,
        configuration="""
services:
  browse: {version: "1", connections: 120}
  publish: {version: "1", connections: 120}
  exports: {version: "1", connections: 120}
  reader: {version: "1", connections: 120}
classes:
  background: {priority: 2, max_share: 0.5}
routes:
  front: {path: /browse, service: browse}
  chapter: {path: /chapters, service: reader}
  post-chapter: {path: /posts, service: publish, methods: [POST]}
  export: {path: /exports, service: exports, caller_class: background}
  tags: {path: /tags, service: browse, callers: [reader, publish]}
""",
        reads=("/browse", "/chapters", "/exports"),
        posts=("/posts",),
        good_service="browse",
        bad_service="reader",
    )
)

MORETON_COAST = deployments.register("moreton-coast")(
    Deployment(
        name="moreton-coast",
        region="seq",
        failure_domains=("redcliffe", "cleveland", "manly"),
        servers={
            "rota-board": 3,
            "crew-desk": 3,
            "pen-records": 3,
            "net-survey": 3,
        },
        connections=110,
        configuration="""
services:
  rota-board: {version: "1", connections: 110}
  crew-desk: {version: "1", connections: 110}
  pen-records: {version: "1", connections: 110}
  net-survey: {version: "1", connections: 110}
classes:
  booking: {priority: 0}
  audit: {priority: 5, max_share: 0.3, queue_timeout_ms: 1000}
routes:
  schedule: {path: /rota, service: rota-board}
  booking:
    {path: /bookings, service: crew-desk, methods: [POST],
     caller_class: booking}
  nets: {path: /nets, service: net-survey}
  audit: {path: /audit, service: pen-records, caller_class: audit}
  pen-check:
    {path: /pens, service: pen-records, callers: [crew-desk, rota-board]}
""",
        reads=("/rota", "/nets", "/audit"),
        posts=("/bookings",),
        good_service="rota-board",
        bad_service="net-survey",
    )
)
