"""The example settings are valid and complete."""

import pathlib

import pytest

from dandelionwinch import readers

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


@pytest.mark.parametrize(
    ('example', 'engines', 'services'),
    [('hire-desk', 6, 3), ('nominations', 7, 3)],
)
def test_catalog_has_the_upstreams_of_the_example(example, engines, services):
    catalog = readers.read_catalog(EXAMPLES / example / 'catalog.yaml')
    roles = [str(upstream.role) for upstream in catalog.all('upstream')]
    assert roles.count('service') == services
    assert len(roles) - roles.count('service') == engines
    assert len(catalog.all('data_centre')) == 3


@pytest.mark.parametrize('path', sorted(EXAMPLES.glob('*/entry-*.yaml')))
def test_entry_settings_are_valid(path):
    cfg = readers.read_entry(path)
    catalog = readers.read_catalog(EXAMPLES.parent / cfg.catalog_file)
    assert catalog.get('data_centre', cfg.instance.data_centre)
