"""Late, lost and conflicting records of endpoints and entry hosts."""

import pytest

from wrenspoke.coordination.membership import directory
from wrenspoke.coordination.membership import roster
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import registry
from wrenspoke.state import routes

READY = registry.RegistrationState.READY
DRAINING = registry.RegistrationState.DRAINING
GONE = registry.RegistrationState.GONE


class FakeClock:
    """Advances only when a test sets it."""

    def __init__(self):
        self.now_ms = 100_000

    def mono_ms(self):
        return self.now_ms


def registration(number, state=READY, **changes):
    """Return a registration of one endpoint."""
    fields = {'warmup_left_ms': 0, 'age_ms': 0, **changes}
    return registry.Registration(
        'e', 's', '10.0.0.1:80', 'hall', 4, state, number, **fields
    )


@pytest.mark.parametrize(
    'later, changed, state, number',
    [
        (registration(6), False, READY, 6),
        (registration(4, DRAINING), False, READY, 5),
        (registration(5, DRAINING), False, READY, 5),
        (registration(6, DRAINING), True, DRAINING, 6),
        (registration(6, warmup_left_ms=3000), True, READY, 6),
        (registration(0, GONE), True, GONE, 0),
    ],
    ids=['renewed', 'late', 'same', 'drains', 'cold again', 'gone'],
)
def test_newer_number_prevails(later, changed, state, number):
    held = registry.Registry(FakeClock())
    assert held.merge_registration(registration(5))
    before = held.revision
    assert held.merge_registration(later) is changed
    assert (held.revision > before) is changed
    found = held.entries['e']
    assert (found.registration.state, found.registration.number) == (
        state,
        number,
    )


def test_endpoint_that_left_never_comes_back_under_its_name():
    held = registry.Registry(FakeClock())
    held.merge_registration(registration(5))
    held.merge_registration(held.final_registration('e'))
    assert not held.merge_registration(registration(99))
    assert not held.entries['e'].takes_work


def registration_at(name, number, state=READY):
    """Return a registration of an endpoint at a shared address."""
    return registry.Registration(
        name, 's', '10.0.0.1:80', 'hall', 4, state, number
    )


@pytest.mark.parametrize(
    'first, later, after_ms, occupant',
    [
        ('old', registration_at('new', 1), 1_000, 'old'),
        ('old', registration_at('new', 1), 2_000, None),
        ('new', registration_at('old', 9), 100, 'new'),
        ('new', registration_at('old', 9, GONE), 100, None),
        ('new', registration_at('new', 9), 100, None),
    ],
    ids=[
        'new one while the old one renews',
        'new one once the old one is silent',
        'held up registration of a crashed one',
        'leave of the crashed one',
        'renewal',
    ],
)
def test_who_renews_at_an_address_is_believed(
    first, later, after_ms, occupant
):
    clock = FakeClock()
    held = registry.Registry(clock)
    held.merge_registration(registration_at(first, 1))
    clock.now_ms += after_ms
    found = held.occupant(later)
    assert (found and found.registration.endpoint) == occupant


def test_successor_at_an_address_is_used_before_its_predecessor():
    held = registry.Registry(FakeClock())
    held.merge_registration(registration_at('old', 5))
    held.merge_registration(registration_at('new', 1))
    before = held.revision
    held.displace(registration_at('new', 1))
    assert held.is_stale('old') and not held.is_stale('new')
    assert held.revision == before + 1


def test_leave_of_an_unknown_endpoint_is_remembered():
    """An earlier heartbeat may arrive later, from another host."""
    held = registry.Registry(FakeClock())
    held.merge_registration(held.final_registration('e'))
    held.merge_registration(registration(1))
    assert not held.entries['e'].takes_work


def test_silence_is_told_to_those_who_hear_changes_only():
    clock = FakeClock()
    hears = registry.Registry(clock)
    told = registry.Registry(clock)
    hears.merge_registration(registration(1))
    told.merge_registration(hears.registrations_since(0)[0])
    clock.now_ms += registry.RENEWAL_TIMEOUT_MS + 1
    assert not told.is_stale('e')
    seen = hears.revision
    assert hears.mark_stale() and not hears.mark_stale()
    for change in hears.registrations_since(seen):
        told.merge_registration(change)
    assert told.is_stale('e') and hears.is_stale('e')
    seen = hears.revision
    assert hears.merge_registration(registration(2))
    for change in hears.registrations_since(seen):
        told.merge_registration(change)
    assert not told.is_stale('e')


@pytest.mark.parametrize('renewed', [False, True])
def test_stale_mark_reaches_entry_hosts_of_every_control_host(renewed):
    """Guards against a mark that its receiver does not replicate.

    The receiver may have missed the last renewal.
    """
    clock = FakeClock()
    marking, receiving, entry = (registry.Registry(clock) for _ in range(3))
    for held in (marking, receiving, entry):
        held.merge_registration(registration(1), 'c1')
    if renewed:
        marking.merge_registration(registration(2))
    clock.now_ms += registry.RENEWAL_TIMEOUT_MS + 1
    seen, known = marking.revision, receiving.revision
    assert marking.mark_stale()
    for change in marking.registrations_since(seen):
        assert receiving.merge_registration(change, 'c1')
    for change in receiving.registrations_since(known):
        assert entry.merge_registration(change)
    assert entry.is_stale('e')
    assert not receiving.mark_stale()


