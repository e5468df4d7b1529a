"""Let peers reach a daemon only through relays, which listen on another address.

A daemon that has been linked with a peer connects to the address that it was told
then, and not to the one in the store.
"""

import os
from typing import Any

from pollenladder.wire import handshake

# The environment variable with the address that daemons tell their peers. Relays
# listen there on the ports of the daemons.
VARIABLE = "SOAK_PEER_ADDRESS"


def apply() -> None:
    """Tell peers the address in the environment, if there is one."""
    address = os.environ.get(VARIABLE)
    if not address:
        return
    build_hello = handshake.Hello

    def build_with_address(**fields: Any) -> handshake.Hello:
        return build_hello(**fields | {"address": address})

    handshake.Hello = build_with_address
