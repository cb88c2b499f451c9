"""``wrenspoke-load``: open-loop load on a deployment, with a history.

Requests leave at their own times whether or not earlier ones have ended,
as callers do. The mix is of chats in sessions, bound chats, lookups,
and once-only calls that are sometimes sent twice.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import sys

from hdrh import histogram
import msgspec

from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke import history
from wrenspoke import ids
from wrenspoke import logs
from wrenspoke.protocol import headers
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.standin import engine
from wrenspoke.state import configuration
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
DIGITS = 3
PERCENTILES = (50, 99, 99.9)
RESEND_SHARE = 0.2
DRAIN_TIMEOUT_MS = 30_000
MS_PER_S = 1000
TOKENS_PER_MTOK = 1_000_000

DEFAULT_MIX = {'chat': 6, 'bound': 2, 'lookup': 1, 'once': 1}


@dataclasses.dataclass
class Plan:
    """Rate, duration and request mix of a load run.

    ``mix`` weights the request kinds; ``homes`` lists the callers' home
    regions, all regions with entry hosts if empty.
    """

    rate_per_s: float
    duration_ms: int
    seed: int = 1
    sessions: int = 200
    deadline_ms: int = 10_000
    tokens: int = 16
    mix: dict[str, int] = dataclasses.field(
        default_factory=lambda: dict(DEFAULT_MIX)
    )
    homes: tuple[str, ...] = ()


class LoadGenerator:
    """Sends open-loop load to the entry hosts and records a history."""

    def __init__(self, deployment: settings.Deployment, plan: Plan):
        self._deployment = deployment
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._clock = clocks.Clock()
        self._callers: dict[str, callers.Caller] = {}
        self._entries: dict[str, list[str]] = {}
        for host in deployment.with_role('entry'):
            url = f'http://{host.ip}:{host.http_port}'
            self._entries.setdefault(host.region, []).append(url)
        kinds = {item.kind: item.service for item in deployment.services}
        self._plain_service = kinds.get(configuration.ServiceKind.PLAIN)
        once = [rule for rule in deployment.rules if rule.once]
        self._once_path = once[0].path_prefix if once else None
        self.history: list[history.RequestRecord] = []

    async def run(self) -> list[history.RequestRecord]:
        """Send the load, wait for all requests to end, return the history.

        Requests still running ``DRAIN_TIMEOUT_MS`` after the last one was
        sent are cancelled.
        """
        tasks = set()
        started_ms = self._clock.mono_ms()
        due_ms = float(started_ms)
        end_ms = started_ms + self._plan.duration_ms
        while due_ms < end_ms:
            await self._clock.sleep_ms(due_ms - self._clock.mono_ms())
            task = asyncio.create_task(self._ask_one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            gap_s = self._random.expovariate(self._plan.rate_per_s)
            due_ms += gap_s * MS_PER_S
        if tasks:
            await asyncio.wait(tasks, timeout=DRAIN_TIMEOUT_MS / MS_PER_S)
        await runtime.cancel(tasks)
        for caller in self._callers.values():
            await caller.close()
        return self.history

    async def _ask_one(self) -> None:
        mix = self._plan.mix
        kind = self._random.choices(list(mix), list(mix.values()))[0]
        homes = self._plan.homes or tuple(self._entries)
        home = self._random.choice(homes)
        # Some callers send to a region other than their home.
        region = home
        if self._random.random() < 0.1:
            region = self._random.choice(list(self._entries))
        urls = list(self._entries[region])
        self._random.shuffle(urls)
        asked = history.RequestRecord(
            request=ids.new_random_id(),
            kind=kind,
            entry=urls[0],
            home=home,
            bound=kind == 'bound',
            once=kind == 'once',
            sent_ms=self._clock.wall_ms(),
            ended_ms=0,
            outcome='lost',
        )
        caller = callers.Caller(urls, client=self._shared_client())
        try:
            await KINDS[kind](self, caller, asked)
        finally:
            asked.ended_ms = self._clock.wall_ms()
            self.history.append(asked)

    def _shared_client(self) -> web.HttpClient:
        if 'shared' not in self._callers:
            self._callers['shared'] = callers.Caller([])
        return self._callers['shared'].client

    def _build_headers(self, asked: history.RequestRecord) -> dict[str, str]:
        sent = {
            headers.REQUEST: asked.request,
            headers.HOME: asked.home,
            headers.DEADLINE_MS: str(self._plan.deadline_ms),
        }
        if asked.bound:
            sent[headers.BOUND] = 'true'
        return sent

    async def ask_chat(
        self, caller: callers.Caller, asked: history.RequestRecord
    ) -> None:
        """Request a streamed chat completion in a random session."""
        number = self._random.randrange(self._plan.sessions)
        session = f'{asked.home}-{number}'
        messages = [{'role': 'user', 'content': f'hello from {session}'}]
        body = {
            'messages': messages,
            'stream': True,
            'max_tokens': self._plan.tokens,
        }
        sent = {**self._build_headers(asked), headers.SESSION: session}
        result = await caller.chat(body, sent)
        words = engine.answer_words(messages, self._plan.tokens)
        _record_result(asked, result, result.text == ''.join(words))

    async def ask_lookup(
        self, caller: callers.Caller, asked: history.RequestRecord
    ) -> None:
        """Send an idempotent request to the plain service."""
        result = await caller.call(
            'GET', self._plain_service, '/map', self._build_headers(asked)
        )
        _record_result(asked, result, _is_own(result, asked))

    async def ask_once(
        self, caller: callers.Caller, asked: history.RequestRecord
    ) -> None:
        """Send a once-only request, sometimes twice concurrently."""
        asked.request = callers.once_id(asked.home, self._clock)
        method = self._random.choice(['GET', 'POST'])
        sent = self._build_headers(asked)
        first = caller.call(method, self._plain_service, self._once_path, sent)
        if self._random.random() >= RESEND_SHARE:
            result = await first
            _record_result(asked, result, _is_own(result, asked))
            return
        again = {**sent, headers.ATTEMPT: '2'}
        result, second = await asyncio.gather(
            first,
            caller.call(method, self._plain_service, self._once_path, again),
        )
        _record_result(asked, result, _is_own(result, asked))
        other = msgspec.structs.replace(asked, hosts=[])
        _record_result(other, second, _is_own(second, asked))
        # Of two concurrent attempts one may correctly be reported as not
        # run while the other ran; such a pair is recorded as one request.
        if 'not_run' not in (asked.outcome, other.outcome):
            self.history.append(other)
        elif asked.outcome == 'not_run':
            asked.outcome = other.outcome
            asked.whole = other.whole


KINDS = {
    'chat': LoadGenerator.ask_chat,
    'bound': LoadGenerator.ask_chat,
    'lookup': LoadGenerator.ask_lookup,
    'once': LoadGenerator.ask_once,
}


def _record_result(
    asked: history.RequestRecord, result: callers.Result, whole: bool
) -> None:
    asked.outcome = result.outcome
    asked.reason = result.reason
    asked.whole = whole
    asked.first_ms = result.first_ms
    asked.hosts = result.hosts


def _is_own(result: callers.Result, asked: history.RequestRecord) -> bool:
    try:
        return msgspec.json.decode(result.body)['request'] == asked.request
    except (msgspec.DecodeError, KeyError, TypeError):
        return False


@dataclasses.dataclass
class EndpointRuns:
    """Executions by request id, and tokens, reported by a stand-in."""

    runs: dict[str, int]
    tokens: int = 0


async def collect_runs(
    deployment: settings.Deployment,
) -> dict[str, EndpointRuns]:
    """Fetch the executions of each stand-in, skipping unreachable ones."""
    found = {}
    client = web.HttpClient(callers.CONNECT_TIMEOUT_MS)
    try:
        for endpoint in deployment.endpoints:
            try:
                async with (
                    clocks.timeout_ms(callers.GET_TIMEOUT_MS),
                    client.send('GET', f'{endpoint.url}/runs', {}) as answer,
                ):
                    body = await web.read_body(
                        answer, callers.ANSWER_LIMIT_BYTES
                    )
            except (TimeoutError, transport_errors.TransportError):
                continue
            counts = msgspec.json.decode(body)
            found[endpoint.endpoint] = EndpointRuns(
                counts['runs'], counts.get('tokens', 0)
            )
    finally:
        await client.close()
    return found


def build_executions(
    deployment: settings.Deployment, runs: dict[str, EndpointRuns]
) -> history.Executions:
    """Return the stand-ins' counts in the form that the checks use."""
    endpoints: dict[str, list[str]] = {}
    for endpoint, counts in runs.items():
        for request, count in counts.runs.items():
            endpoints.setdefault(request, []).extend([endpoint] * count)
    regions = {item.endpoint: item.region for item in deployment.endpoints}
    return history.Executions(endpoints, regions)


