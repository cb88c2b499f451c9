"""Which endpoints of a service may get requests, as the registry changes."""

import types

import msgspec
import pytest

from tests import test_registry
from wrenspoke.coordination.serving import availability
from wrenspoke.state import registry

REGIONS = {'hall': 'north', 'annex': 'north', 'far': 'south'}


class Host:
    """What an entry host knows of endpoints, without a network."""

    def __init__(self):
        self.clock = test_registry.FakeClock()
        self.known = registry.Registry(self.clock)
        self.evacuated = ()
        self.leaving = set()
        gate = types.SimpleNamespace(
            leaving=types.SimpleNamespace(
                is_leaving=lambda life: life.endpoint in self.leaving
            )
        )
        self._gate = gate
        self.available = availability.Availability(
            'north',
            None,
            REGIONS,
            types.SimpleNamespace(registry=self.known, is_isolated=False),
            types.SimpleNamespace(current=self),
            None,
            types.SimpleNamespace(start_probes=list, cold_until_ms=0),
            None,
            gate,
            frozenset(),
            self.clock,
        )
        self.routes = types.SimpleNamespace(services={})

    def register(self, name, **changes):
        said = registry.Registration(
            name,
            's',
            f'{name}:1',
            'hall',
            4,
            registry.RegistrationState.READY,
            len(name),
        )
        self.known.merge_registration(msgspec.structs.replace(said, **changes))

    def usable(self, region='north'):
        self._gate.leaving.is_idle = not self.leaving
        return {
            found.registration.endpoint
            for found in self.available.usable_endpoints('s', region)
        }


@pytest.fixture
def host():
    made = Host()
    made.register('a')
    made.register('b', data_centre='annex')
    made.register('c', data_centre='far')
    made.register('d', service='other')
    assert made.usable() == {'a', 'b'}
    assert made.usable('south') == {'c'}
    return made


def withdraw(host):
    host.known.merge_registration(host.known.final_registration('a'))


def drain(host):
    state = registry.RegistrationState.DRAINING
    host.register('a', state=state, number=9)


def announce(host):
    host.leaving.add('a')


def evacuate(host):
    host.evacuated = ('hall',)


def move(host):
    host.register('a', data_centre='far', number=9)


def change_service(host):
    host.register('a', service='other', number=9)


def mark_leaving(host):
    assert host.known.mark_leaving('a', 0)


def evict(host):
    """An endpoint that went stale long ago is forgotten."""
    host.known.displace(
        registry.Registration(
            'z', 's', 'a:1', 'far', 4, registry.RegistrationState.READY, 1
        )
    )
    host.clock.now_ms += registry.ENTRY_TTL_MS + 1
    host.register('b', data_centre='annex', number=9)
    host.register('c', data_centre='far', number=9)
    host.usable()
    host.known.evict_expired()


@pytest.mark.parametrize(
    'change',
    [
        withdraw,
        drain,
        announce,
        evacuate,
        move,
        change_service,
        mark_leaving,
        evict,
    ],
)
def test_endpoint_that_changed_is_used_no_more(host, change):
    change(host)
    assert host.usable() == {'b'}


def test_endpoint_that_is_new_is_used_at_once(host):
    host.register('e')
    assert host.usable() == {'a', 'b', 'e'}


def test_new_instance_takes_the_place_of_the_old_one(host):
    before = host.known.entries['a']
    host.register('a', born_ms=5, slots=9)
    [found] = [
        found
        for found in host.available.usable_endpoints('s', 'north')
        if found.registration.endpoint == 'a'
    ]
    assert found is host.known.entries['a'] is not before


def test_caller_may_change_what_it_got(host):
    host.usable()
    host.available.usable_endpoints('s', 'north').clear()
    assert host.usable() == {'a', 'b'}


def test_renewals_without_a_change_leave_the_list_as_it_is(host):
    host.usable()
    before = host.known.version
    host.known.renew('a', 20, 0, 'x')
    assert host.known.version == before
    assert host.known.entries['a'].registration.number == 20
