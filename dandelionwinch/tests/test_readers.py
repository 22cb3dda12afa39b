"""Settings files: all findings at once, each with its line."""

import pytest

from dandelionwinch import errors
from dandelionwinch import readers

GOOD_ENTRY = """
instance: {name: a-1, data_centre: Nanyuki, region: laikipia}
store: {endpoints: ['127.0.0.1:1']}
live_list: {address: '127.0.0.1:2'}
"""


def _findings(read, tmp_path, text):
    path = tmp_path / 'settings.yaml'
    path.write_text(text)
    with pytest.raises(errors.SettingsInvalid) as caught:
        read(path)
    return [(f.line, f.path, f.message) for f in caught.value.findings]


def test_all_findings_of_an_entry_come_together(tmp_path):
    text = (
        'instance:\n'
        '  name: a 1\n'
        '  data_centre: Nanyuki\n'
        '  client_address: localhost:80\n'
        'store:\n'
        '  endpoints: []\n'
        'live_list: {address: "127.0.0.1:2", poll: 3}\n'
        'relay: {threads: many}\n'
    )
    findings = _findings(readers.read_entry, tmp_path, text)
    found = {(line, path) for line, path, _message in findings}
    assert found >= {
        (2, '$.instance.name'),
        (4, '$.instance.client_address'),
        (6, '$.store.endpoints'),
        (8, '$.relay.threads'),
    }
    messages = ' '.join(message for _line, _path, message in findings)
    assert 'unknown key: poll' in messages
    assert "required key 'region' is missing" in messages


@pytest.mark.parametrize(
    ('text', 'part'),
    [
        ('a: [1', 'not valid YAML'),
        ('a: 1\na: 2\n', 'key "a" stands twice'),
        ('- 1\n', 'a mapping is expected'),
    ],
)
def test_files_that_are_no_settings(tmp_path, text, part):
    findings = _findings(readers.read_entry, tmp_path, text)
    assert part in findings[0][2]


def test_missing_file_is_a_finding(tmp_path):
    with pytest.raises(errors.SettingsInvalid) as caught:
        readers.read_entry(tmp_path / 'none.yaml')
    assert 'cannot read' in caught.value.findings[0].message


def test_defaults_fill_what_is_left_out(tmp_path):
    path = tmp_path / 'entry.yaml'
    path.write_text(GOOD_ENTRY)
    cfg = readers.read_entry(path)
    assert cfg.instance.name == 'a-1'
    assert cfg.relay.threads > cfg.relay.max_jobs


CATALOG = """
data_centres:
  - {name: here, region: r}
models:
  - {name: lm}
pools:
  - {name: p, data_centre: nowhere, model: lm}
  - {name: q, data_centre: here}
upstreams:
  - {name: a, pool: p, address: '127.0.0.1:1', role: service}
  - {name: b, pool: none, address: '127.0.0.1:1'}
  - {name: c, pool: p, address: '127.0.0.1:1', rolle: decode}
"""


def test_catalog_references_are_checked_as_a_whole(tmp_path):
    findings = _findings(readers.read_catalog, tmp_path, CATALOG)
    messages = [message for _line, _path, message in findings]
    assert 'data_centre "nowhere" does not exist' in messages
    assert 'pool "none" does not exist' in messages
    assert 'unknown key: rolle' in messages
    assert 'pool "q" needs either a model or services' in messages
    assert any('does not fit pool "p"' in message for message in messages)
    lines = {message: line for line, _path, message in findings}
    assert lines['pool "none" does not exist'] == 11


def test_catalog_with_unknown_list_and_double_name(tmp_path):
    row = '{name: a, region: r}'
    text = f'racks: []\ndata_centres: [{row}, {row}]\n'
    findings = _findings(readers.read_catalog, tmp_path, text)
    messages = [message for _line, _path, message in findings]
    assert messages == ['unknown key: racks', 'data_centre "a" stands twice']