def report(
    deployment: settings.Deployment,
    asked: list[history.RequestRecord],
    runs: dict[str, EndpointRuns],
) -> dict:
    """Return the outcomes, latencies, cost and violations of a run.

    ``away_share`` is the share of served requests that did not run in
    their home region only; ``cost`` is in the unit of the endpoints' prices.
    """
    ran = build_executions(deployment, runs)
    ends = collections.Counter(one.outcome for one in asked)
    reasons = collections.Counter(
        one.reason for one in asked if one.outcome != 'whole'
    )
    served = [one for one in asked if ran.endpoints.get(one.request)]
    away = sum(ran.regions_of(one.request) != {one.home} for one in served)
    sends = sum(len(ran.endpoints[one.request]) for one in served)
    prices = {
        item.endpoint: item.price_per_mtok for item in deployment.endpoints
    }
    cost = sum(
        prices[endpoint] * counts.tokens / TOKENS_PER_MTOK
        for endpoint, counts in runs.items()
    )
    broken = history.violations(asked, ran)
    return {
        'requests': len(asked),
        'ends': dict(ends),
        'reasons': dict(reasons),
        'first_ms': {
            kind: _percentiles([one for one in asked if one.kind == kind])
            for kind in sorted({one.kind for one in asked})
        },
        'away_share': round(away / len(served), 4) if served else 0.0,
        'attempts_per_request': (
            round(sends / len(served), 4) if served else 0.0
        ),
        'cost': round(cost, 6),
        'violations': {name: len(ids) for name, ids in broken.items()},
    }


