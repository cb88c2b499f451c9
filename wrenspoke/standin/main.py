"""``wrenspoke-standin``: run stand-ins for a deployment's endpoints."""

import argparse
import urllib.parse

import msgspec
import structlog

from wrenspoke import logs
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.standin import engine
from wrenspoke.standin import plain_service
from wrenspoke.standin import restartable
from wrenspoke.state import configuration

logger = structlog.get_logger(__name__)


def build(
    deployment: settings.Deployment,
    endpoint: settings.EndpointSettings,
    profile: engine.EngineProfile,
) -> engine.Engine | plain_service.PlainService:
    """Return a fake service or engine, by the kind of the service."""
    for service in deployment.services:
        if service.service != endpoint.service:
            continue
        if service.kind is configuration.ServiceKind.PLAIN:
            return plain_service.PlainService(endpoint.endpoint)
    own = msgspec.structs.replace(
        profile, slots=endpoint.slots, fenced=endpoint.fenced
    )
    return engine.Engine(endpoint.endpoint, own, list(endpoint.models))


async def start(
    deployment: settings.Deployment,
    names: list[str],
    profile: engine.EngineProfile,
) -> dict[str, restartable.RestartableServer]:
    """Start servers for the endpoints in ``names``; if empty, for all."""
    servers = {}
    for endpoint in deployment.endpoints:
        if names and endpoint.endpoint not in names:
            continue
        address = urllib.parse.urlsplit(endpoint.url)
        standin = build(deployment, endpoint, profile)
        server = restartable.RestartableServer(
            standin, address.hostname, address.port
        )
        await server.start()
        servers[endpoint.endpoint] = server
    return servers


async def serve(arguments: argparse.Namespace) -> None:
    """Run the servers until a stop signal."""
    deployment = settings.read(arguments.settings)
    profile = msgspec.json.decode(arguments.model, type=engine.EngineProfile)
    servers = await start(deployment, arguments.endpoint, profile)
    logger.info('standins_started', count=len(servers))
    await runtime.wait_for_stop()
    for server in servers.values():
        await server.close()


def main() -> None:
    """Run the ``wrenspoke-standin`` command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--settings', required=True, metavar='FILE')
    parser.add_argument(
        '--endpoint', action='append', default=[], metavar='NAME'
    )
    parser.add_argument(
        '--model', default='{}', metavar='JSON', help='engine model'
    )
    parser.add_argument(
        '--log-level', default='info', choices=sorted(logs.LEVELS)
    )
    arguments = parser.parse_args()
    logs.configure(arguments.log_level, 'standin')
    runtime.run(serve(arguments))


if __name__ == '__main__':
    main()
