"""Answers that are taken up over another path when a link is lost."""

import asyncio
import contextlib
import os
import random

import pytest
import structlog

from tests import endpoints
from tests import loops
from tests import nodes
from tests import test_passing
from wrenspoke.coordination.serving import take_up
from wrenspoke import node as settings
from wrenspoke.protocol import call_memory
from wrenspoke.protocol import kept_answers
from wrenspoke.protocol import passthrough_api
from wrenspoke.standin import relay
from wrenspoke.state import routes
from wrenspoke.transport import errors
from wrenspoke.transport import web

ENABLED = {'request_path': settings.RequestPathSettings(enabled=True)}
SUSPECT_AFTER_MS = 300
EVENTS = [b'id: %d\ndata: x\n\n' % number for number in range(6)]
SERIES = int(os.environ.get('WRENSPOKE_SOAK_SEEDS', '150'))


event_loop_policy = loops.event_loop_policy


class Engine:
    """Answers with events, and waits for the test before the third one."""

    def __init__(self):
        self.requests = 0
        self.arrived = asyncio.Event()
        self.goes_on = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.is_stream = True
        self._server = None

    async def start(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'
        return self

    async def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            sent = await endpoints.read_request(reader)
            self.requests += 1
            if self.is_stream:
                for piece in test_passing.chunked(sent, *EVENTS[:2]):
                    writer.write(piece)
            self.arrived.set()
            ending = asyncio.ensure_future(reader.read())
            going = asyncio.ensure_future(self.goes_on.wait())
            await asyncio.wait(
                [ending, going], return_when=asyncio.FIRST_COMPLETED
            )
            if ending.done():
                going.cancel()
                self.cancelled.set()
                return
            if self.is_stream:
                for piece in test_passing.chunked(sent, *EVENTS[2:])[1:]:
                    writer.write(piece)
                writer.write(test_passing.END)
            else:
                writer.write(test_passing.answer(sent))
            await ending
        writer.close()


class Deployment:
    """A host in each of three regions; the south is reached by a relay."""

    def __init__(self, system, link, engine):
        self.system = system
        self.north, self.south, self.west = system.entries
        self.link = link
        self.engine = engine
        self.is_cut = False

    def cut(self):
        """Drop all between north and south, in silence."""
        self.is_cut = True
        self.link.cut()

    def heal(self):
        self.is_cut = False
        self.link.heal()

    def memory_of_south(self):
        """Return what the south's host remembers of calls."""
        handler = self.south._host_server._handler
        return handler.__self__._memory

    def ended_take_ups(self, lines):
        """Return how many times an answer was taken up, by its log."""
        return sum(
            line['event'] == 'take_up_ended' and line['taken_up']
            for line in lines
        )

    async def open(self, line='POST /a/x HTTP/1.1', request_id='q1'):
        """Send a call to the north's host; return the open connection."""
        ip, _, port = self.north.node.callers_address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(test_passing.request(line, request_id=request_id))
        return reader, writer


@contextlib.asynccontextmanager
async def deployed(folder, monkeypatch, kind=routes.RouteKind.ONCE):
    """Run a host in each region, and an engine in the south."""
    system = nodes.Nodes(folder)
    system.changes = ENABLED
    engine = await Engine().start('127.0.0.1')
    (port,) = web.free_ports(1)
    link = None
    try:
        for ip in system.control_ips:
            await system.start_control(ip)
        for data_centre in ('north-hall', 'south-hall', 'west-hall'):
            await system.start_entry(
                data_centre, suspect_after_ms=SUSPECT_AFTER_MS
            )
        south = system.entries[1]
        link = relay.Relay(south.node.ip, south.node.passing_port)
        await link.start(port)
        made = Deployment(system, link, engine)
        put_relay_between(made, f'127.0.0.1:{port}', monkeypatch)
        await system.put(
            test_passing.route(kind, timeout_ms=20_000, attempts_limit=2)
        )
        await system.register('e', engine, data_centre='south-hall')
        north = made.north
        await nodes.until(
            lambda: all(
                north._pinger.is_answering(one.node.host)
                for one in (made.south, made.west)
            )
        )
        yield made
    finally:
        engine.goes_on.set()
        if link is not None:
            link.heal()
        await system.close()
        if link is not None:
            await link.close()
        await engine.close()


def put_relay_between(made, address, monkeypatch):
    """Let the north's host reach the south through the relay only."""
    south = made.south._record().passing_address
    client = made.north._hosts_client

    def through(name, position):
        call = getattr(client, name)

        def relayed(*arguments, **named):
            found = list(arguments)
            if found[position] == south:
                found[position] = address
            return call(*found, **named)

        monkeypatch.setattr(client, name, relayed)

    through('send_verbatim', 1)
    through('open_idle', 0)
    through('count_idle', 0)
    through('close_idle', 0)
    ping = made.north._pinger._ping

    async def ping_unless_cut(host, remote, timeout_ms):
        if not made.is_cut or host != made.south.node.host:
            return await ping(host, remote, timeout_ms)
        remote.failed_ms = made.north.clock.mono_ms()
        return False

    monkeypatch.setattr(made.north._pinger, '_ping', ping_unless_cut)


def body_of(answer):
    """Return the body of a chunked response, which must have ended."""
    _head, _, rest = answer.partition(b'\r\n\r\n')
    body = b''
    while True:
        size, _, rest = rest.partition(b'\r\n')
        length = int(size, 16)
        if not length:
            return body
        body += rest[:length]
        rest = rest[length + 2 :]


async def ask_behind_a_cut(made):
    """Return the response to a call that is cut off before its answer."""
    made.engine.is_stream = False
    reader, writer = await made.open()
    await nodes.until(made.engine.arrived.is_set)
    made.cut()
    made.engine.goes_on.set()
    async with asyncio.timeout(nodes.WAIT_S):
        got = await reader.read()
    writer.close()
    return got


async def test_answer_made_behind_a_cut_arrives_through_a_third_region(
    tmp_path, monkeypatch
):
    """A once-only call could not be run again: its caller would get a 502."""
    async with deployed(tmp_path, monkeypatch) as made:
        with structlog.testing.capture_logs() as lines:
            got = await ask_behind_a_cut(made)
        assert got.startswith(b'HTTP/1.1 200 ') and got.endswith(b'whole')
        assert made.engine.requests == 1
        assert passthrough_api.TAKEN_UP_HEADER.encode() not in got
        taken = [line for line in lines if line['event'] == 'answer_taken_up']
        assert [line['offset'] for line in taken] == [0]


async def test_token_of_a_kept_answer_is_not_sent_to_the_caller(
    tmp_path, monkeypatch
):
    """Guards against headers between hosts in a caller's response."""
    async with deployed(tmp_path, monkeypatch) as made:
        got = await ask_behind_a_cut(made)
    assert got.startswith(b'HTTP/1.1 200 ') and got.endswith(b'whole')
    assert passthrough_api.TAKE_UP_HEADER.encode() not in got, got


async def test_stream_that_is_cut_goes_on_from_its_last_byte(
    tmp_path, monkeypatch
):
    kind = routes.RouteKind.STREAM
    async with deployed(tmp_path, monkeypatch, kind) as made:
        with structlog.testing.capture_logs() as lines:
            reader, writer = await made.open()
            async with asyncio.timeout(nodes.WAIT_S):
                got = await reader.readuntil(EVENTS[1])
                made.cut()
                made.engine.goes_on.set()
                got += await reader.read()
            writer.close()
        assert body_of(got) == b''.join(EVENTS)
        assert made.engine.requests == 1
        taken = [line for line in lines if line['event'] == 'answer_taken_up']
        assert taken and taken[0]['offset'] == sum(map(len, EVENTS[:2]))


async def test_path_that_works_is_kept_while_the_first_one_stays_cut(
    tmp_path, monkeypatch
):
    """Guards against taking an answer up again with each ping unanswered."""
    kind = routes.RouteKind.STREAM
    async with deployed(tmp_path, monkeypatch, kind) as made:
        with structlog.testing.capture_logs() as lines:

            def count(name):
                return sum(line['event'] == name for line in lines)

            reader, writer = await made.open()
            async with asyncio.timeout(nodes.WAIT_S):
                got = await reader.readuntil(EVENTS[1])
                made.cut()
                await nodes.until(lambda: count('answer_taken_up'))
                silent = count('host_unreachable')
                await nodes.until(
                    lambda: count('host_unreachable') >= silent + 4
                )
                made.engine.goes_on.set()
                got += await reader.read()
            writer.close()
        assert body_of(got) == b''.join(EVENTS)
        assert count('answer_taken_up') == 1


async def test_answer_is_taken_up_again_if_the_new_path_ends(
    tmp_path, monkeypatch
):
    kind = routes.RouteKind.STREAM
    async with deployed(tmp_path, monkeypatch, kind) as made:
        with structlog.testing.capture_logs() as lines:

            def count():
                return sum(x['event'] == 'answer_taken_up' for x in lines)

            reader, writer = await made.open()
            async with asyncio.timeout(nodes.WAIT_S):
                got = await reader.readuntil(EVENTS[1])
                made.cut()
                await nodes.until(lambda: made.ended_take_ups(lines) == 1)
                (answer,) = made.south._kept_answers._answers.values()
                # Another reader ends the connection to the third region.
                answer.attach(answer.sent_bytes)
                await nodes.until(lambda: count() == 2)
                made.engine.goes_on.set()
                got += await reader.read()
            writer.close()
        assert body_of(got) == b''.join(EVENTS)
        assert made.engine.requests == 1


async def test_engine_that_still_works_behind_a_cut_is_waited_for(
    tmp_path, monkeypatch
):
    """The answer is taken up first and made afterwards."""
    async with deployed(tmp_path, monkeypatch) as made:
        made.engine.is_stream = False
        with structlog.testing.capture_logs() as lines:
            reader, writer = await made.open()
            await nodes.until(made.engine.arrived.is_set)
            made.cut()
            await nodes.until(
                lambda: any(x['event'] == 'answer_taken_up' for x in lines)
            )
            made.engine.goes_on.set()
            async with asyncio.timeout(nodes.WAIT_S):
                got = await reader.read()
            writer.close()
        assert got.endswith(b'whole') and made.engine.requests == 1


async def test_host_that_knows_nothing_leaves_the_first_connection(
    tmp_path, monkeypatch
):
    """The answer may still come, once the link is there again."""
    async with deployed(tmp_path, monkeypatch) as made:
        made.engine.is_stream = False
        with structlog.testing.capture_logs() as lines:
            reader, writer = await made.open()
            await nodes.until(made.engine.arrived.is_set)
            made.south._kept_answers._answers.clear()
            made.cut()
            await nodes.until(
                lambda: any(x['event'] == 'take_up_ended' for x in lines)
            )
            made.engine.goes_on.set()
            made.heal()
            async with asyncio.timeout(nodes.WAIT_S):
                got = await reader.read()
            writer.close()
        ended = [x for x in lines if x['event'] == 'take_up_ended']
        assert not any(line['taken_up'] for line in ended)
        assert got.endswith(b'whole') and made.engine.requests == 1


@pytest.mark.parametrize('seconds_up', [60, 0], ids=['long up', 'restarted'])
async def test_call_that_a_cut_swallowed_is_recalled_and_sent_elsewhere(
    tmp_path, monkeypatch, seconds_up
):
    """A once-only call on a warm connection; it arrives after the cut."""
    async with deployed(tmp_path, monkeypatch) as made:
        made.engine.is_stream = False
        made.engine.goes_on.set()
        memory = made.memory_of_south()
        memory._since_ms -= seconds_up * 1000
        with structlog.testing.capture_logs() as lines:

            def count(name):
                return sum(line['event'] == name for line in lines)

            # Pings are answered until the call was forwarded, as calls are
            # not forwarded to a host that failed to answer one.
            made.link.cut()
            reader, writer = await made.open()
            await nodes.until(lambda: count('passed_on'))
            made.cut()
            if not seconds_up:
                await nodes.until(lambda: count('take_up_ended'))
                assert not count('call_recalled') and not made.engine.requests
                made.heal()
            async with asyncio.timeout(nodes.WAIT_S):
                got = await reader.read()
            writer.close()
            made.heal()
            if seconds_up:
                assert count('call_recalled') == 1
                await nodes.until(lambda: count('recalled_call_refused'))
        assert got.endswith(b'whole')
        assert made.engine.requests == 1


async def test_caller_that_leaves_ends_the_run_behind_a_hop(
    tmp_path, monkeypatch
):
    kind = routes.RouteKind.STREAM
    async with deployed(tmp_path, monkeypatch, kind) as made:
        reader, writer = await made.open()
        async with asyncio.timeout(nodes.WAIT_S):
            await reader.readuntil(EVENTS[1])
            writer.close()
            await made.engine.cancelled.wait()
        await nodes.until(
            lambda: (
                not made.south._kept_answers._answers
                and not made.south.passthrough.in_flight
            )
        )


async def test_whole_answers_are_forgotten_after_a_time(tmp_path, monkeypatch):
    monkeypatch.setattr(kept_answers, 'KEEP_MS', 50)
    async with deployed(tmp_path, monkeypatch) as made:
        made.engine.is_stream = False
        made.engine.goes_on.set()
        reader, writer = await made.open()
        got = await reader.read()
        writer.close()
        assert got.endswith(b'whole')
        store = made.south._kept_answers
        await nodes.until(lambda: not store._answers)
        assert not store.bytes_kept


async def test_repeatable_call_is_run_again_if_no_path_has_its_answer(
    tmp_path, monkeypatch
):
    kind = routes.RouteKind.REPEATABLE
    async with deployed(tmp_path, monkeypatch, kind) as made:
        made.engine.is_stream = False
        second = await endpoints.ScriptedEndpoint(
            lambda sent, _number: [test_passing.answer(sent, b'second')]
        ).start()
        reader, writer = await made.open('GET /a/x HTTP/1.1')
        await nodes.until(made.engine.arrived.is_set)
        await made.system.register('e2', second, data_centre='west-hall')
        made.cut()
        async with asyncio.timeout(nodes.WAIT_S):
            got = await reader.read()
        writer.close()
        await second.close()
        assert got.endswith(b'second')
        assert made.engine.requests == 1 and len(second.requests) == 1


class FakeClock:
    """A clock that only the test moves."""

    def __init__(self, now_ms=1_000_000):
        self.now_ms = now_ms

    def mono_ms(self):
        return self.now_ms


GENERATION_MS = call_memory.GENERATION_MS
TRANSIT_MS = call_memory.TRANSIT_LIMIT_MS


@pytest.mark.parametrize(
    'up_ms, age_ms, began_ms_ago, is_recalled',
    [
        (60_000, 1_000, None, True),
        (60_000, 1_000, 500, False),
        (500, 1_000, None, False),
        (TRANSIT_MS, 1_000, None, False),
        (TRANSIT_MS + 1_000, 1_000, None, True),
        (10 * GENERATION_MS, GENERATION_MS - TRANSIT_MS, None, True),
        (10 * GENERATION_MS, 2 * GENERATION_MS, None, False),
        (10 * GENERATION_MS, GENERATION_MS, GENERATION_MS, False),
    ],
    ids=[
        'swallowed by the link',
        'being run',
        'host has started since',
        'question may have been long on its way',
        'host started just before',
        'old call, still remembered',
        'older than the memory',
        'ran long ago',
    ],
)
def test_call_is_recalled_only_if_it_surely_has_not_begun(
    up_ms, age_ms, began_ms_ago, is_recalled
):
    clock = FakeClock()
    memory = call_memory.CallMemory(clock)
    end_ms = clock.now_ms + up_ms
    if began_ms_ago is not None:
        clock.now_ms = end_ms - began_ms_ago
        assert memory.admit('t')
    clock.now_ms = end_ms
    assert memory.recall('t', age_ms) is is_recalled
    assert memory.admit('t') is not is_recalled


@pytest.mark.parametrize('seed', range(SERIES))
def test_recalled_call_never_runs_in_drawn_series(seed):
    """Restarts, calls and questions that are late, forgotten or repeated."""
    draw = random.Random(seed)
    clock = FakeClock()
    memory = call_memory.CallMemory(clock)
    sent, began, recalled = {}, set(), set()
    lives = {}
    life = 0
    for number in range(400):
        clock.now_ms += draw.choice([0, 1, 50, 1_000, 9_000])
        step = draw.random()
        if step < 0.35:
            sent[number] = clock.now_ms
            # A connection ends with the process that it leads to.
            lives[number] = life
        elif step < 0.6 and sent:
            token = draw.choice(list(sent)[-8:])
            # The old connection's bytes arrive within some seconds.
            is_late = clock.now_ms - sent[token] > GENERATION_MS
            if lives[token] == life and not is_late and token not in began:
                if memory.admit(str(token)):
                    began.add(token)
        elif step < 0.97 and sent:
            token = draw.choice(list(sent)[-8:])
            asked_ms = clock.now_ms
            clock.now_ms += draw.choice([0, 200, TRANSIT_MS])
            if memory.recall(str(token), asked_ms - sent[token]):
                recalled.add(token)
        else:
            memory = call_memory.CallMemory(clock)
            life += 1
        assert not began & recalled
    assert began


@pytest.fixture
def store():
    """Return an empty store."""
    return kept_answers.AnswerStore()


class Connection:
    """A reader of a kept answer that is lost after some chunks."""

    bytes_read = 0

    def __init__(self, answer, offset, chunks_left=None, lost_bytes=0):
        self._answer = answer
        self._reader = answer.attach(offset)
        self._chunks_left = chunks_left
        self._lost_bytes = lost_bytes

    async def read(self):
        """Yield chunks; the last ones may be sent and never arrive."""
        answer, reader = self._answer, self._reader
        while (chunk := await answer.next_chunk(reader)) is not None:
            answer.mark_sent(reader, len(chunk))
            if self._chunks_left == 0:
                arrived = chunk[: max(len(chunk) - self._lost_bytes, 0)]
                if arrived:
                    yield arrived
                raise errors.MaybeSentError('the link is cut')
            if self._chunks_left is not None:
                self._chunks_left -= 1
            yield chunk
        if not answer.is_complete(reader):
            raise errors.MaybeSentError('the answer was aborted')


@pytest.mark.parametrize('seed', range(SERIES))
async def test_each_byte_arrives_once_in_drawn_series(
    seed, store, monkeypatch
):
    """Cuts, lost ends, take-ups from earlier bytes, a small memory."""
    draw = random.Random(seed)
    limit = draw.choice([40, 200, 10_000])
    monkeypatch.setattr(kept_answers, 'ANSWER_LIMIT_BYTES', limit)
    if draw.random() < 0.2:
        monkeypatch.setattr(kept_answers, 'STORE_LIMIT_BYTES', 60)
    answer = store.open('t')
    made = [draw.randbytes(draw.randint(1, 30)) for _chunk in range(30)]
    fails = draw.random() < 0.2
    refused = []
    Connection.bytes_read = 0

    async def produce():
        for chunk in made:
            for _turn in range(draw.randint(0, 3)):
                await asyncio.sleep(0)
            await answer.append(chunk)
        if fails:
            answer.fail()
        else:
            answer.end()

    async def resume(error):
        await asyncio.sleep(0)
        if answer.failed or draw.random() < 0.05:
            raise error
        back = draw.choice([0, 0, 0, 1, 7, 35])
        offset = max(Connection.bytes_read - back, 0)
        if not answer.can_read_from(offset):
            refused.append(offset)
            raise error
        chunks_left = draw.choice([None, 0, 1, 4])
        return (
            Connection(answer, offset, chunks_left, draw.randint(0, 40)),
            offset,
        )

    production = asyncio.ensure_future(produce())
    first = Connection(answer, 0, draw.choice([None, 0, 1, 4]), 12)
    got = b''
    is_whole = True
    try:
        async for chunk in take_up.read_on(resume, Connection.read, first):
            got += chunk
            Connection.bytes_read = len(got)
    except errors.MaybeSentError:
        is_whole = False
    production.cancel()
    await asyncio.wait([production])
    whole = b''.join(made)
    assert whole.startswith(got)
    assert not is_whole or got == whole
    assert not (is_whole and fails)
    assert len(answer._data) <= max(limit, 30) or limit == 10_000
    assert store.bytes_kept == len(answer._data)


async def test_newer_reader_ends_the_one_before(store):
    answer = store.open('t')
    first = answer.attach(0)
    waiting = asyncio.ensure_future(answer.next_chunk(first))
    await asyncio.sleep(0)
    second = answer.attach(0)
    assert await waiting is None
    await answer.append(b'abc')
    assert await answer.next_chunk(second) == b'abc'
    answer.mark_sent(first, 3)
    assert answer.sent_bytes == 0


async def test_answer_that_is_being_sent_delays_the_end_of_a_host(store):
    answer = store.open('t')
    reader = answer.attach(0)
    await answer.append(b'abc')
    assert not store.has_unsent()
    answer.end()
    assert store.has_unsent()
    answer.mark_sent(reader, 3)
    assert not store.has_unsent()


async def test_answer_whose_reader_left_delays_nothing(store):
    answer = store.open('t')
    reader = answer.attach(0)
    await answer.append(b'abc')
    answer.end()
    answer.detach(reader, 0)
    assert not store.has_unsent()


async def test_draining_host_sends_what_it_keeps(tmp_path, monkeypatch):
    """An answer that is made while its host leaves is sent."""
    async with deployed(tmp_path, monkeypatch) as made:
        made.engine.is_stream = False
        reader, writer = await made.open()
        await nodes.until(made.engine.arrived.is_set)
        draining = asyncio.ensure_future(made.south.drain())
        made.engine.goes_on.set()
        async with asyncio.timeout(nodes.WAIT_S):
            got = await reader.read()
            await draining
        writer.close()
        assert got.endswith(b'whole') and made.engine.requests == 1


async def test_reader_that_left_does_not_end_what_another_reads(store):
    answer = store.open('t')
    answer.production = asyncio.ensure_future(asyncio.sleep(3_600))
    first = answer.attach(0)
    second = answer.attach(0)
    answer.detach(first, 0)
    await asyncio.sleep(0)
    assert not answer.production.cancelled()
    answer.detach(second, 0)
    await asyncio.wait([answer.production])
    assert answer.production.cancelled()


@pytest.mark.parametrize(
    'token, kept_bytes, is_kept',
    [
        ('new', 0, True),
        (None, 0, False),
        ('t', 0, False),
        ('new', kept_answers.STORE_LIMIT_BYTES, False),
    ],
    ids=['room', 'no token', 'known token', 'memory is used up'],
)
async def test_call_is_kept_only_where_there_is_room(
    store, token, kept_bytes, is_kept
):
    store.open('t')
    store.bytes_kept = kept_bytes
    assert (store.open(token) is not None) is is_kept