def test_stale_mark_of_an_older_renewal_is_ignored():
    """The host that sets it has missed what is known here."""
    clock = FakeClock()
    held = registry.Registry(clock)
    held.merge_registration(registration(2))
    before = held.revision
    old = registration(1, age_ms=registry.RENEWAL_TIMEOUT_MS + 1)
    assert not held.merge_registration(old)
    assert not held.is_stale('e') and held.revision == before


def test_host_that_starts_receives_stale_marks():
    clock = FakeClock()
    marking, entry = registry.Registry(clock), registry.Registry(clock)
    marking.merge_registration(registration(1))
    clock.now_ms += registry.RENEWAL_TIMEOUT_MS + 1
    marking.mark_stale()
    [change] = marking.registrations_since(0)
    entry.merge_registration(change)
    assert entry.is_stale('e')


@pytest.mark.parametrize(
    'case, kept',
    [('ready', True), ('silent', False), ('gone', False)],
)
def test_only_what_is_gone_or_silent_is_forgotten(case, kept):
    """A host that receives only changes must keep all other endpoints."""
    clock = FakeClock()
    held = registry.Registry(clock)
    held.merge_registration(registration(1))
    if case == 'gone':
        held.merge_registration(held.final_registration('e'))
    clock.now_ms += registry.ENTRY_TTL_MS + 1
    if case == 'silent':
        held.mark_stale()
    held.evict_expired()
    assert ('e' in held.entries) is kept


def record(host, start='a', number=1, draining=False, age_ms=0, **place):
    """Return the record of an entry host."""
    return discovery_messages.HostRecord(
        host,
        place.get('region', 'north'),
        place.get('data_centre', 'hall'),
        f'{host}:80',
        f'{host}:81',
        start,
        number,
        draining,
        age_ms,
    )


@pytest.mark.parametrize(
    'later, draining',
    [
        (record('h', number=2, draining=True), True),
        (record('h', number=1, draining=True), False),
        (record('h', start='b', number=1, draining=True), True),
        (record('h', start='b', draining=True, age_ms=500), False),
    ],
    ids=['newer', 'late', 'restarted', 'before the restart'],
)
def test_newer_word_of_a_host_prevails(later, draining):
    held = roster.Roster(2_000, FakeClock())
    held.merge_record(record('h'))
    held.merge_record(later)
    assert held.records()[0].draining is draining


def test_host_is_left_out_once_its_lease_has_ended():
    clock = FakeClock()
    held = roster.Roster(2_000, clock)
    held.merge_record(record('h'))
    clock.now_ms += 2_001
    assert held.expire() and not held.records()


@pytest.mark.parametrize(
    'name, region, data_centre, addresses',
    [
        ('free', 'north', 'hall', ['a:80', 'b:80']),
        ('free', 'north', 'elsewhere', ['a:80', 'b:80', 'c:80']),
        ('bound', 'south', 'far', ['d:80']),
        ('free', 'west', 'x', ['a:80', 'b:80', 'c:80', 'd:80']),
        ('bound', 'west', 'x', ['a:80', 'b:80', 'c:80']),
        ('nowhere', 'west', 'x', []),
        ('bound', 'east', 'x', ['a:80', 'b:80', 'c:80']),
        ('apart', 'east', 'x', ['leaving:80']),
    ],
    ids=[
        'own hall',
        'own region',
        'one host',
        'none of its own',
        'none of its own, so at home',
        'no host at home either',
        'all of its own are stopping, so at home',
        'all of its own are stopping, and no place for all routes',
    ],
)
def test_directory_names_the_nearest_usable_hosts(
    name, region, data_centre, addresses
):
    table = routes.RouteTable(
        1,
        tuple(
            routes.Route(
                host,
                host,
                '/',
                routes.RouteKind.ONCE,
                (),
                1,
                1,
                homes=homes,
            )
            for host, homes in (
                ('free', ()),
                ('bound', ('north', 'south')),
                ('bound', ('north',)),
                ('bound', ('south', 'north')),
                ('nowhere', ('east',)),
                ('apart', ('north',)),
                ('apart', ('south',)),
            )
        ),
    )
    held = roster.Roster(2_000, FakeClock())
    for found in (
        record('a'),
        record('b'),
        record('c', data_centre='annex'),
        record('d', region='south', data_centre='far'),
        record('gone', draining=True),
        record('leaving', region='east', data_centre='x', draining=True),
    ):
        held.merge_record(found)
    found = directory.addresses(held, table, name, region, data_centre)
    assert found == addresses
    begun = directory.addresses(held, table, name, region, data_centre, False)
    own = region in ('north', 'south')
    assert begun == (addresses if own else []), 'nobody is led away'