def _percentiles(asked: list[history.RequestRecord]) -> dict[str, float]:
    recorded = histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
    for one in asked:
        if one.first_ms is not None and one.outcome == 'whole':
            recorded.record_value(max(LOWEST_MS, int(one.first_ms)))
    return {
        f'p{percentile}': recorded.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    }


async def serve(arguments: argparse.Namespace) -> None:
    """Run the load and print its report as JSON."""
    deployment = settings.read(arguments.settings)
    plan = Plan(
        rate_per_s=arguments.rate,
        duration_ms=int(arguments.seconds * MS_PER_S),
        seed=arguments.seed,
        sessions=arguments.sessions,
        deadline_ms=arguments.deadline_ms,
    )
    load = LoadGenerator(deployment, plan)
    asked = await load.run()
    if arguments.history:
        history.write(arguments.history, asked)
    runs = await collect_runs(deployment)
    print(json.dumps(report(deployment, asked, runs), indent=2))


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--settings', required=True, type=pathlib.Path)
    parser.add_argument('--rate', type=float, default=50.0)
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--sessions', type=int, default=200)
    parser.add_argument('--deadline-ms', type=int, default=10_000)
    parser.add_argument('--history', type=pathlib.Path)
    arguments = parser.parse_args()
    logs.configure('warning', 'load')
    try:
        runtime.run(serve(arguments))
    except settings.SettingsError as error:
        sys.exit('\n'.join(error.problems))


if __name__ == '__main__':
    main()
