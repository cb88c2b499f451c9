"""Play days of one kind of trouble each, twice in the day.

    python deploy/days.py BENCH SITE [KIND ...] [--jobs N]

Takes the first standard day of a site file as it is, puts one trouble in
place of its own and lets the bench play it. Prints a line a day. The
table holds every kind of trouble that may come, with its variants.
"""

import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import tempfile

FIRST_S, SECOND_S = 6.0, 19.0
CHANGE = '{ at = 8.0, kind = "config_change", how = "route" }'
# Kind, fields, and whether the event is planned maintenance.
FAULT_SCENARIOS = [
    ('burst', 'x = 2.0, for_s = 4.0', False),
    ('shift', 'share = 0.5, for_s = 6.0', False),
    ('retry_abuse', 'share = 0.3, x = 3.0, for_s = 4.0', False),
    ('give_up', 'share = 0.3, x = 300.0, for_s = 5.0', False),
    ('srv_crash', 'share = 0.3, for_s = 4.0', False),
    ('srv_crash', 'share = 0.3, for_s = 4.0, how = "dark"', False),
    ('srv_crash', 'share = 0.2, how = "gone"', False),
    ('srv_slow', 'share = 0.3, x = 4.0, for_s = 5.0', False),
    ('srv_grey', 'share = 0.4, x = 0.5, for_s = 5.0, how = "errors"', False),
    ('srv_grey', 'share = 0.4, x = 0.5, for_s = 5.0, how = "shed"', False),
    ('srv_grey', 'share = 0.4, x = 0.5, for_s = 5.0, how = "busy"', False),
    ('srv_grey', 'share = 0.4, x = 0.5, for_s = 5.0, how = "hang"', False),
    ('srv_grey', 'share = 0.4, x = 0.5, for_s = 5.0, how = "reset"', False),
    ('srv_grey', 'share = 0.4, x = 0.5, for_s = 5.0, how = "mute"', False),
    ('srv_grey', 'share = 0.4, x = 6.0, for_s = 5.0, how = "slow"', False),
    ('release', 'share = 0.6, x = 1.0, gap_s = 1.0', True),
    ('scale_out', 'share = 0.3, gap_s = 2.0', True),
    ('scale_in', 'share = 0.2', True),
    ('scale_in', 'share = 0.2, x = 2.0, how = "spot"', True),
    ('cold_return', 'for_s = 3.0', False),
    ('cold_return', 'for_s = 3.0, how = "dark"', False),
    ('answer_lost', 'share = 0.6, x = 0.1, for_s = 5.0', False),
    ('garble', 'share = 0.6, x = 0.1, for_s = 5.0', False),
    ('garble', 'share = 0.6, x = 0.1, for_s = 5.0, how = "extra"', False),
    ('garble', 'share = 0.6, x = 0.1, for_s = 5.0, how = "unframed"', False),
    ('garble', 'share = 0.6, x = 0.1, for_s = 5.0, how = "early"', False),
    ('node_kill', 'share = 0.3', False),
    ('node_kill', 'on = "core", count = 1, for_s = 3.0, how = "power leader"',
     False),
    ('node_freeze', 'share = 0.3, for_s = 4.0', False),
    ('node_freeze', 'on = "core", count = 1, for_s = 5.0, how = "leader"',
     False),
    ('node_slow', 'share = 0.3, x = 5.0, for_s = 5.0', False),
    ('roll_term', 'share = 1.0, x = 1.0, gap_s = 1.0', True),
    ('roll_term', 'share = 0.5, x = 1.0, gap_s = 1.0, how = "busy"', True),
    ('herd_kill', 'share = 0.6', False),
    ('herd_kill', 'on = "core"', False),
    ('herd_kill', 'on = "core", for_s = 1.0, how = "off"', False),
    ('seed_turnover', '', True),
    ('after_ack_wipe', 'for_s = 2.0', False),
    ('after_ack_kill', 'for_s = 2.0', False),
    ('disk_slow', 'count = 1, x = 30.0, for_s = 5.0', False),
    ('disk_stall', 'count = 1, for_s = 4.0', False),
    ('disk_full', 'count = 1, for_s = 4.0', False),
    ('clock_step', 'share = 0.5, x = 5000.0, for_s = 5.0, how = "ahead"',
     False),
    ('clock_step', 'share = 0.5, x = 5000.0, for_s = 5.0, how = "back"',
     False),
    ('core_cut', 'count = 1, for_s = 5.0, how = "leader"', False),
    ('core_cut', 'count = 1, for_s = 5.0, how = "all"', False),
    ('core_cut', 'count = 1, for_s = 5.0, how = "behind"', False),
    ('core_cut', 'count = 1, for_s = 5.0, how = "lure"', False),
    ('core_cut', 'count = 1, for_s = 5.0, how = "seeds"', False),
    ('core_cut', 'count = 1, for_s = 5.0, how = "one_way"', False),
    ('region_loss', 'for_s = 4.0', False),
    ('region_cut', 'for_s = 5.0', False),
    ('region_cut', 'for_s = 5.0, how = "all"', False),
    ('region_cut', 'for_s = 5.0, how = "one_way"', False),
    ('zone_loss', 'for_s = 4.0', False),
    ('zone_cut', 'for_s = 5.0', False),
    ('lossy', 'x = 0.05, for_s = 6.0', False),
    ('config_change', 'how = "route"', True),
    ('config_change', 'how = "weights"', True),
    ('config_change', 'how = "timeout"', True),
    ('config_race', 'count = 3, gap_s = 1.0', True),
    ('bad_config', 'count = 5, gap_s = 0.5', True),
    ('ack_lost', 'x = 0.6, for_s = 8.0', False),
    ('big_config', 'count = 350', True),
    ('evacuate', 'for_s = 5.0', True),
    ('srv_cut', 'share = 0.4, for_s = 6.0', False),
    ('srv_cut', 'share = 0.4, for_s = 6.0, how = "fronts"', False),
    ('srv_cut', 'share = 0.4, for_s = 6.0, how = "some"', False),
    ('replace_with_reuse', 'share = 0.2', False),
    ('replace_with_reuse', 'share = 0.2, how = "drain"', True),
    ('replace_core', 'x = 1.0', False),
    ('replace_core', 'x = 1.0, how = "planned"', True),
    ('hup', 'share = 1.0, gap_s = 0.3', True),
    ('reset_conns', 'share = 0.5, x = 0.6', False),
    ('node_cut', 'share = 0.3, for_s = 5.0', False),
    ('node_cut', 'share = 0.3, for_s = 5.0, how = "all"', False),
]  # fmt: skip


