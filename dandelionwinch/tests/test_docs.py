"""The documentation covers every key, code, metric, table and constant."""

import pathlib
import re

import attrs
import pytest

from dandelionwinch import catalog
from dandelionwinch.daemon import _metrics
from dandelionwinch import errors
from dandelionwinch import settings

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


def _page(name):
    return (DOCS / name).read_text()


def test_every_key_of_the_settings_is_described():
    page = _page('settings.md')
    classes = [settings.EntrySettings, *settings.KINDS.values()]
    fields = attrs.fields(attrs.resolve_types(settings.EntrySettings))
    classes += [field.type for field in fields if attrs.has(field.type)]
    for cls in classes:
        for field in attrs.fields(cls):
            if not attrs.has(field.type):
                assert f'`{field.name}`' in page, (cls, field.name)


def _codes(cls):
    yield cls.code
    for inner in cls.__subclasses__():
        yield from _codes(inner)


@pytest.mark.parametrize('code', sorted(_codes(errors.DandelionwinchError)))
def test_every_refusal_code_is_described(code):
    operators_only = ('settings_invalid', 'statement_invalid')
    page = 'refusals.md' if code not in operators_only else 'language.md'
    assert code in _page(page)


def test_every_metric_is_described():
    page = _page('metrics.md')
    for family in _metrics.Metrics().registry.collect():
        assert family.name.removeprefix('dandelionwinch_') in page


def test_every_table_is_described():
    page = _page('language.md')
    for plural in catalog.KIND_OF_PLURAL:
        assert plural in page


ROOT = pathlib.Path(__file__).parents[1]
DATA_PATH = (
    'addresses',
    'attempts',
    'capacity',
    'control',
    'dispatch',
    'gateway',
    'leadership',
    'limits',
    'migration',
    'platform',
    'quarantine',
    'ratelimits',
    'relay',
    'streams',
    'teams',
    'upstreams',
    'usage',
)


def test_every_constant_of_the_data_path_is_listed_with_its_value():
    page = _page('settings.md')
    paths = [p for folder in DATA_PATH for p in (ROOT / folder).glob('*.py')]
    found = 0
    for path in [*paths, ROOT / 'eventlog.py']:
        name = path.relative_to(ROOT)
        constants = re.findall(
            r'^([A-Z][A-Z_0-9]+) = ([-0-9._<>() ]+)$', path.read_text(), re.M
        )
        for constant, value in constants:
            found += 1
            row = f'| {name} | `{constant}` | {value.replace("_", "")} |'
            assert row in page, row
    assert found > 60


def test_every_test_that_the_pages_name_exists():
    text = ''.join(p.read_text() for p in (ROOT / 'tests').glob('test_*.py'))
    tests = set(re.findall(r'def (test_\w+)\(', text))
    modules = {p.stem for p in (ROOT / 'tests').glob('test_*.py')}
    for page in ('troubles.md', 'worth.md', 'incidents.md'):
        named = set(re.findall(r'\btest_\w+', _page(page)))
        assert named - tests - modules == set(), page
