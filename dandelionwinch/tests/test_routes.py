"""Tests of prefix matching, and of weights that are stable by id."""

import random

import pytest

from dandelionwinch import routes


def _route(name, prefix, host='desk.example', shares=(('a', 1.0),)):
    return routes.Route(
        name,
        host,
        prefix,
        routes.RetryPolicy.ONCE,
        False,
        1.0,
        0.1,
        0,
        1,
        tuple(routes.TrafficShare(*share) for share in shares),
    )


TABLE = routes.RouteTable(
    1,
    [_route('short', '/a/'), _route('long', '/a/b/'), _route('all', '/x/')],
    [],
    routes.Limits(),
)


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('desk.example', '/a/1', 'short'),
        ('desk.example', '/a/b/1', 'long'),
        ('DESK.example', '/a/b/', 'long'),
        ('desk.example:80', '/x/1', 'all'),
        ('desk.example', '/a', None),
        ('desk.example', '/ab/', None),
        ('other.example', '/a/1', None),
    ],
)
def test_the_longest_prefix_wins(host, path, name):
    route = TABLE.match(host, path)
    assert (route.name if route else None) == name


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/a/b/c', 'exact'),
        ('/a/bc', 'open'),
        ('/a/x', 'short'),
        ('/a/b', 'open'),
        ('/', None),
        ('', None),
    ],
)
def test_a_prefix_without_a_last_slash_matches_the_start_of_a_name(path, name):
    table = routes.RouteTable(
        1,
        [
            _route('short', '/a/'),
            _route('open', '/a/b'),
            _route('exact', '/a/b/'),
        ],
        [],
        routes.Limits(),
    )
    route = table.match('desk.example', path)
    assert (route.name if route else None) == name


def test_matches_equal_a_search_of_all_routes():
    """The look-up by slashes must find what a comparison with all finds."""
    rng = random.Random(4)

    def text():
        return ''.join(rng.choices('ab/', k=rng.randrange(7)))

    for _ in range(300):
        found = [_route(str(n), '/' + text()) for n in range(6)]
        table = routes.RouteTable(1, found, [], routes.Limits())
        path = '/' + text()
        matching = [r for r in found if path.startswith(r.prefix)]
        best = max(matching, key=lambda r: len(r.prefix), default=None)
        assert table.match('desk.example', path) is best


def test_weights_share_requests_and_an_id_keeps_its_service():
    route = _route('split', '/s/', shares=(('a', 9.0), ('b', 1.0)))
    found = [route.service_for(f'request-{n}') for n in range(2000)]
    again = [route.service_for(f'request-{n}') for n in range(2000)]
    assert found == again
    assert 100 < found.count('b') < 320
