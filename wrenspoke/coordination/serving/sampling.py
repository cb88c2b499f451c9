"""Which of many endpoints are weighed for a call.

To weigh an endpoint takes an entry host 50 us, with every call. A few drawn
for each call, with those that keep its prompt, cost the same in any region.
"""

import collections.abc
import random

from wrenspoke import ids
from wrenspoke.state import registry

# Few enough to weigh for each call, however many there are: reports are some
# hundred ms old, so the best of many is little better than the best of these.
# Fewer make calls wait in small regions, where hosts know engines better.
SAMPLE_SIZE = 16


def sample(
    candidates: list[registry.EndpointEntry],
    always: collections.abc.Container[ids.EndpointId],
    rng: random.Random,
) -> list[registry.EndpointEntry]:
    """Return some endpoints by chance, and those that are always weighed."""
    if len(candidates) <= SAMPLE_SIZE:
        return candidates
    drawn = rng.sample(candidates, SAMPLE_SIZE)
    names = {found.registration.endpoint for found in drawn}
    drawn.extend(
        found
        for found in candidates
        if found.registration.endpoint in always
        and found.registration.endpoint not in names
    )
    return drawn
