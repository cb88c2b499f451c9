"""Client of the operator API, which finds the control group's leader."""

import pathlib
import typing

import msgspec

from wrenspoke import clock as clocks
from wrenspoke import errors
from wrenspoke.protocol import operator_api
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_MS = 1_000
ROUND_INTERVAL_MS = 200
UNAVAILABLE = 503


class OperatorError(errors.WrenspokeError):
    """No leader answered before the timeout, or the token is unreadable."""


class OperatorClient:
    """Sends operator requests to the control hosts until the leader answers.

    Requests that change state carry a number chosen by the operator, which
    makes them idempotent: a retry with the same number changes nothing and
    returns the same response.
    """

    def __init__(
        self,
        urls: list[str],
        token: str,
        timeout_ms: int = 20_000,
        clock: clocks.Clock | None = None,
    ):
        self._urls = list(urls)
        self._headers = {'Authorization': f'Bearer {token}'}
        self._timeout_ms = timeout_ms
        self._clock = clock or clocks.Clock()
        self._client = web.HttpClient(CONNECT_TIMEOUT_MS)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def plan(
        self, number: int, intent: dict[str, typing.Any]
    ) -> operator_api.OperatorResponse:
        """Request a plan for an intent, without applying it.

        :raises OperatorError: no leader answered before the timeout
        """
        body = {'number': number, 'intent': intent}
        return await self._send_to_leader('POST', '/plans', body)

    async def confirm(
        self, number: int, plan: str
    ) -> operator_api.OperatorResponse:
        """Confirm a plan, which applies it.

        :raises OperatorError: no leader answered before the timeout
        """
        path = f'/plans/{plan}/confirm'
        return await self._send_to_leader('POST', path, {'number': number})

    async def show(self, path: str) -> operator_api.OperatorResponse:
        """Return a resource: a plan, all plans, the configuration or status.

        :raises OperatorError: no leader answered before the timeout
        """
        return await self._send_to_leader('GET', path, None)

    async def _send_to_leader(
        self, method: str, path: str, body: dict | None
    ) -> operator_api.OperatorResponse:
        data = None if body is None else msgspec.json.encode(body)
        until_ms = self._clock.mono_ms() + self._timeout_ms
        problem = ''
        while self._clock.mono_ms() < until_ms:
            for url in self._urls:
                try:
                    answer = await self._send_to_host(method, url + path, data)
                except (
                    transport_errors.TransportError,
                    TimeoutError,
                    msgspec.DecodeError,
                ) as error:
                    problem = f'{url}: {error!r}'
                    continue
                if answer.status in (operator_api.MISDIRECTED, UNAVAILABLE):
                    problem = f'{url}: {answer.body}'
                    continue
                return answer
            await self._clock.sleep_ms(ROUND_INTERVAL_MS)
        raise OperatorError(f'no control host answered as leader: {problem}')

    async def _send_to_host(
        self, method: str, url: str, data: bytes | None
    ) -> operator_api.OperatorResponse:
        async with clocks.timeout_ms(self._timeout_ms / 4):
            async with self._client.send(
                method, url, self._headers, data, new_connection=True
            ) as found:
                raw = await web.read_declared_body(found, ANSWER_LIMIT_BYTES)
        body = msgspec.json.decode(raw) if raw else {}
        return operator_api.OperatorResponse(found.status, body)


def read_token(path: pathlib.Path) -> str:
    """Return the token in a file, without surrounding whitespace.

    :raises OperatorError: the file cannot be read
    """
    try:
        return path.read_text().strip()
    except OSError as error:
        raise OperatorError(f'{path}: {error.strerror}') from error