def test_endpoint_that_is_forgotten_is_no_news():
    """Guards against an update to all hosts for an endpoint long gone."""
    clock = FakeClock()
    held = registry.Registry(clock)
    held.merge_registration(registration(1))
    held.merge_registration(registration(2, GONE))
    revision = held.revision
    clock.now_ms += registry.ENTRY_TTL_MS + 1
    held.evict_expired()
    assert not held.entries and held.revision == revision


BORN_MS = 1_790_000_000_000


@pytest.mark.parametrize(
    'before, later, takes_work, number',
    [
        ([registration(9)], registration(1, born_ms=BORN_MS), True, 1),
        (
            [registration(9, born_ms=BORN_MS)],
            registration(1, born_ms=BORN_MS + 1),
            True,
            1,
        ),
        (
            [registration(9, born_ms=BORN_MS)],
            registration(99, born_ms=BORN_MS - 1),
            True,
            9,
        ),
        (
            [
                registration(9, born_ms=BORN_MS),
                registration(10, GONE, born_ms=BORN_MS),
            ],
            registration(1, born_ms=BORN_MS + 1),
            True,
            1,
        ),
        (
            [
                registration(9, born_ms=BORN_MS),
                registration(10, GONE, born_ms=BORN_MS),
            ],
            registration(99, born_ms=BORN_MS),
            False,
            10,
        ),
        (
            [
                registration(9, born_ms=BORN_MS),
                registration(1, born_ms=BORN_MS + 1),
            ],
            registration(10, GONE, born_ms=BORN_MS),
            True,
            1,
        ),
        (
            [
                registration(9, born_ms=BORN_MS),
                registration(1, born_ms=BORN_MS + 1),
            ],
            registration(2, GONE, born_ms=BORN_MS + 1),
            False,
            2,
        ),
        (
            [registration(9, DRAINING, born_ms=BORN_MS)],
            registration(1, born_ms=BORN_MS + 1),
            True,
            1,
        ),
    ],
    ids=[
        'first that tells a birth',
        'reborn, counts from the start',
        'late word of the life before',
        'reborn after it was gone',
        'late word of a life that is gone',
        'late leave of the life before',
        'leave of the new life',
        'reborn while it drained',
    ],
)
def test_birth_orders_before_numbers(before, later, takes_work, number):
    held = registry.Registry(FakeClock())
    for one in before:
        held.merge_registration(one)
    held.merge_registration(later)
    found = held.entries['e']
    assert (found.takes_work, found.registration.number) == (
        takes_work,
        number,
    )


def test_renewal_counts_for_its_life_only():
    held = registry.Registry(FakeClock())
    held.merge_registration(registration(5, born_ms=BORN_MS))
    assert held.renew('e', 6, 0, 'other', BORN_MS)
    assert held.entries['e'].registration.number == 6
    assert held.renew('e', 99, 0, 'other', BORN_MS - 1)
    assert held.entries['e'].registration.number == 6
    # An unknown instance needs the full registration.
    assert not held.renew('e', 1, 0, 'other', BORN_MS + 1)


def test_who_learned_of_an_endpoint_is_told_that_it_began_anew():
    held = registry.Registry(FakeClock())
    heard = []
    held.add_restart_listener(heard.append)
    held.merge_registration(registration(5, born_ms=BORN_MS))
    held.merge_registration(registration(6, born_ms=BORN_MS))
    assert heard == []
    held.merge_registration(registration(1, born_ms=BORN_MS + 1))
    assert [before.number for before in heard] == [6]


def test_leave_that_names_a_life_ends_no_other():
    held = registry.Registry(FakeClock())
    held.merge_registration(registration(1, born_ms=BORN_MS))
    assert not held.merge_registration(
        held.final_registration('e', BORN_MS - 1)
    )
    assert held.entries['e'].takes_work
    assert held.merge_registration(held.final_registration('e', BORN_MS))
    assert not held.entries['e'].takes_work


def test_leave_outlives_reports_that_call_an_endpoint_ready():
    """The mark lasts as long as the instance, on other hosts too."""
    known = registry.Registry(FakeClock())
    known.merge_registration(registration(number=1))
    assert known.mark_leaving('e', 0)
    assert not known.mark_leaving('e', 0)
    [found] = known.entries.values()
    assert not found.takes_work
    for number in (1, 2, 9):
        known.merge_registration(registration(number=number))
        assert not found.takes_work
    [told] = known.registrations_since(0)
    other = registry.Registry(FakeClock())
    other.merge_registration(registration(number=20))
    assert other.merge_registration(told)
    [heard] = other.entries.values()
    assert not heard.takes_work
    other.merge_registration(registration(number=21, born_ms=5))
    [reborn] = other.entries.values()
    assert reborn.takes_work
    assert not other.mark_leaving('e', 0)
