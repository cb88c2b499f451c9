"""``wrenspoke``: the command of operators and callers."""

import argparse
import asyncio
import json
import pathlib
import sys

from wrenspoke import caller as callers
from wrenspoke import demo
from wrenspoke import keys
from wrenspoke import logs
from wrenspoke.protocol import headers
from wrenspoke import runtime
from wrenspoke import settings

OK = 0
FAILED = 1
USAGE = 2

COMMANDS = {}


def command(name: str, help_text: str, add_arguments=None):
    """Return a decorator that registers a command and its arguments."""

    def register(function):
        COMMANDS[name] = (function, help_text, add_arguments)
        return function

    return register


def add_entry(parser: argparse.ArgumentParser) -> None:
    """Add the argument that says where entry hosts are."""
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
    """Stream one answer to standard output."""
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
    add_entry(parser)
    parser.add_argument('request')


@command('explain', 'show the decisions on one request', parser_explain)
async def run_explain(arguments: argparse.Namespace) -> int:
    """Print the decisions that the asked hosts remember."""
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
    """Check a settings file whole and print every problem."""
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
    """Make new keys and write the public ones into the settings."""
    count = keys.make(arguments.file)
    print(f'{arguments.file}: new keys for {count} hosts')
    return OK


@command('demo', 'run every role in one process and show it')
async def run_demo(_arguments: argparse.Namespace) -> int:
    """Run the demo."""
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
    """Parse arguments, configure logs and hand over."""
    arguments = build_parser().parse_args()
    logs.configure(arguments.log_level)
    codes: list[int] = []
    try:
        runtime.run(_run(arguments, codes))
    except settings.SettingsError as error:
        print('\n'.join(error.problems), file=sys.stderr)
        sys.exit(USAGE)
    except callers.CallerError as error:
        sys.exit(str(error))
    except (KeyboardInterrupt, asyncio.CancelledError):
        sys.exit(FAILED)
    sys.exit(codes[0])


if __name__ == '__main__':
    main()
