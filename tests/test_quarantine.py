"""Crash counting, holds, releases and decisions of the quarantine."""

import asyncio
import contextlib
import socket

import msgspec
import pytest

from tests import endpoints
from tests import fleet
from tests import nodes
from tests import test_dispatch
from tests import test_fatal_requests
from tests import test_passing
from wrenspoke.coordination import errors as coordination_errors
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import crash_history
from wrenspoke.coordination.quarantine import guard as guards
from wrenspoke.coordination.quarantine import hold_durations
from wrenspoke.coordination.quarantine import recent_successes
from wrenspoke.coordination.serving import dispatch
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import fingerprints
from wrenspoke.protocol import headers
from wrenspoke.protocol import quarantining
from wrenspoke.state import configuration
from wrenspoke.state import errors
from wrenspoke.state import plans
from wrenspoke.state import quarantine
from wrenspoke.transport import port_probe
from wrenspoke.transport import web

FATAL = test_fatal_requests.FATAL
CALL = ('team', 'POST', 'h', '/a/x?q', b'body')
D = fingerprints.Fingerprint('d')
OTHER = fingerprints.Fingerprint('other')


class FakeClock:
    """Clock that the test advances."""

    def __init__(self):
        self.now_ms = 1_000_000

    def mono_ms(self):
        return self.now_ms


# Request digests.


@pytest.mark.parametrize(
    'other',
    [
        ('other', 'POST', 'h', '/a/x?q', b'body'),
        ('team', 'PUT', 'h', '/a/x?q', b'body'),
        ('team', 'POST', 'i', '/a/x?q', b'body'),
        ('team', 'POST', 'h', '/a/x?r', b'body'),
        ('team', 'POST', 'h', '/a/x?q', b'body2'),
        ('tea', 'mPOST', 'h', '/a/x?q', b'body'),
        ('team', 'POST', 'h/', 'a/x?q', b'body'),
        ('team', 'POST', 'h', '/a/x?qb', b'ody'),
    ],
)
def test_different_requests_have_different_digests(other):
    assert fingerprints.request_digest(*CALL) == fingerprints.request_digest(
        *CALL
    )
    assert fingerprints.request_digest(*CALL) != fingerprints.request_digest(
        *other
    )


# Bounded records.


@pytest.mark.parametrize(
    'ends, count',
    [
        ([('a', 0)], 1),
        ([('a', 0), ('b', 0)], 2),
        # Reported by two hosts with runs on the same endpoint.
        ([('a', 0), ('a', crash_history.DEDUP_WINDOW_MS)], 1),
        # The endpoint restarted under the same name and crashed again.
        ([('a', 0), ('a', crash_history.DEDUP_WINDOW_MS + 1)], 2),
    ],
)
def test_crash_is_counted_once(ends, count):
    clock = FakeClock()
    book = crash_history.CrashHistory(clock)
    for endpoint, at_ms in ends:
        book.record_crash(('d',), endpoint, clock.now_ms + at_ms)
    assert book.crash_count('d') == count


def test_single_crash_entries_do_not_evict_repeated_ones():
    clock = FakeClock()
    book = crash_history.CrashHistory(clock)
    book.record_crash(('d',), 'a', clock.now_ms)
    book.record_crash(('d',), 'b', clock.now_ms)
    for number in range(2 * crash_history.MAX_SINGLE_CRASH_ENTRIES):
        book.record_crash((f'{number}',), 'c', clock.now_ms)
    assert book.crash_count('d') == 2
    kept = sum(
        book.crash_count(f'{number}')
        for number in range(2 * crash_history.MAX_SINGLE_CRASH_ENTRIES)
    )
    assert kept == crash_history.MAX_SINGLE_CRASH_ENTRIES


def test_expired_crashes_are_evicted():
    clock = FakeClock()
    book = crash_history.CrashHistory(clock)
    book.record_crash(('d',), 'a', clock.now_ms)
    clock.now_ms += crash_history.RETENTION_MS
    book.record_crash(('other',), 'a', clock.now_ms)
    assert book.crash_count('d') == 0


