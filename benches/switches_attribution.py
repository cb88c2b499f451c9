"""Rows of ``benches.switched_off``: surplus responses, cold and left engines."""

from benches import switches

STATE = switches.STATE
DECISIONS = switches.DECISIONS
TRANSPORT = 'wrenspoke/transport/'
SURPLUS = 'tests/test_surplus_responses.py'
UNNAMED = 'tests/test_unnamed_refusals.py'
EXCHANGE = 'tests/test_exchange.py'
ENDLESS = 'tests/test_endless_responses.py'
Switch = switches.Switch

SWITCHES = [
    Switch(
        'bytes behind a response are ignored',
        TRANSPORT + 'exchange.py',
        'if not self._is_outstanding and self.has_surplus():',
        'if False:',
        f'{EXCHANGE} -k behind',
    ),
    Switch(
        'half a head behind a response is ignored',
        TRANSPORT + 'exchange.py',
        '            return self._parser.feed_eof() is not None\n',
        '            return False\n',
        f'{EXCHANGE} -k behind',
    ),
    Switch(
        'unread bytes are not looked for',
        TRANSPORT + 'connector.py',
        'return not _is_silent(sock) and not _has_unread_bytes(sock)',
        'return not _is_silent(sock)',
        EXCHANGE,
    ),
    Switch(
        'request begun after unsolicited bytes',
        TRANSPORT + 'exchange.py',
        '            raise self._exception\n',
        '            pass\n',
        EXCHANGE,
    ),
    Switch(
        'foreign responses are taken',
        TRANSPORT + 'web.py',
        '    if is_own is None or is_own(response):\n',
        '    if True:\n',
        f'{SURPLUS} -k late',
    ),
    Switch(
        'connections of foreign responses are kept',
        TRANSPORT + 'web.py',
        '    exchange.discard_connection(response)\n',
        '',
        'tests/test_host_responses.py',
    ),
    Switch(
        'refusals without an id are foreign',
        DECISIONS + 'serving/sending.py',
        'not echoed and self._accept_unnamed(destination, response)',
        'False',
        f'{SURPLUS} -k refusal',
    ),
    Switch(
        'endpoints that echo no id keep connections',
        DECISIONS + 'serving/dispatch.py',
        'return once or not endpoint.echoes_request_id',
        'return once',
        'tests/test_unechoed_requests.py',
    ),
    Switch(
        'instance of a 421 is not looked at',
        DECISIONS + 'serving/sending.py',
        '            if self._names_called_instance(destination, response):\n'
        '                return False\n',
        '            pass\n',
        f'{SURPLUS} -k instance',
    ),
    Switch(
        'unnamed refusals are believed on used connections',
        TRANSPORT + 'exchange.py',
        '    if request_count(response) != 1:\n',
        '    if False:\n',
        f'{UNNAMED} -k late',
    ),
    Switch(
        'connections of unnamed refusals are kept',
        TRANSPORT + 'exchange.py',
        '    _close_after(response)\n    return True\n',
        '    return True\n',
        f'{UNNAMED} -k repeated',
    ),
    Switch(
        'requests follow a refusal of their id',
        TRANSPORT + 'connector.py',
        'not protocol.is_connected() or request_id in protocol.refused_ids',
        'not protocol.is_connected()',
        'tests/test_repeated_ids.py',
    ),
    Switch(
        'malformed bytes lose the response before them',
        TRANSPORT + 'response_parser.py',
        '            parsed = self._parse_prefix(data)\n',
        '            raise\n',
        'tests/test_response_parser.py',
    ),
    Switch(
        'heads without end are read',
        TRANSPORT + 'response_parser.py',
        '            self._check_head()\n',
        '            pass\n',
        f'{ENDLESS} -k head_without_end',
    ),
    Switch(
        'framing without end is read',
        TRANSPORT + 'framing_budget.py',
        'return self.framing_bytes > FRAMING_LIMIT_BYTES',
        'return False',
        f'{ENDLESS} -k framing',
    ),
    Switch(
        'framing is judged while the parser is paused',
        TRANSPORT + 'response_parser.py',
        'return self._parser.protocol._reading_paused',
        'return False',
        f'{ENDLESS} -k long_chunked',
    ),
    Switch(
        'malformed bodies leave their readers waiting',
        TRANSPORT + 'response_parser.py',
        '                self._fail_body(error)\n',
        '',
        f'{EXCHANGE} -k malformed',
    ),
    Switch(
        'requests are written after their calls ended',
        TRANSPORT + 'exchange.py',
        '            self.abort()\n            return\n',
        '            pass\n',
        f'{EXCHANGE} -k written',
    ),
    Switch(
        'malformed heads are kept after their connections',
        TRANSPORT + 'response_parser.py',
        '        self._head.clear()\n        if',
        '        if',
        f'{ENDLESS} -k drip',
    ),
    Switch(
        'failures quote requests and received bytes',
        TRANSPORT + 'web.py',
        '    cause = failure_text.describe(error)\n',
        '    cause = repr(error)\n',
        f'{ENDLESS} -k text',
    ),
    Switch(
        'values of log lines are not bounded',
        'wrenspoke/logs.py',
        'if len(text) <= VALUE_LIMIT_CHARACTERS and text.isprintable():',
        'if text.isprintable():',
        'tests/test_logs.py -k long_value',
    ),
    Switch(
        'values of log lines are not escaped',
        'wrenspoke/logs.py',
        '    if character.isprintable():\n',
        '    if True:\n',
        'tests/test_logs.py -k break_no_line',
    ),
    Switch(
        'reports share the connections of calls',
        'wrenspoke/entry_node.py',
        '            self._reports_client,\n',
        '            self._client,\n',
        'tests/test_probe_connections.py',
    ),
    Switch(
        'late refusals of reports are believed',
        DECISIONS + 'membership/engine_loads.py',
        'return response.status == OK or exchanges.accept_unnamed(response)',
        'return True',
        'tests/test_probe_connections.py -k late',
    ),
    Switch(
        'warm-up probes use kept connections',
        DECISIONS + 'serving/warmup_probe.py',
        '                    new_connection=True,\n',
        '',
        'tests/test_probe_connections.py',
    ),
    Switch(
        'renewals of cold endpoints are not broadcast',
        'wrenspoke/entry_node.py',
        '            self._cold_broadcaster.on_renewal(said)\n',
        '            pass\n',
        'tests/test_isolated_hosts.py -k learns',
    ),
    Switch(
        'isolated hosts do not probe',
        DECISIONS + 'serving/availability.py',
        'if region == self._region and self._discovery.is_isolated:',
        'if False:',
        'tests/test_isolated_hosts.py -k probes',
    ),
    Switch(
        'probes of an isolated host are not bounded',
        DECISIONS + 'serving/warmup_probe.py',
        'for said in due[: MAX_REFRESHES - len(self._refreshing)]:',
        'for said in due:',
        'tests/test_isolated_hosts.py -k few',
    ),
    Switch(
        'what others know of a warm-up is ignored',
        DECISIONS + 'serving/availability.py',
        '            and self._warmup_probe.has_newer_cold_status(found)\n',
        '            and False\n',
        'tests/test_isolated_hosts.py',
    ),
    Switch(
        'stale marks are not passed on',
        STATE + 'registry.py',
        '            changed = stopped and self._set_stale(old)\n',
        '            changed = False\n',
        'tests/test_registry.py -k stale',
    ),
    Switch(
        'leaves are acknowledged at once',
        DECISIONS + 'membership/registrar.py',
        '        if found is None or found.takes_work:\n',
        '        if True:\n',
        'tests/test_adapter.py -k acknowledged_leave',
    ),
    Switch(
        'leaves are acknowledged unsynced',
        DECISIONS + 'membership/leave_log.py',
        '        return self._saved_revision\n',
        '        return self._registry.revision\n',
        'tests/test_power_loss.py -k outlives_power',
    ),
    Switch(
        'covered entries stay in memory',
        STATE + 'storage.py',
        '        self._drop_covered(snapshot, rest)\n',
        '        self.snapshot = snapshot\n',
        'tests/test_storage.py -k fills',
    ),
]
