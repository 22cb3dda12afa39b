"""What each command changes, and what it refuses."""

import pytest

from dandelionwinch import errors
from dandelionwinch import language
from dandelionwinch import revisions

RUNNER = {'name': 'lm-1', 'address': '127.0.0.1:1', 'role': 'mixed'}


def _documents():
    documents = revisions.Documents()
    document = revisions.Document('runner/lm-1', 3, RUNNER)
    documents.adopt(3, [document])
    return documents


def _edits(text):
    return language.edits_of(language.parse(text), _documents())


@pytest.mark.parametrize(
    ('text', 'path', 'change'),
    [
        ('drain runner lm-1', 'runner/lm-1', {'state': 'draining'}),
        ('UNDRAIN RUNNER lm-1;', 'runner/lm-1', {'state': 'active'}),
        ('retire runner lm-1', 'runner/lm-1', {'state': 'retired'}),
        (
            'change role of runner lm-1 to decode',
            'runner/lm-1',
            {'role': 'decode'},
        ),
        ('set runner lm-1 kv_tokens = 9', 'runner/lm-1', {'kv_tokens': 9}),
    ],
)
def test_a_command_changes_its_document_only(text, path, change):
    assert _edits(text) == {path: {**RUNNER, **change}}


def test_create_and_remove():
    made = _edits("create fleet f (pools = ['a', 'b'])")
    assert made == {'fleet/f': {'name': 'f', 'pools': ['a', 'b']}}
    assert _edits('remove runner lm-1 if revision 3') == {'runner/lm-1': None}


def test_replace_drains_one_and_adds_the_other():
    edits = _edits("replace runner lm-1 with lm-9 at '127.0.0.1:9'")
    assert edits['runner/lm-1']['state'] == 'draining'
    new = edits['runner/lm-9']
    assert (new['address'], new['role']) == ('127.0.0.1:9', 'mixed')


@pytest.mark.parametrize(
    ('text', 'error'),
    [
        ('drain runner none', errors.NotFound),
        ('drain runner lm-1 if revision 2', errors.Conflict),
        ('create runner lm-1', errors.Conflict),
        ("replace runner lm-1 with lm-1 at 'x'", errors.Conflict),
    ],
)
def test_a_command_that_cannot_be_done(text, error):
    with pytest.raises(error):
        _edits(text)


@pytest.mark.parametrize(
    ('text', 'column'),
    [
        ('show runers', 6),
        ('drain runner', 13),
        ('change role of runner a to blue', 28),
        ('show jobs limit many', 17),
        ('', 1),
    ],
)
def test_errors_point_at_the_column(text, column):
    with pytest.raises(errors.StatementInvalid) as caught:
        language.parse(text)
    assert caught.value.column == column
    assert caught.value.expected