def test_recent_successes_are_bounded():
    clock = FakeClock()
    good = recent_successes.RecentSuccesses(clock)
    for number in range(recent_successes.MAX_REQUESTS + 1):
        good.add_success(f'{number}')
    assert not good.has_recent('0')
    assert good.has_recent('1')


@pytest.mark.parametrize(
    'ends, hold_ms',
    [
        (3, 300_000),
        (4, 600_000),
        (6, 2_400_000),
        (9, 7_200_000),
        (99, 7_200_000),
    ],
)
def test_hold_doubles_with_each_end_up_to_a_bound(ends, hold_ms):
    assert hold_durations.hold_duration_ms(ends) == hold_ms


def test_quarantine_is_bounded_and_keeps_what_is_held():
    held = quarantine.apply_changes(
        {}, (quarantine.QuarantineEntry('first', 3),), ()
    )
    trials = tuple(
        quarantine.QuarantineEntry(f'{n}', 3, True)
        for n in range(quarantine.MAX_QUARANTINED + 5)
    )
    held = quarantine.apply_changes(held, trials, ())
    assert len(held) == quarantine.MAX_QUARANTINED
    assert 'first' in held
    assert quarantine.apply_changes(held, (), ('first',)).get('first') is None


# Liveness probes.


async def test_only_refused_connection_counts_as_crash():
    with socket.create_server(('127.0.0.1', 0)) as listening:
        address = '127.0.0.1:{}'.format(listening.getsockname()[1])
        assert not await port_probe.is_connection_refused(address, 1_000)
    assert await port_probe.is_connection_refused(address, 1_000)


async def test_connect_timeout_is_not_a_crash():
    """A full accept queue leaves further connections unanswered."""
    with contextlib.ExitStack() as opened:
        listening = opened.enter_context(socket.socket())
        listening.bind(('127.0.0.1', 0))
        listening.listen(0)
        ip, port = listening.getsockname()
        for _number in range(3):
            tried = opened.enter_context(socket.socket())
            tried.setblocking(False)
            tried.connect_ex((ip, port))
        assert not await port_probe.is_connection_refused(f'{ip}:{port}', 20)


# Holds on one host.


class FakeReporter:
    """Reporter that records crashes and successes."""

    def __init__(self):
        self.crashes = []
        self.successes = []

    trial_granted = False

    def has_reached_host(self, _since_ms):
        return False

    async def request_trial(self, _digest, _request):
        return self.trial_granted

    def set_callbacks(self, on_hold, on_cleared):
        self.on_hold = on_hold
        self.on_cleared = on_cleared

    def report_crash(self, request, endpoint):
        self.crashes.append((request, endpoint))

    def report_success(self, digest):
        self.successes.append(digest)

    async def close(self):
        return


class FakePeers:
    """Peers that only record the registered handlers."""

    def __init__(self):
        self.answerers = {}

    def handles(self, kind):
        def register(answerer):
            self.answerers[kind] = answerer
            return answerer

        return register


class GuardedHost:
    """A guard with a fake clock, reporter, peers and probe."""

    def __init__(self, refused=True, leaving=()):
        self.clock = FakeClock()
        self.replica = replica.Replica()
        self.reporter = FakeReporter()
        self.peers = FakePeers()
        self.refused = refused
        self.probe_count = 0

        async def look(_address, _timeout_ms):
            self.probe_count += 1
            return self.refused

        self.guard = guards.Guard(
            self.replica,
            self.reporter,
            self.peers,
            lambda endpoint: endpoint in leaving,
            self.clock,
            look,
        )

    async def crash_endpoints(self, *names, fingerprint=D):
        for name in names:
            run = self.guard.start_run(fingerprint, name, f'{name}:1')
            await self.guard.handle_broken_run(run)
            self.clock.now_ms += 1_000

    def set_decisions(self, *decided):
        self.replica.current = configuration.Configuration(
            quarantine={one.digest: one for one in decided}
        )


