"""Tests for decoding configurations and entries of the platform's store."""

import pytest

from dandelionwinch import control
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch import upstreams


def test_an_upstreams_entry_is_read():
    entry = _store_codec.read_upstream('i-1', samples.entry())
    assert entry == upstreams.Entry(
        'i-1',
        's',
        '10.128.0.9:8080',
        'a',
        17,
        True,
        upstreams.Role.DECODE,
        24,
        'v1',
        4,
    )


def test_a_reclaimable_upstreams_entry_is_read():
    value = samples.entry(spot=True, state='draining', leaves_ms=1850.5)
    entry = _store_codec.read_upstream('i-1', value)
    assert (entry.reclaimable, entry.ready) == (True, False)
    assert entry.leaves_in_s == pytest.approx(1.8505)
    value = samples.entry(spot=False, leaves_ms=None)
    entry = _store_codec.read_upstream('i-1', value)
    assert (entry.reclaimable, entry.leaves_in_s) == (False, None)


# An integer beyond the range of floating-point numbers.
HUGE = 10**400
SCALING = {
    'minReplicas': 1,
    'maxReplicas': 8,
    'bootS': 4,
    'spotPrice': 0.15,
    'zonePrices': {'a': 0.8, 'b': 1.25},
}


def read_scaling(value):
    """Returns the Scaling of a service whose field has a value."""
    services = [samples.service(scaling=value)]
    config = samples.config(1, [samples.route()], services)
    return _store_codec.read_config(config).services['s'].scaling


def test_the_scaling_of_a_service_is_read():
    prices = {'a': 0.8, 'b': 1.25}
    scaling = read_scaling(SCALING)
    assert scaling == routes.Scaling(1, 8, 4.0, 0.15, prices)
    assert scaling.price('c') == 1.0
    more = {**SCALING, 'spotPrice': None, 'zonePrices': None, 'other': 1}
    assert read_scaling(more) == routes.Scaling(1, 8, 4.0, None, {})
    assert read_scaling(None) is None


@pytest.mark.parametrize(
    'change',
    [
        {'minReplicas': None},
        {'minReplicas': -1},
        {'minReplicas': 9},
        {'maxReplicas': '8'},
        {'maxReplicas': True},
        {'bootS': None},
        {'bootS': -1},
        {'bootS': 'soon'},
        {'spotPrice': '0.15'},
        {'spotPrice': -0.1},
        {'zonePrices': ['a']},
        {'zonePrices': {'a': '1'}},
        {'zonePrices': {'a': -1}},
    ],
)
def test_an_invalid_scaling_is_a_finding(change):
    with pytest.raises(control.EntryInvalid):
        read_scaling({**SCALING, **change})


@pytest.mark.parametrize('value', [[], 'yes', 7])
def test_a_scaling_of_another_type_is_a_finding(value):
    with pytest.raises(control.EntryInvalid):
        read_scaling(value)


@pytest.mark.parametrize(
    'change',
    [
        {'spot': 'yes'},
        {'spot': 1},
        {'spot': None},
        {'leaves_ms': '2000'},
        {'leaves_ms': True},
        {'service': None},
        {'service': 7},
        {'address': 'nowhere'},
        {'address': 9},
        {'state': 'unknown'},
        {'state': True},
        {'slots': '24'},
        {'born': 1.5},
        {'born': '17'},
        {'phase': 'unknown'},
        {'zone': []},
        {'coldRemainingMs': 'x'},
        {'version': 1},
        {'version': None},
    ],
)
def test_an_entry_with_an_invalid_field_is_refused(change):
    value = samples.entry(**change)
    with pytest.raises(control.EntryInvalid):
        _store_codec.read_upstream('i-1', value)


@pytest.mark.parametrize(
    'value',
    [
        samples.entry(leaves_ms=HUGE),
        samples.entry(leaves_ms=-HUGE),
        samples.entry(leaves_ms=1e999),
        b'{"a":' * 100_000,
    ],
)
def test_an_entry_that_cannot_be_computed_with_is_refused(value):
    """It ended each look at the store, as no error of an entry does."""
    with pytest.raises(control.EntryInvalid):
        _store_codec.read_upstream('i-1', value)


@pytest.mark.parametrize(
    'value',
    [
        samples.config(1, [samples.route(timeoutMs=HUGE)]),
        samples.config(
            1, [], [samples.service(scaling={**SCALING, 'bootS': HUGE})]
        ),
        samples.config(1, []).replace(b'16384', b'1e999'),
        b'[' * 100_000,
    ],
)
def test_a_configuration_that_cannot_be_computed_with_is_refused(value):
    """It ended each look at the store; the last good version stays."""
    with pytest.raises(control.EntryInvalid):
        _store_codec.read_config(value)


@pytest.mark.parametrize('value', [b'', b'\xff\x00', b'[]', b'{"a":'])
def test_malformed_bytes_are_refused(value):
    with pytest.raises(control.EntryInvalid):
        _store_codec.read_upstream('i-1', value)


@pytest.mark.parametrize(
    ('changes', 'retry_policy', 'streaming'),
    [
        ({}, routes.RetryPolicy.IDEMPOTENT, False),
        ({'kind': 'non_idempotent'}, routes.RetryPolicy.ONCE, False),
        ({'kind': 'streaming'}, routes.RetryPolicy.ONCE, True),
        (
            {'kind': 'streaming', 'resumable': True},
            routes.RetryPolicy.RESUMABLE,
            True,
        ),
        (
            {'kind': 'streaming', 'resumable': 'yes'},
            routes.RetryPolicy.ONCE,
            True,
        ),
        ({'kind': 'new_kind'}, routes.RetryPolicy.ONCE, False),
    ],
)
def test_what_may_be_repeated_follows_from_the_kind(
    changes, retry_policy, streaming
):
    value = samples.config(3, [samples.route(**changes)], [samples.service()])
    table = _store_codec.read_config(value)
    route = table.match('desk', '/a/1')
    assert (table.version, route.retry_policy) == (3, retry_policy)
    assert (route.streaming, route.timeout_s) == (streaming, 1.2)


@pytest.mark.parametrize(
    'value',
    [
        b'{"version": 1, "routes": [1], "services": []}',
        b'{"version": 1, "routes": [], "services": ["x"]}',
        b'{"version": 1, "routes": [], "services": [], "limits": [1]}',
        b'{"version": 1, "routes": {}, "services": []}',
        b'{"version": "1", "routes": [], "services": []}',
    ],
)
def test_a_configuration_of_other_types_is_refused(value):
    with pytest.raises(control.EntryInvalid):
        _store_codec.read_config(value)


def test_a_configuration_with_an_invalid_field_is_refused():
    value = samples.config(3, [samples.route(timeoutMs='x')], [])
    with pytest.raises(control.EntryInvalid, match='timeoutMs'):
        _store_codec.read_config(value)
