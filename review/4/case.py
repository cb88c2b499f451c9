"""A control host and then an entry host are stopped, as in a rolling restart.

Clients that hold a valid answer of the directory send streams to the entry
host later than 3 s after its SIGTERM. It takes them, and is killed after
graceS in the middle of their answers.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
import uuid

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness2 as h  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
GRACE_S = 8.0
CONTACT_S = 6.0
# Delay after which the platform starts a process again.
RESTART_S = 0.5
# From the SIGTERM of the control host to that of the entry host.
GAP_S = 0.15
# When clients send their streams, after the SIGTERM of the entry host.
SENT_S = [3.02 + 0.02 * number for number in range(15)]
EVENTS, EVENT_S = 24, 0.3
DEADLINE_MS = 15000
record = []


def note(text):
    record.append(f'{h.now():8.3f}  {text}')


async def stream(engine, _method, _target, fields, _body, writer):
    """Run a stream of EVENTS events, as an engine of the pages does."""
    request = fields['request-id']
    engine.note('run', request)
    note(f'engine {engine.id} runs {request}')
    writer.write((
        'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        f'Request-Id: {request}\r\nServer-Stamp: {engine.id}.{request}\r\n'
        'Transfer-Encoding: chunked\r\n\r\n').encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        if writer.transport.is_closing():
            note(f'engine {engine.id}: caller of {request} left before '
                 f'event {number}')
            return True
        event = f'id: {number}\ndata: {request} {number}\n\n'.encode()
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
    writer.write(b'0\r\n\r\n')
    note(f'engine {engine.id} has ended {request} well')
    return True


async def client(address, stopped, after_s):
    """Send one stream on a new connection; return what became of it."""
    await asyncio.sleep(max(0, stopped + after_s - h.now()))
    request = uuid.uuid4().hex[:16]
    sent = h.now()
    note(f'client sends {request} to {address}, {sent - stopped:.3f} s after '
         'its SIGTERM')
    status, _fields, body = await h.request(
        address, '/ask/x', request, b'question', DEADLINE_MS)
    events = body.count(b'\n\n') if isinstance(status, int) else 0
    note(f'client has {status} for {request}, {events} events, '
         f'{h.now() - sent:.3f} s after it was sent')
    return request, sent, status, h.now()


async def stop(machine):
    """Stop a machine as the platform does: SIGTERM, SIGKILL after graceS."""
    note(f'SIGTERM to {machine.name}')
    machine.send(signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    while machine.process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.01)
    if machine.process.poll() is None:
        note(f'{machine.name} still runs after graceS: SIGKILL')
        machine.kill()
    else:
        note(f'{machine.name} has ended')
    await asyncio.sleep(RESTART_S)
    machine.start()
    note(f'{machine.name} is started again')


async def play(cluster, engines):
    cluster.start()
    for number, zone in enumerate(cluster.zones, 1):
        engine = h.Engine(cluster, 'guide', zone,
                          f'{cluster.net}.{number}.100', slots=64)
        engine.hook = stream
        await engine.start()
        engines.append(engine)
    table = h.config(1, [h.route(
        'ask', '/ask/', 'streaming', 'guide', timeoutMs=15000,
        targetLatencyMs=1500, maxAttempts=1, gapAimMs=400)],
        [h.service('guide')])
    status, _answer, _by = await h.Operator(cluster).order(
        'POST', '/config/replace', table)
    if status != 200 or not await h.wait_ready(cluster):
        return None
    await asyncio.sleep(CONTACT_S + 2.0)
    control, entry = cluster.controls[0], cluster.entries[0]
    address = f'{entry.ip}:{h.FRONT}'
    probe = await h.request(address, '/ask/x', uuid.uuid4().hex[:16],
                            b'question', DEADLINE_MS)
    if probe[0] != 200:
        return None
    other = cluster.controls[1]
    status, _fields, body = await h.call(
        f'{other.ip}:{h.DIRECTORY}', 'GET',
        f'/resolve?name=api.example&region={cluster.zones[entry.zone]}'
        f'&zone={entry.zone}')
    note(f'the directory answers {status} {body.decode()}')
    if address not in json.loads(body)['addresses']:
        return None
    stops = []
    if TROUBLE:
        stops.append(asyncio.ensure_future(stop(control)))
    await asyncio.sleep(GAP_S)
    stopped = h.now()
    stops.append(asyncio.ensure_future(stop(entry)))
    ends = await asyncio.gather(
        *(client(address, stopped, after_s) for after_s in SENT_S))
    await asyncio.gather(*stops)
    run = {request for engine in engines
           for _at, _id, what, request, _more in engine.record
           if what == 'run'}
    lost = [
        request for request, sent, status, ended in ends
        if request in run and status != 200
        and sent > stopped + 3.0 and ended < stopped + GRACE_S + 1.0
        and ended < sent + DEADLINE_MS / 1000 - 0.5
    ]
    taken = [request for request, *_rest in ends if request in run]
    note(f'{len(taken)} of {len(ends)} streams sent later than 3 s after the '
         f'SIGTERM were passed on to an engine, {len(lost)} of them were cut '
         'while it was at work')
    return len(lost)


async def main():
    cluster = h.Cluster(
        {'hall-a': 'north', 'hall-b': 'middle', 'hall-c': 'south'}, entries=2)
    engines = []
    lost = None
    try:
        lost = await asyncio.wait_for(play(cluster, engines), 100)
    except (OSError, asyncio.TimeoutError, KeyError, ValueError) as error:
        note(f'could not run: {error!r}')
    finally:
        for engine in engines:
            engine.close()
        cluster.close()
    verdict = 2 if lost is None else int(lost > 0)
    note(f'TROUBLE={int(TROUBLE)}: exit {verdict}')
    (HERE / 'record.txt').write_text('\n'.join(record) + '\n')
    return verdict


sys.exit(asyncio.run(main()))