@pytest.mark.parametrize(
    'made, ends, held',
    [
        ({}, 'ab', False),
        ({}, 'abc', True),
        # The endpoint is alive: a lost response, or a network partition.
        ({'refused': False}, 'abc', False),
        # The endpoint was draining.
        ({'leaving': 'c'}, 'abc', False),
    ],
)
async def test_request_is_held_after_three_crashes(made, ends, held):
    host = GuardedHost(**made)
    await host.crash_endpoints(*ends)
    assert (host.guard.remaining_hold_ms(D) is not None) == held
    assert host.guard.remaining_hold_ms(OTHER) is None


async def test_one_probe_serves_all_runs_of_an_endpoint():
    host = GuardedHost()
    found = [
        host.guard.start_run(fingerprints.Fingerprint(f'{n}'), 'e', 'e:1')
        for n in range(20)
    ]
    await asyncio.gather(*(host.guard.handle_broken_run(run) for run in found))
    assert host.probe_count == 1
    assert len(host.reporter.crashes) == 20


async def test_slow_probe_counts_once_it_completes(monkeypatch):
    """A crash counts even if the call was retried or cancelled meanwhile."""
    host = GuardedHost()
    done = asyncio.Event()

    async def look(_address, _timeout_ms):
        await done.wait()
        return True

    monkeypatch.setattr(host.guard._run_tracker, '_probe', look)
    monkeypatch.setattr(guards, 'PROBE_WAIT_MS', 1)
    await host.crash_endpoints('a', 'b')
    left = asyncio.ensure_future(host.crash_endpoints('c'))
    await asyncio.sleep(0)
    left.cancel()
    assert host.reporter.crashes == []
    done.set()
    while len(host.reporter.crashes) < 3:
        await asyncio.sleep(0)
    host.clock.now_ms += guards.SETTLE_MS
    assert host.guard.remaining_hold_ms(D) is not None
    await host.guard.close()


async def test_live_endpoint_is_probed_again():
    """A probe result that shows a live endpoint must not be reused."""
    host = GuardedHost(refused=False)
    await host.guard.handle_broken_run(host.guard.start_run(OTHER, 'a', 'a:1'))
    host.refused = True
    await host.crash_endpoints('a', 'b', 'c')
    assert host.guard.remaining_hold_ms(D) is not None


async def test_success_clears_recorded_crashes():
    host = GuardedHost()
    await host.crash_endpoints('a', 'b')
    host.guard.mark_succeeded(host.guard.start_run(D, 'c', 'c:1'))
    assert host.reporter.successes == ['d']
    await host.crash_endpoints('e', 'f', 'g')
    assert host.guard.remaining_hold_ms(D) is None
    # Later crashes are not reported to other hosts either.
    assert [endpoint for _digest, endpoint in host.reporter.crashes] == [
        'a',
        'b',
    ]
    host.clock.now_ms += recent_successes.RETENTION_MS
    await host.crash_endpoints('h', 'i', 'j')
    assert host.guard.remaining_hold_ms(D) is not None


# An answer that proves nothing clears what crashes engines.
@pytest.mark.parametrize(
    'status, framing, refused, cleared',
    [
        (200, web.BodyFraming.LENGTH, False, 'dp'),
        (206, web.BodyFraming.CHUNKED, False, 'dp'),
        # Its end may be that of the process.
        (200, web.BodyFraming.CONNECTION, False, 'dp'),
        (200, web.BodyFraming.CONNECTION, True, ''),
        # The request was understood, but no answer was written.
        (404, web.BodyFraming.LENGTH, False, 'd'),
        (500, web.BodyFraming.LENGTH, False, ''),
        (504, web.BodyFraming.LENGTH, False, ''),
    ],
)
async def test_only_whole_answers_clear_content(
    status, framing, refused, cleared
):
    host = GuardedHost()
    both = fingerprints.Fingerprint('d', ('part-p',))
    await host.crash_endpoints('a', 'b', fingerprint=both)
    host.refused = refused
    host.guard.finish_run(
        host.guard.start_run(both, 'c', 'c:1'), status, framing
    )
    await host.guard._tasks.wait()
    counts = {
        digest: host.guard._crash_history.crash_count(digest)
        for digest in both.digests
    }
    left = 2 + refused
    assert counts == {
        'd': 0 if 'd' in cleared else left,
        'part-p': 0 if 'p' in cleared else left,
    }
    await host.guard.close()