def build_day(site: str, kind: str, fields: str, planned: bool) -> str:
    """Return a day with one fault injected twice and one config change."""
    found = re.search(r'(?ms)^\[\[day\]\]\n(.*?)(?=^\[\[day\]\]|\Z)', site)
    text = found.group(1)
    text = re.sub(r'(?m)^faults = \[\]\n', '', text)
    text = re.sub(r'(?ms)^plan = \[.*?^\]\n', '', text)
    rest = f', {fields}' if fields else ''
    twice = [
        f'{{ at = {at_s}, kind = "{kind}"{rest} }}'
        for at_s in (FIRST_S, SECOND_S)
    ]
    plan = [CHANGE, *(twice if planned else [])]
    faults = [] if planned else twice
    head = f'plan = [{", ".join(plan)}]\nfaults = [{", ".join(faults)}]\n'
    return '[[day]]\n' + text.replace('traffic =', head + 'traffic =', 1)


def run_day(bench: str, path: str, row: tuple[str, str, bool]) -> str:
    """Run one day in the bench and return its summary line."""
    kind, fields, planned = row
    site = pathlib.Path(path).read_text()
    with tempfile.TemporaryDirectory(dir=pathlib.Path.cwd().parent) as folder:
        day = pathlib.Path(folder) / 'day.toml'
        day.write_text(build_day(site, kind, fields, planned))
        process = subprocess.run(
            [bench, 'run', path, str(day), '--why', f'{kind} {fields}, twice'],
            capture_output=True,
            text=True,
        )
    lines = (process.stdout + process.stderr).splitlines()
    broken = [line for line in lines if line.startswith('rules broken')]
    row_line = next(
        (line for line in lines if re.match(r'\S+ +\d+/\d+ ', line)),
        lines[-1] if lines else 'no output',
    )
    short = [line for line in lines if line.startswith('short of')]
    return f'{kind} {fields}: {row_line.strip()[:110]} {broken} {short[:1]}'


def main() -> None:
    """Run the days of the selected kinds, or of all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('bench')
    parser.add_argument('site')
    parser.add_argument('kinds', nargs='*')
    parser.add_argument('--jobs', type=int, default=3)
    arguments = parser.parse_args()
    rows = [
        row
        for row in FAULT_SCENARIOS
        if not arguments.kinds or row[0] in arguments.kinds
    ]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        played = [
            pool.submit(run_day, arguments.bench, arguments.site, row)
            for row in rows
        ]
        for one in concurrent.futures.as_completed(played):
            print(one.result(), flush=True)


if __name__ == '__main__':
    main()
