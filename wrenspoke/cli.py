"""``wrenspoke``: the command of operators and callers."""

import argparse
import asyncio
import json
import pathlib
import sys

import msgspec

from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke import controld
from wrenspoke import demo
from wrenspoke import errors
from wrenspoke import explain
from wrenspoke import keys
from wrenspoke import logs
from wrenspoke import operator as operators
from wrenspoke.protocol import headers
from wrenspoke import report
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.state import teams

OK = 0
FAILED = 1
USAGE = 2
HTTP_OK = 200

COMMANDS = {}


def command(name: str, help_text: str, add_arguments=None):
    """Return a decorator that registers a command and its arguments."""

    def register(function):
        COMMANDS[name] = (function, help_text, add_arguments)
        return function

    return register


def add_entry(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the URLs of entry hosts."""
    parser.add_argument(
        '--entry',
        action='append',
        required=True,
        metavar='URL',
        help='an entry host, such as http://10.0.0.1:8080; may be repeated',
    )


def parser_ask(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``ask``."""
    add_entry(parser)
    parser.add_argument('--model')
    parser.add_argument('--home', help='home region')
    parser.add_argument('--bound', action='store_true')
    parser.add_argument('--deadline-ms', type=int)
    parser.add_argument('--session')
    parser.add_argument('--max-tokens', type=int)
    parser.add_argument('text')


@command('ask', 'ask for a streamed chat answer', parser_ask)
async def run_ask(arguments: argparse.Namespace) -> int:
    """Stream one chat completion to standard output."""
    caller = callers.Caller(arguments.entry)
    body = {
        'stream': True,
        'messages': [{'role': 'user', 'content': arguments.text}],
    }
    if arguments.model:
        body['model'] = arguments.model
    if arguments.max_tokens:
        body['max_tokens'] = arguments.max_tokens
    sent = {}
    if arguments.home:
        sent[headers.HOME] = arguments.home
    if arguments.bound:
        sent[headers.BOUND] = 'true'
    if arguments.deadline_ms:
        sent[headers.DEADLINE_MS] = str(arguments.deadline_ms)
    if arguments.session:
        sent[headers.SESSION] = arguments.session
    try:
        await caller.refresh()
        result = await caller.chat(body, sent, _print_text)
    finally:
        await caller.close()
    if result.outcome == 'whole':
        print()
        return OK
    print(
        f'\n{result.outcome}: {result.reason} {result.body.decode()}',
        file=sys.stderr,
    )
    return FAILED


def _print_text(text: str) -> None:
    print(text, end='', flush=True)


def parser_directory(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``directory``."""
    add_entry(parser)
    parser.add_argument('--region')


@command('directory', 'show which entry hosts to use', parser_directory)
async def run_directory(arguments: argparse.Namespace) -> int:
    """Print the directory."""
    query = f'?region={arguments.region}' if arguments.region else ''
    return await _print_json(arguments.entry, f'/directory{query}')


def parser_status(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``status``."""
    add_entry(parser)


@command('status', 'show what an entry host knows', parser_status)
async def run_status(arguments: argparse.Namespace) -> int:
    """Print an entry host's status."""
    return await _print_json(arguments.entry, '/status')


def parser_explain(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``explain``."""
    asked = parser.add_mutually_exclusive_group(required=True)
    asked.add_argument(
        '--entry',
        action='append',
        metavar='URL',
        help='an entry host that remembers the request; may be repeated',
    )
    asked.add_argument(
        '--log',
        nargs='+',
        metavar='FILE',
        help='log files of any hosts; - is standard input',
    )
    parser.add_argument(
        '--json', action='store_true', help='print log lines as JSON'
    )
    parser.add_argument(
        'request',
        help='its id; with --log also a host, an endpoint or other value',
    )


@command('explain', 'show the decisions on one request', parser_explain)
async def run_explain(arguments: argparse.Namespace) -> int:
    """Print the decisions on a request, from hosts or from log files."""
    if arguments.log:
        return _explain_logs(arguments)
    found = []
    for url in arguments.entry:
        caller = callers.Caller([url])
        try:
            answer = await caller.get(f'/explain/{arguments.request}')
        finally:
            await caller.close()
        found += [{'entry': url, **item} for item in answer['decisions']]
    for item in sorted(found, key=lambda item: item['at_ms']):
        print(json.dumps(item))
    return OK if found else FAILED


def parser_report(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``report``."""
    parser.add_argument(
        '--log',
        nargs='+',
        required=True,
        metavar='FILE',
        help='log files of entry hosts; - is standard input',
    )
    parser.add_argument(
        '--json', action='store_true', help='print the report as JSON'
    )
    parser.add_argument(
        '--plot',
        metavar='FILE',
        help='draw it too, as .svg or .png (needs the extra "plots")',
    )


@command('report', 'tell from logs how well calls were decided', parser_report)
async def run_report(arguments: argparse.Namespace) -> int:
    """Print, and optionally plot, a report on log files."""
    try:
        found = report.read(arguments.log)
    except OSError as error:
        print(error, file=sys.stderr)
        return FAILED
    if arguments.json:
        print(msgspec.json.encode(found).decode())
    else:
        for text in report.as_text(found):
            print(text)
    if arguments.plot:
        try:
            report.plot(found, arguments.plot)
        except (ImportError, ValueError, OSError) as error:
            print(f'not drawn: {error}', file=sys.stderr)
            return FAILED
    return OK if sum(found.calls.values()) else FAILED


def _explain_logs(arguments: argparse.Namespace) -> int:
    try:
        lines = explain.read(arguments.log, arguments.request)
    except OSError as error:
        print(error, file=sys.stderr)
        return FAILED
    show = explain.as_json if arguments.json else explain.as_text
    for text in show(lines):
        print(text)
    if not lines:
        print(f'nothing on {arguments.request}', file=sys.stderr)
    return OK if lines else FAILED


async def _print_json(urls: list[str], path: str) -> int:
    caller = callers.Caller(urls)
    try:
        print(json.dumps(await caller.get(path), indent=2))
    finally:
        await caller.close()
    return OK


def parser_settings(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``settings``."""
    parser.add_argument('action', choices=['check'])
    parser.add_argument('file', type=pathlib.Path)


@command('settings', 'check a settings file', parser_settings)
async def run_settings(arguments: argparse.Namespace) -> int:
    """Validate a settings file and print every problem."""
    deployment = settings.read(arguments.file)
    print(
        f'{arguments.file}: good; {len(deployment.hosts)} hosts, '
        f'{len(deployment.endpoints)} endpoints'
    )
    return OK


def parser_keys(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``keys``."""
    parser.add_argument('action', choices=['make'])
    parser.add_argument('file', type=pathlib.Path)


@command('keys', 'make the keys of a deployment', parser_keys)
async def run_keys(arguments: argparse.Namespace) -> int:
    """Generate key pairs and write the public keys to the settings."""
    count = keys.generate_keys(arguments.file)
    print(f'{arguments.file}: new keys for {count} hosts')
    return OK


def parser_team_key(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``team-key``."""
    parser.add_argument('file', type=pathlib.Path, help='settings file')
    parser.add_argument(
        '--of',
        action='store_true',
        help='tell the digest of the key on standard input, make none',
    )


@command(
    'team-key', "make a team's key, or tell a key's digest", parser_team_key
)
async def run_team_key(arguments: argparse.Namespace) -> int:
    """Print a new key and its digest, or the digest of a given key.

    The digest is the argument of ``plan issue-key``.
    """
    deployment = settings.read(arguments.file)
    key = sys.stdin.readline().strip() if arguments.of else teams.new_key()
    if not key:
        print('standard input: no key', file=sys.stderr)
        return FAILED
    if not arguments.of:
        print(f'key: {key}')
    digest = teams.digest_of(key, teams.derive_secret(deployment.cluster))
    print(f'digest: {digest.hex()}')
    return OK


def add_control(parser: argparse.ArgumentParser) -> None:
    """Add the arguments for the control hosts and the operator's token."""
    parser.add_argument(
        '--control',
        action='append',
        required=True,
        metavar='URL',
        help='a control host; may be repeated, the leader is found',
    )
    parser.add_argument('--token-file', required=True, type=pathlib.Path)


def add_number(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the number that makes a request idempotent."""
    parser.add_argument(
        '--number',
        type=int,
        help='number of this request; give the same one to ask again after '
        'a lost answer (default: the time in ms)',
    )


def parser_plan(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``plan``."""
    add_control(parser)
    add_number(parser)
    kinds = parser.add_subparsers(dest='intent', required=True)
    for name, fields in INTENTS.items():
        kind = kinds.add_parser(name.replace('_', '-'))
        for field in fields:
            reader = json.loads if field in JSON_FIELDS else str
            kind.add_argument(field, type=reader)


INTENTS = {
    'drain': ['endpoint'],
    'undrain': ['endpoint'],
    'load_model': ['endpoint', 'model'],
    'retire_model': ['endpoint', 'model'],
    'load_adapter': ['endpoint', 'adapter'],
    'retire_adapter': ['endpoint', 'adapter'],
    'change_role': ['endpoint', 'role'],
    'change_rule': ['rule'],
    'drop_rule': ['name'],
    'change_limit': ['limit'],
    'issue_key': ['team', 'digest'],
    'withdraw_key': ['digest'],
    'clear_quarantine': ['digest'],
    'add_endpoint': ['item'],
    'remove_endpoint': ['endpoint'],
}
JSON_FIELDS = {'rule', 'limit', 'item'}
INTENT_FIELD_NAMES = {'name': 'rule', 'item': 'endpoint'}


@command('plan', 'make a plan from an intent; nothing changes', parser_plan)
async def run_plan(arguments: argparse.Namespace) -> int:
    """Request a plan for an intent and print it."""
    name = arguments.intent.replace('-', '_')
    intent = {'type': name}
    for field in INTENTS[name]:
        intent[INTENT_FIELD_NAMES.get(field, field)] = getattr(
            arguments, field
        )
    number = _number(arguments)
    return await _run_operator_request(
        arguments, lambda it: it.plan(number, intent)
    )


def parser_confirm(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``confirm``."""
    add_control(parser)
    add_number(parser)
    parser.add_argument('plan')


@command('confirm', 'put a plan in force', parser_confirm)
async def run_confirm(arguments: argparse.Namespace) -> int:
    """Confirm a plan, which applies it."""
    number = _number(arguments)
    return await _run_operator_request(
        arguments, lambda it: it.confirm(number, arguments.plan)
    )


def parser_show(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``show``."""
    add_control(parser)
    parser.add_argument(
        'what', help='status, configuration, plans or the name of a plan'
    )


@command('show', 'show a plan, the plans or the control group', parser_show)
async def run_show(arguments: argparse.Namespace) -> int:
    """Print a resource of the control group."""
    what = arguments.what
    known = ('status', 'configuration', 'plans')
    path = f'/{what}' if what in known else f'/plans/{what}'
    return await _run_operator_request(arguments, lambda it: it.show(path))


def _number(arguments: argparse.Namespace) -> int:
    """Return the request's number, and print it for use in a retry."""
    number = arguments.number
    if number is None:
        number = clocks.Clock().wall_ms()
    print(f'number {number}', file=sys.stderr)
    return number


async def _run_operator_request(arguments: argparse.Namespace, ask) -> int:
    token = operators.read_token(arguments.token_file)
    client = operators.OperatorClient(arguments.control, token)
    try:
        answer = await ask(client)
    finally:
        await client.close()
    print(json.dumps(answer.body, indent=2))
    return OK if answer.status == HTTP_OK else FAILED


def parser_found(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``found``."""
    parser.add_argument('file', type=pathlib.Path)
    parser.add_argument('--host', required=True)


@command('found', 'begin a control group, once, on one host', parser_found)
async def run_found(arguments: argparse.Namespace) -> int:
    """Bootstrap a control group by writing its first log entries."""
    controld.bootstrap_group(arguments.file, arguments.host)
    print(f'{arguments.host}: founded; start its controld now')
    return OK


@command('demo', 'run every role in one process and show it')
async def run_demo(_arguments: argparse.Namespace) -> int:
    """Run the demo deployment."""
    await demo.run()
    return OK


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(prog='wrenspoke', description=__doc__)
    parser.add_argument(
        '--log-level', default='info', choices=sorted(logs.LEVELS)
    )
    subparsers = parser.add_subparsers(dest='command', required=True)
    for name, (function, help_text, add_arguments) in COMMANDS.items():
        subparser = subparsers.add_parser(name, help=help_text)
        if add_arguments is not None:
            add_arguments(subparser)
        subparser.set_defaults(function=function)
    return parser


async def _run(arguments: argparse.Namespace, codes: list[int]) -> None:
    codes.append(await arguments.function(arguments))


def main() -> None:
    """Run the command line, and exit with the command's code."""
    arguments = build_parser().parse_args()
    logs.configure(arguments.log_level)
    codes: list[int] = []
    try:
        runtime.run(_run(arguments, codes))
    except settings.SettingsError as error:
        print('\n'.join(error.problems), file=sys.stderr)
        sys.exit(USAGE)
    except errors.WrenspokeError as error:
        sys.exit(str(error))
    except (KeyboardInterrupt, asyncio.CancelledError):
        sys.exit(FAILED)
    sys.exit(codes[0])


if __name__ == '__main__':
    main()