async def test_provisional_hold_expires():
    host = GuardedHost()
    await host.crash_endpoints('a', 'b', 'c')
    host.clock.now_ms += hold_durations.PROVISIONAL_HOLD_MS
    assert host.guard.remaining_hold_ms(D) is None


@pytest.mark.parametrize('on_probation', [False, True])
async def test_decided_hold_lasts_until_released(on_probation):
    host = GuardedHost()
    host.set_decisions(quarantine.QuarantineEntry('d', 4, on_probation))
    assert host.guard.remaining_hold_ms(D) is not None
    host.clock.now_ms += 10 * hold_durations.MAX_HOLD_MS
    assert host.guard.remaining_hold_ms(D) is not None
    host.set_decisions()
    assert host.guard.remaining_hold_ms(D) is None


# Each host that sends content on probation crashes an endpoint.
@pytest.mark.parametrize(
    'on_probation, granted, may_send',
    [(True, True, True), (True, False, False), (False, True, False)],
)
async def test_content_on_probation_is_sent_as_a_trial(
    on_probation, granted, may_send
):
    host = GuardedHost()
    host.reporter.trial_granted = granted
    entry = quarantine.QuarantineEntry('part-p', 4, on_probation)
    host.set_decisions(entry)
    trial = fingerprints.Fingerprint('d', ('part-p',))
    other = fingerprints.Fingerprint('other', ('part-p',))
    await host.guard.request_trials(trial, 'q1')
    assert (host.guard.remaining_hold_ms(trial) is None) == may_send
    assert host.guard.remaining_hold_ms(other) is not None
    host.clock.now_ms += hold_durations.TRIAL_MS
    assert host.guard.remaining_hold_ms(trial) is not None


async def test_one_crash_on_probation_is_enough():
    host = GuardedHost()
    host.set_decisions(quarantine.QuarantineEntry('d', 3, on_probation=True))
    await host.crash_endpoints('a')
    assert host.guard.remaining_hold_ms(D) is not None


@pytest.mark.parametrize('worked', [False, True])
async def test_hold_is_applied_unless_request_succeeded_recently(worked):
    host = GuardedHost()
    if worked:
        host.guard.mark_succeeded(host.guard.start_run(D, 'e', 'e:1'))
    hear = host.peers.answerers[quarantining.UpdateHolds]
    told = quarantining.UpdateHolds([quarantining.Hold('d', 3, 300_000)])
    answer = await hear('control', told)
    assert answer.cleared == (['d'] if worked else [])
    assert (host.guard.remaining_hold_ms(D) is None) == worked
    await hear('control', quarantining.UpdateHolds([], ['d']))
    assert host.guard.remaining_hold_ms(D) is None


# Operator plans.


def test_operator_lets_a_request_be_sent_again():
    now = configuration.Configuration(
        index=7, quarantine={'d': quarantine.QuarantineEntry('d', 5)}
    )
    intent = plans.ClearQuarantine('d')
    plan = plans.build_plan('p', 'ada', intent, now, 0, 0)
    assert '5 endpoints ended' in plan.summary
    [step] = plan.steps
    assert configuration.apply(now, step.change, 8).quarantine == {}


def test_clearing_what_is_not_held_is_refused():
    now = configuration.Configuration()
    with pytest.raises(errors.UnknownItemError, match='in quarantine'):
        plans.build_plan('p', 'ada', plans.ClearQuarantine('d'), now, 0, 0)


# Complete systems.


async def quarantine_fatal_request(system):
    """Send a fatal request until all entry hosts have quarantined it."""
    for number in range(test_fatal_requests.COPIES):
        await test_fatal_requests.send_to_entry_host(
            system, number % 4, FATAL, f'fatal{number}'
        )
        await asyncio.gather(*(one.restart() for one in system.engines))
        held = [entry.replica.current.quarantine for entry in system.entries]
        if all(held):
            return
        await asyncio.sleep(test_fatal_requests.RESEND_INTERVAL_S)
    await nodes.until(
        lambda: all(
            entry.replica.current.quarantine for entry in system.entries
        )
    )


