"""Tests of the list of known failures: its format and its length limit."""

import pytest

from tests import known_red

ROW = 'tests/test_a.py::test_b, a cause, with a comma, issue 7'


def test_line_names_test_cause_and_issue(tmp_path):
    path = tmp_path / 'list.txt'
    path.write_text(f'# heading\n\n{ROW}\n')
    [found] = known_red.read(path)
    assert found == (
        'tests/test_a.py::test_b',
        'a cause, with a comma',
        'issue 7',
    )
    assert found.matches('tests/test_a.py::test_b')
    assert found.matches('tests/test_a.py::test_b[row]')
    assert not found.matches('tests/test_a.py::test_bc')


@pytest.mark.parametrize('text', ['tests/a.py::b, cause', f'{ROW}\n' * 4])
def test_bad_list_is_refused(tmp_path, text):
    path = tmp_path / 'list.txt'
    path.write_text(text)
    with pytest.raises(ValueError, match='list.txt'):
        known_red.read(path)
