"""The catalog: the operators' documents, typed and with valid references."""

import attrs

from dandelionwinch import errors
from dandelionwinch import settings

KIND_OF_PLURAL = {
    'data_centres': 'data_centre',
    'links': 'link',
    'models': 'model',
    'services': 'service',
    'pools': 'pool',
    'fleets': 'fleet',
    'upstreams': 'upstream',
    'policies': 'policy',
    'teams': 'team',
    'instances': 'instance',
}

DEFAULT_POLICY = settings.Policy(name='default')
DEFAULT_LINK = settings.Link(name='default')


def split_path(path):
    """Splits a path such as ``upstream/lm-1`` into kind and name."""
    kind, _, name = path.partition('/')
    return kind, name


class Catalog:
    """Documents of one revision, indexed by kind and name.

    Attributes:
        docs: Untyped documents by path, as they are stored.
    """

    __slots__ = ('_by_kind', '_upstreams_of_pool', 'docs')

    def __init__(self, docs, by_kind):
        self.docs = docs
        self._by_kind = by_kind
        self._upstreams_of_pool = {}
        for upstream in self.all('upstream'):
            members = self._upstreams_of_pool.setdefault(upstream.pool, [])
            members.append(upstream)

    def all(self, kind):
        """Returns the documents of a kind, sorted by name."""
        return list(self._by_kind.get(kind, {}).values())

    def get(self, kind, name):
        """Returns a document, or None if it does not exist."""
        return self._by_kind.get(kind, {}).get(name)

    def upstreams_of(self, pool):
        """Returns the upstreams of a pool."""
        return self._upstreams_of_pool.get(pool, [])

    def pools_of_model(self, model):
        """Returns the pools that serve a model."""
        return [pool for pool in self.all('pool') if pool.model == model]

    def pools_of_service(self, service):
        """Returns the pools that serve a plain service."""
        return [p for p in self.all('pool') if service in p.services]

    def data_centre_of(self, upstream):
        """Returns the name of the data centre of an upstream."""
        return self.get('pool', upstream.pool).data_centre

    def region_of(self, data_centre):
        """Returns the region of a data centre, or '' if it is unknown."""
        found = self.get('data_centre', data_centre)
        return found.region if found else ''

    def policy_of(self, pool):
        """Returns the policy of a pool, or the default policy."""
        return self.get('policy', pool.policy) or DEFAULT_POLICY

    def link(self):
        """Returns the link between regions, or the default link."""
        return self.get('link', 'default') or DEFAULT_LINK


EMPTY = Catalog({}, {})


def build(docs, structure):
    """Builds a catalog and validates its documents and references.

    Args:
        docs: Untyped documents by path.
        structure: Function that converts an untyped document to a typed one.
            It is called with the document, its class and its path, and raises
            SettingsInvalid if the document is invalid.

    Returns:
        A Catalog.

    Raises:
        SettingsInvalid: With the findings about all documents.
    """
    findings = []
    by_kind = {}
    for path in sorted(docs):
        kind, name = split_path(path)
        cls = settings.KINDS.get(kind)
        if cls is None:
            findings.append(
                errors.Finding(path, 0, '$', f'unknown kind "{kind}"')
            )
            continue
        try:
            document = structure(docs[path], cls, path)
        except errors.SettingsInvalid as exc:
            findings.extend(exc.findings)
            continue
        if document.name != name:
            message = f'name "{document.name}" differs from path "{path}"'
            findings.append(errors.Finding(path, 0, '$.name', message))
        by_kind.setdefault(kind, {})[name] = document
    built = Catalog(dict(docs), by_kind)
    findings.extend(_check_documents(built))
    if findings:
        raise errors.SettingsInvalid(findings)
    return built


def _check_documents(built):
    for reference in _references(built):
        if built.get(reference.kind, reference.name) is None:
            yield errors.Finding(
                reference.source,
                0,
                f'$.{reference.field}',
                f'{reference.kind} "{reference.name}" does not exist',
            )
    for pool in built.all('pool'):
        if bool(pool.model) == bool(pool.services):
            yield errors.Finding(
                f'pool/{pool.name}',
                0,
                '$.model',
                f'pool "{pool.name}" needs either a model or services',
            )
    yield from _check_roles(built)


def _check_roles(built):
    for upstream in built.all('upstream'):
        pool = built.get('pool', upstream.pool)
        if pool is None:
            continue
        is_service = upstream.role is settings.Role.SERVICE
        if is_service != bool(pool.services):
            yield errors.Finding(
                f'upstream/{upstream.name}',
                0,
                '$.role',
                f'role "{upstream.role}" of upstream "{upstream.name}" does '
                f'not fit pool "{pool.name}"',
            )


@attrs.frozen
class _Reference:
    """A reference by name from the field of a document to another one."""

    source: str
    field: str
    kind: str
    name: str


def _references(built):
    for pool in built.all('pool'):
        source = f'pool/{pool.name}'
        yield _Reference(
            source, 'data_centre', 'data_centre', pool.data_centre
        )
        if pool.model:
            yield _Reference(source, 'model', 'model', pool.model)
        for name in pool.services:
            yield _Reference(source, 'services', 'service', name)
        if pool.policy != 'default':
            yield _Reference(source, 'policy', 'policy', pool.policy)
    for fleet in built.all('fleet'):
        for name in fleet.pools:
            yield _Reference(f'fleet/{fleet.name}', 'pools', 'pool', name)
    for upstream in built.all('upstream'):
        source = f'upstream/{upstream.name}'
        yield _Reference(source, 'pool', 'pool', upstream.pool)
