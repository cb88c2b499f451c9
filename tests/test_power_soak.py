"""Disks are lost as a change is acknowledged, and all others lose power.

Generated from a seed, beside the faults of the group's soak;
``WRENSPOKE_SOAK_SEEDS`` sets the number of seeds.
"""

import os

import pytest

from tests import group
from tests import test_group_soak

SEEDS = int(os.environ.get('WRENSPOKE_SOAK_SEEDS', 10))
ACKNOWLEDGED_WAIT_MS = 10_000
# Among the faults of the group's soak, which lose disks in calm times only.
FAULTS = {
    name: found
    for name, found in test_group_soak.FAULTS.items()
    if name not in ('wipe', 'replace')
}


def fault(function):
    """Register a fault."""
    FAULTS[function.__name__] = function
    return function


class PowerSoak(test_group_soak.Soak):
    """Loses disks at any time once those lost before have been replaced."""

    def __init__(self, seed, hosts, losses):
        super().__init__(seed, hosts, losses, FAULTS)
        self.losses = losses
        self.strikes = []
        self.struck = 0
        # Whether every voter has the disk that it had in a calm time.
        self.has_all_disks = False

    async def simulate(self):
        loop = test_group_soak.asyncio.get_running_loop()
        watching = loop.create_task(self.watch_disks())
        try:
            await super().simulate()
        finally:
            watching.cancel()

    async def watch_disks(self):
        """Note when lost disks have been replaced and a calm time is over."""
        while True:
            await self.system.sleep_ms(test_group_soak.POLL_INTERVAL_MS)
            if self.may_lose_disk:
                self.has_all_disks = True

    async def on_acknowledged(self):
        for strike in self.strikes:
            await strike()
        self.strikes.clear()

    async def lose(self, names):
        """Empty some disks as all hosts lose power."""
        stopped = await self.system.stop_all()
        for name in names:
            self.system.disks[name].wipe()
        self.has_all_disks = False
        self.struck += 1
        self.record_event('lose', *names)
        self.stopped_hosts.update(stopped)
        return stopped

    async def start_again(self, stopped):
        """Start hosts in any order, over some seconds."""
        for name in self.random.sample(stopped, len(stopped)):
            await self.pause(0, 1_500)
            await self.restart_stopped_host(name)

    def pick_victims(self):
        """Return hosts whose disks are lost, the leader more often."""
        victims = {self.pick_host() for _number in range(self.losses)}
        return sorted(victims - {None})


async def strike(soak):
    """Lose disks and power now, if that is tolerated."""
    if not soak.has_all_disks:
        return
    victims = soak.pick_victims()
    stopped = await soak.lose(victims)
    loop = test_group_soak.asyncio.get_running_loop()
    soak.restarting = loop.create_task(soak.start_again(stopped))


@fault
async def lose_as_acknowledged(soak):
    """Lose disks and power at the moment of the next acknowledgement."""
    soak.strikes.append(lambda: strike(soak))
    await soak.pause(0, ACKNOWLEDGED_WAIT_MS)


@fault
async def lose_while_in_flight(soak):
    """Lose disks and power shortly after a change was sent."""
    proposed = soak.proposed
    await soak.system.wait_until(lambda: soak.proposed > proposed)
    await soak.pause(5, 400)
    await strike(soak)


@fault
async def lose_in_series(soak):
    """Lose disks and power, and again once the disks have been replaced."""
    for _number in range(2):
        await lose_as_acknowledged(soak)
        await soak.system.sleep_ms(3 * test_group_soak.RECOVERY_MS)


@pytest.mark.parametrize(
    'hosts, losses', [(3, 1), (6, 1), (6, 2)], ids=['3-1', '6-1', '6-2']
)
@pytest.mark.parametrize('seed', range(SEEDS))
def test_acknowledged_changes_outlive_power_and_disks(seed, hosts, losses):
    """Guards against a change that is lost with the tolerated disks."""
    soak = PowerSoak(seed, hosts, losses)
    try:
        group.run(soak.simulate())
    finally:
        for line in soak.event_log:
            print(*line)
