"""A mesh of the target size."""

from vanillamast_core.configuration import (
    EDGE,
    Configuration,
    Route,
    Service,
)

from vanillamast_testing.instance_spec import InstanceSpec

INSTANCES = 1200
SERVICES = 83
FAILURE_DOMAINS = 8
REGIONS = 2
# Each service is called by two others and by callers outside the mesh, which
# gives 4 routes a service and 8 to a node's table.
ROUTES_PER_SERVICE = 4
EDGE_EVERY = 10


def target_instances(network: str) -> list[InstanceSpec]:
    """Returns 1,200 instances in 83 services and 8 failure domains.

    Args:
      network: First two numbers of the loopback addresses.
    """
    return [target_instance(network, index) for index in range(INSTANCES)]


def target_instance(network: str, index: int) -> InstanceSpec:
    """Returns one of the instances."""
    domain = index % FAILURE_DOMAINS
    return InstanceSpec(
        name=f"instance-{index:04}",
        region=f"region-{domain % REGIONS}",
        failure_domain=f"domain-{domain}",
        service=service_name(index // FAILURE_DOMAINS % SERVICES),
        version="1",
        host=f"{network}.{1 + index // 200}.{10 + index % 200}",
        edge=index % EDGE_EVERY == 0,
    )


def service_name(number: int) -> str:
    """Returns the name of a service."""
    return f"service-{number:02}"


def target_configuration(routes: int = ROUTES_PER_SERVICE) -> Configuration:
    """Returns a configuration of 83 services.

    Args:
      routes: Routes to each service.
    """
    services = {service_name(n): Service(version="1") for n in range(SERVICES)}
    return Configuration(
        services=services,
        routes={
            f"route-{n:02}-{r}": Route(
                path=f"/s{n:02}/r{r}",
                service=service_name(n),
                callers=(EDGE, service_name((n + r + 1) % SERVICES)),
            )
            for n in range(SERVICES)
            for r in range(routes)
        },
    )
