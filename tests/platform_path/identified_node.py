"""A node that identifies organisations by their key.

Stand-in for the identification in the node itself.
"""

import sys

from vanillamast_platform.__main__ import main
from vanillamast_sidecar.routing.gateway import Gateway

create_exchange = Gateway._create_exchange


def create_identified_exchange(gateway, request, *args):
    """Returns an exchange with the organisation that the key names."""
    exchange = create_exchange(gateway, request, *args)
    key = (request.get_header(b"authorization") or b"").decode()
    for organisation in gateway.snapshot.organisations:
        if key.removeprefix("Bearer ") in organisation.api_keys:
            exchange.organisation = organisation
    return exchange


Gateway._create_exchange = create_identified_exchange
sys.exit(main(sys.argv[1:]))