async def test_host_that_starts_holds_what_was_decided(tmp_path):
    async with test_fatal_requests.running_system(tmp_path) as system:
        await quarantine_fatal_request(system)
        sent = len(system.ends)
        for one in [*system.entries, *system.controls]:
            await one.close()
        system.entries.clear()
        system.controls.clear()
        for ip in system.control_ips:
            await system.start_control(ip, first_start=False)
        made = await system.start_entry()
        await nodes.until(lambda: made.replica.current.quarantine)
        await nodes.until(lambda: made.replica.serving)
        got = await test_fatal_requests.send_to_entry_host(
            system, 0, FATAL, 'again'
        )
        assert got.startswith(b'HTTP/1.1 503 ')
        assert endpoints.header(got, 'Wrenspoke-Refused') == 'quarantined'
        assert float(endpoints.header(got, 'Retry-After')) > 200
        assert len(system.ends) == sent


async def test_other_requests_are_served_during_quarantine(tmp_path):
    """Including requests whose content is repeated."""
    async with test_fatal_requests.running_system(tmp_path) as system:
        for number in range(test_fatal_requests.COPIES):
            asked = [FATAL, b'common', f'own {number}'.encode()]
            got = await asyncio.gather(
                *(
                    test_fatal_requests.send_to_entry_host(
                        system, number % 4, body, f'q{place}-{number}'
                    )
                    for place, body in enumerate(asked)
                )
            )
            for answer in got[1:]:
                refused = endpoints.header(answer, 'Wrenspoke-Refused')
                assert refused != 'quarantined'
            await asyncio.gather(*(one.restart() for one in system.engines))
        for host in range(4):
            for body in (b'common', b'new'):
                got = await test_fatal_requests.send_to_entry_host(
                    system, host, body, f'last{host}'
                )
                assert got.endswith(b'whole')


async def test_quarantined_request_is_refused_outside_its_home_regions(
    tmp_path,
):
    """It must be refused locally, without a round trip to other regions."""
    async with test_fatal_requests.running_system(tmp_path) as system:
        await quarantine_fatal_request(system)
        await system.put(test_passing.route(homes=('south',)))
        got = await test_fatal_requests.send_to_entry_host(
            system, 0, FATAL, 'again'
        )
        assert got.startswith(b'HTTP/1.1 503 ')
        assert endpoints.header(got, 'Wrenspoke-Refused') == 'quarantined'


@pytest.mark.parametrize('body', [b'', b'body'])
async def test_hold_received_while_connecting_prevents_send(
    tmp_path, monkeypatch, body
):
    async with test_fatal_requests.running_system(tmp_path) as system:
        host = system.entries[0]
        connector = host._client._pooled.connector
        connect = connector._create_connection
        digest_of = fingerprints.request_digest
        seen = []

        def note(*arguments):
            seen.append(digest_of(*arguments))
            return seen[-1]

        async def connect_late(*arguments):
            made = await connect(*arguments)
            host._guard._hold_provisionally(
                quarantining.Hold(seen[-1], 3, 60_000)
            )
            return made

        monkeypatch.setattr(fingerprints, 'request_digest', note)
        monkeypatch.setattr(connector, '_create_connection', connect_late)
        got = await test_fatal_requests.send_to_entry_host(
            system, 0, body, 'q'
        )
        assert endpoints.header(got, 'Wrenspoke-Refused') == 'quarantined'
        assert not any(engine.requests for engine in system.engines)


