"""Typed identifiers shared by all layers."""

import secrets
import typing

AttemptId = typing.NewType('AttemptId', str)
# Version of the software that an endpoint runs; versions have no order.
BuildId = typing.NewType('BuildId', str)
# Identifies the content of a request or of a part of its prompt: resends have
# the same digest, whatever their request ids.
ContentDigest = typing.NewType('ContentDigest', str)
DataCentreId = typing.NewType('DataCentreId', str)
EndpointId = typing.NewType('EndpointId', str)
HostId = typing.NewType('HostId', str)
Incarnation = typing.NewType('Incarnation', str)
OperatorId = typing.NewType('OperatorId', str)
PlanId = typing.NewType('PlanId', str)
RegionId = typing.NewType('RegionId', str)
RequestId = typing.NewType('RequestId', str)
ServiceId = typing.NewType('ServiceId', str)
SessionId = typing.NewType('SessionId', str)
TeamId = typing.NewType('TeamId', str)

RANDOM_ID_BYTES = 8


def new_random_id() -> str:
    """Return 16 random hexadecimal digits."""
    return secrets.token_hex(RANDOM_ID_BYTES)
