"""Messaging between hosts in a deployment with host discovery."""

from wrenspoke import clock as clocks
from wrenspoke import node as nodes
from wrenspoke.protocol import peers as peer_calls
from wrenspoke.protocol import traffic
from wrenspoke.state import locations
from wrenspoke.transport import links

# A partition raises no socket error: only missing heartbeats show it.
LINK_KEEPALIVE = links.HeartbeatOptions(heartbeat_ms=700, timeout_ms=2_000)


def build_traffic_counter(
    node: nodes.NodeSettings, clock: clocks.Clock
) -> traffic.TrafficCounter:
    """Return a counter of the messages that a host sends."""
    own = locations.Location(node.region, node.data_centre)
    return traffic.TrafficCounter(own, clock)


def build_peers(
    node: nodes.NodeSettings,
    traffic_counter: traffic.TrafficCounter,
    clock: clocks.Clock,
) -> peer_calls.Peers:
    """Return a host's messaging; host names are link addresses."""
    identity = links.Identity(node.cluster, node.host)
    return peer_calls.Peers(
        identity, [], clock, LINK_KEEPALIVE, traffic_counter.count_message
    )
