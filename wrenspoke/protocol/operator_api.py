"""HTTP API of control hosts for operators."""

import hashlib
import hmac
import typing

from aiohttp import web
import msgspec
import structlog

from wrenspoke import ids
from wrenspoke.protocol import errors
from wrenspoke import settings
from wrenspoke.state import plans

logger = structlog.get_logger(__name__)

BODY_LIMIT_BYTES = 1024 * 1024
BEARER = 'Bearer '
MISDIRECTED = 421


class PlanRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request for a plan; a resend has the same ``number``."""

    number: int
    intent: plans.Intent


class ConfirmRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to confirm a plan; a resend has the same ``number``."""

    number: int


class OperatorResponse(msgspec.Struct, frozen=True):
    """Status and JSON body of a response to an operator."""

    status: int
    body: typing.Any


class OperatorBackend(typing.Protocol):
    """Handles the requests that the API has parsed."""

    async def plan(
        self, operator: ids.OperatorId, request: PlanRequest
    ) -> OperatorResponse:
        """Create a plan."""

    async def confirm(
        self,
        operator: ids.OperatorId,
        plan: ids.PlanId,
        request: ConfirmRequest,
    ) -> OperatorResponse:
        """Confirm a plan, which puts it in force."""

    def show_plan(self, plan: ids.PlanId) -> OperatorResponse:
        """Return a plan and its progress."""

    def list_plans(self) -> OperatorResponse:
        """Return the stored plans."""

    def show_configuration(self) -> OperatorResponse:
        """Return the configuration."""

    def show_status(self) -> OperatorResponse:
        """Return the state of this control host."""


class OperatorApi:
    """Authenticates and parses operators' requests."""

    def __init__(
        self,
        control: OperatorBackend,
        operators: typing.Iterable[settings.OperatorSettings],
    ):
        self._control = control
        self._operators = list(operators)

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(client_max_size=BODY_LIMIT_BYTES)
        router = application.router
        router.add_post('/plans', self._plan)
        router.add_get('/plans', self._list)
        router.add_get('/plans/{plan}', self._show)
        router.add_post('/plans/{plan}/confirm', self._confirm)
        router.add_get('/configuration', self._configuration)
        router.add_get('/status', self._status)
        return application

    def _authenticate_operator(self, request: web.Request) -> ids.OperatorId:
        text = request.headers.get('Authorization', '')
        token = text.removeprefix(BEARER) if text.startswith(BEARER) else ''
        digest = hashlib.sha256(token.encode()).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(digest, operator.token_sha256):
                return ids.OperatorId(operator.operator)
        logger.warning('operator_refused', peer=request.remote)
        raise errors.BadRequestError(
            'Authorization', 'no operator has this token', 401
        )

    async def _plan(self, request: web.Request) -> web.Response:
        try:
            operator = self._authenticate_operator(request)
            plan_request = await _decode_body(request, PlanRequest)
        except errors.BadRequestError as error:
            return _error_response(error)
        return _response(await self._control.plan(operator, plan_request))

    async def _confirm(self, request: web.Request) -> web.Response:
        try:
            operator = self._authenticate_operator(request)
            confirm_request = await _decode_body(request, ConfirmRequest)
        except errors.BadRequestError as error:
            return _error_response(error)
        plan = ids.PlanId(request.match_info['plan'])
        return _response(
            await self._control.confirm(operator, plan, confirm_request)
        )

    async def _show(self, request: web.Request) -> web.Response:
        plan = ids.PlanId(request.match_info['plan'])
        return self._respond(request, lambda: self._control.show_plan(plan))

    async def _list(self, request: web.Request) -> web.Response:
        return self._respond(request, self._control.list_plans)

    async def _configuration(self, request: web.Request) -> web.Response:
        return self._respond(request, self._control.show_configuration)

    async def _status(self, request: web.Request) -> web.Response:
        return self._respond(request, self._control.show_status)

    def _respond(
        self,
        request: web.Request,
        query: typing.Callable[[], OperatorResponse],
    ) -> web.Response:
        try:
            self._authenticate_operator(request)
        except errors.BadRequestError as error:
            return _error_response(error)
        return _response(query())


async def _decode_body(request: web.Request, kind: type) -> typing.Any:
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except (msgspec.DecodeError, web.HTTPRequestEntityTooLarge) as error:
        raise errors.BadRequestError('body', str(error)) from error


def _error_response(error: errors.BadRequestError) -> web.Response:
    return _response(
        OperatorResponse(error.status, {'error': {'message': str(error)}})
    )


def _response(answer: OperatorResponse) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(answer.body),
        status=answer.status,
        content_type='application/json',
    )