async def test_chat_that_waits_for_a_connection_is_held_back(tmp_path):
    """Chat requests are held right before sending; cancels still pass."""
    held = []

    class Guard(guards.Guard):
        def remaining_hold_ms(self, fingerprint):
            return 1_000 if held else None

    clock = FakeClock()
    engine = await endpoints.ScriptedEndpoint(
        lambda sent, _number: [test_passing.answer(sent, extra=b'X-A: 1\r\n')]
    ).start()
    known = replica.Replica()
    known.current = configuration.Configuration(
        endpoints={
            'e': configuration.Endpoint(
                'e',
                's',
                'north',
                'hall',
                f'http://{engine.address}',
                echoes_request_id=False,
            )
        }
    )
    known.serving = True
    client = web.HttpClient(1_000)
    guard = Guard(
        known, FakeReporter(), FakePeers(), lambda _name: False, clock
    )
    dispatcher = dispatch.Dispatcher(
        'h', 'north', known, client, clock, guard=guard
    )
    connect = client._unpooled.connector._create_connection

    async def connect_late(*arguments):
        made = await connect(*arguments)
        held.append(True)
        return made

    client._unpooled.connector._create_connection = connect_late
    head = test_dispatch.HEAD
    head = msgspec.structs.replace(head, deadline_ms=clock.now_ms + 500)
    slot = test_dispatch.slot(known.current.endpoints['e'])
    work = dispatch.Send(
        dispatch.Purpose.FIRST, 'e', 'GET', '/', None, head, slot
    )
    with pytest.raises(coordination_errors.NotSentError):
        async with dispatcher.send(work):
            pass
    assert engine.requests == []
    cancel = dispatch.Send(
        dispatch.Purpose.CANCEL, 'e', 'GET', '/', None, head
    )
    async with dispatcher.send(cancel):
        pass
    assert len(engine.requests) == 1
    await client.close()
    await engine.close()


async def test_chat_is_served_again_once_an_operator_clears_it(tmp_path):
    made = fleet.deployment(engines=4, controls=3)
    async with fleet.running(tmp_path, made) as running:
        await running.engine_faults(
            fatal_text=FATAL.decode(), back_after_ms=50
        )
        caller = running.caller('north-1')
        chat = test_fatal_requests.FATAL_CHAT

        async def is_held():
            found = await caller.chat(chat)
            await running.wait_standins()
            if found.reason != 'quarantined':
                return None
            if found.status == 502:
                # Held after its first try had crashed an engine.
                assert found.outcome == 'unknown'
                return None
            return found

        found = await fleet.until(is_held, 'a held request')
        assert (found.outcome, found.status) == ('not_run', 503)
        assert int(found.headers[headers.RETRY_AFTER]) > 1
        operator = running.operator()

        async def listed():
            answer = await operator.show('/configuration')
            return answer.body['quarantine']

        [digest] = await fleet.until(listed, 'a decision')
        await running.engine_faults()
        intent = {'type': 'clear_quarantine', 'digest': digest}
        planned = await operator.plan(1, intent)
        plan = planned.body['answer']['plan']
        await operator.confirm(2, plan)

        async def is_served():
            return (await caller.chat(chat)).outcome == 'whole'

        await fleet.until(is_served, 'a whole answer')


# Parts of prompts.


# Requests that share a part must be recognized by it, whatever else differs.
@pytest.mark.parametrize(
    'header, count',
    [
        ('', 0),
        ('own:5', 0),
        ('first:800,own:5', 1),
        (' first:800 , mid:3 ,own:5,', 2),
        # Repeated before the last part.
        ('first:800,first:800,own:5', 1),
        # A part counts whether or not its length is well-formed.
        ('first:x,mid,:4,own:5', 2),
        # The check covers more parts than the choice of an endpoint.
        (','.join(f'{n}:1' for n in range(400)), 399),
    ],
)
def test_all_parts_but_the_last_are_recognized(header, count):
    reader = dialects.CallReader(dialects.Dialect(), 1_000)
    raw = [
        (b'Wrenspoke-Request-Id', b'q1'),
        (b'Wrenspoke-Prompt-Parts', header.encode()),
    ]
    call = reader.read('POST', '/a/x', raw, 0)
    assert len(call.fingerprint.parts) == count


def test_messages_of_a_chat_are_its_parts():
    first, second, last = (
        {'role': 'user', 'content': text} for text in ('a', 'b', 'c')
    )
    found = fingerprints.message_parts([first, second, last])
    assert len(set(found)) == 2
    reordered = {'content': 'a', 'role': 'user'}
    assert fingerprints.message_parts([reordered, last]) == found[:1]
    assert fingerprints.message_parts([last]) == ()
    # A name that a caller chooses can't stand for a message.
    name = msgspec.json.encode(first, order='sorted').decode()
    assert fingerprints.named_parts([name, 'own']) != found[:1]
