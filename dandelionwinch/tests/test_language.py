"""Documents that commands change, refused commands, parse errors."""

import pytest

from dandelionwinch import errors
from dandelionwinch import language
from dandelionwinch import revisions

UPSTREAM = {'name': 'lm-1', 'address': '127.0.0.1:1', 'role': 'mixed'}


def _documents():
    documents = revisions.Documents()
    document = revisions.Document('upstream/lm-1', 3, UPSTREAM)
    documents.adopt(3, [document])
    return documents


def _edits(text):
    return language.edits_of(language.parse(text), _documents())


@pytest.mark.parametrize(
    ('text', 'path', 'change'),
    [
        ('drain upstream lm-1', 'upstream/lm-1', {'state': 'draining'}),
        ('UNDRAIN UPSTREAM lm-1;', 'upstream/lm-1', {'state': 'active'}),
        ('retire upstream lm-1', 'upstream/lm-1', {'state': 'retired'}),
        (
            'change role of upstream lm-1 to decode',
            'upstream/lm-1',
            {'role': 'decode'},
        ),
        ('set upstream lm-1 kv_tokens = 9', 'upstream/lm-1', {'kv_tokens': 9}),
    ],
)
def test_a_command_changes_its_document_only(text, path, change):
    assert _edits(text) == {path: {**UPSTREAM, **change}}


def test_create_and_remove():
    made = _edits("create fleet f (pools = ['a', 'b'])")
    assert made == {'fleet/f': {'name': 'f', 'pools': ['a', 'b']}}
    assert _edits('remove upstream lm-1 if revision 3') == {
        'upstream/lm-1': None
    }


def test_replace_drains_one_and_adds_the_other():
    edits = _edits("replace upstream lm-1 with lm-9 at '127.0.0.1:9'")
    assert edits['upstream/lm-1']['state'] == 'draining'
    new = edits['upstream/lm-9']
    assert (new['address'], new['role']) == ('127.0.0.1:9', 'mixed')


@pytest.mark.parametrize(
    ('text', 'error'),
    [
        ('drain upstream none', errors.NotFound),
        ('drain upstream lm-1 if revision 2', errors.Conflict),
        ('create upstream lm-1', errors.Conflict),
        ("replace upstream lm-1 with lm-1 at 'x'", errors.Conflict),
    ],
)
def test_a_command_that_cannot_be_done(text, error):
    with pytest.raises(error):
        _edits(text)


@pytest.mark.parametrize(
    ('text', 'column'),
    [
        ('show runers', 6),
        ('drain upstream', 15),
        ('change role of upstream a to blue', 30),
        ('show jobs limit many', 17),
        ('', 1),
    ],
)
def test_errors_point_at_the_column(text, column):
    with pytest.raises(errors.StatementInvalid) as caught:
        language.parse(text)
    assert caught.value.column == column
    assert caught.value.expected
