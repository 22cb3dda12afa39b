"""The pages name every key, code, metric and statement."""

import pathlib

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
