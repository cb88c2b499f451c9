"""End to end: caller, entry hosts and stand-ins as real processes."""

import asyncio
import os
import subprocess
import sys

import pytest

from tests import fleet
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.standin import engine

MESSAGES = [{'role': 'user', 'content': 'Is bay 4 free?'}]


def expected_text(count=engine.DEFAULT_TOKENS, messages=None):
    """Return the text of a complete response."""
    return ''.join(engine.answer_words(messages or MESSAGES, count))


@pytest.mark.parametrize(
    'stream, home, bound',
    [
        (True, None, False),
        (True, 'north', True),
        (True, 'south', True),
        (False, None, False),
        (False, 'south', True),
    ],
)
async def test_chat_is_answered_whole(tmp_path, stream, home, bound):
    async with fleet.running(tmp_path, fleet.deployment()) as running:
        caller = running.caller('north-1')
        sent = {headers.REQUEST: ids.new_random_id()}
        if home:
            sent |= {headers.HOME: home, headers.BOUND: 'true'}
        body = {
            'model': fleet.MODEL,
            'messages': MESSAGES,
            'stream': stream,
        }
        result = await caller.chat(body, sent)
        assert result.outcome == 'whole', result
        assert result.text == expected_text()
        region = home or 'north'
        runs = await running.all_runs('chat')
        assert runs[sent[headers.REQUEST]] == [f'{region}-chat-1']


async def test_ask_command_streams_an_answer(tmp_path):
    async with fleet.running(tmp_path, fleet.deployment()) as running:
        command = [sys.executable, '-m', 'wrenspoke.cli', 'ask']
        command += ['--entry', running.url('north-1'), '--home', 'south']
        command += ['--bound', 'Is bay 4 free?']
        done = await asyncio.to_thread(
            subprocess.run, command, capture_output=True, text=True
        )
        assert done.returncode == 0, done.stderr
        assert done.stdout == expected_text() + '\n'


async def test_no_daemon_uses_io_uring(tmp_path):
    """libuv opens an io_uring unless disabled before its first loop."""
    async with fleet.running(tmp_path, fleet.deployment()) as running:
        for name, process in running.processes.items():
            folder = f'/proc/{process.pid}/fd'
            links = [
                os.readlink(f'{folder}/{number}')
                for number in os.listdir(folder)
            ]
            assert 'anon_inode:[io_uring]' not in links, name
