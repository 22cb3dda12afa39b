"""Tables that operators can query: columns and rows."""

import attrs

from dandelionwinch import catalog
from dandelionwinch import settings

COLUMNS = {
    'upstreams': (
        'name data_centre pool role wanted_role state health running waiting '
        'kv_tokens accelerators age_s checks_fencing frozen epoch address '
        'revision'
    ).split(),
    'instances': (
        'name data_centre state jobs revision silent_s listed address'
    ).split(),
    'jobs': (
        'id team target state code upstream attempts tokens seconds instance'
    ).split(),
    'orders': 'id upstream role state epoch shard reason'.split(),
    'shards': 'name holder epoch released'.split(),
    'claims': 'key state holder opened changed status'.split(),
    'settings': 'path revision value'.split(),
    'events': 'time instance kind subject detail'.split(),
    'earnings': 'team jobs tokens instance unwritten_jobs'.split(),
}


def columns_of(table):
    """Returns the column names of a table."""
    if table in COLUMNS:
        return COLUMNS[table]
    kind = catalog.KIND_OF_PLURAL[table]
    fields = [field.name for field in attrs.fields(settings.KINDS[kind])]
    return [*fields, 'revision']


def document_rows(core, table):
    """Returns the documents of a table's kind as rows."""
    kind = catalog.KIND_OF_PLURAL[table]
    rows = []
    for document in core.catalog.all(kind):
        row = attrs.asdict(document)
        path = f'{kind}/{document.name}'
        row['revision'] = core.documents.revision_of(path)
        rows.append(row)
    return rows


def upstream_rows(core):
    """Returns the configured upstreams with their newest load reports."""
    now = core.now()
    return [_upstream_row(core, r, now) for r in core.catalog.all('upstream')]


def _upstream_row(core, upstream, now):
    report = core.load_reports.latest(upstream.name)
    load = report.message if report is not None else None
    estimate = core.scheduler.estimates.get(upstream.name)
    return {
        'name': upstream.name,
        'data_centre': core.catalog.data_centre_of(upstream),
        'pool': upstream.pool,
        'role': load.role if load and load.role else str(upstream.role),
        'wanted_role': str(upstream.role),
        'state': str(upstream.state),
        'health': _health(core, upstream, load, estimate, now),
        'running': load.running if load else 0,
        'waiting': load.waiting if load else 0,
        'kv_tokens': load.kv_tokens if load else 0,
        'accelerators': upstream.accelerators,
        'age_s': round(now - report.made_at, 2) if report else None,
        'checks_fencing': upstream.checks_fencing,
        'frozen': core.shards.frozen_reason(upstream.name),
        'epoch': load.epoch if load else 0,
        'address': upstream.address,
        'revision': core.documents.revision_of(f'upstream/{upstream.name}'),
    }


def _health(core, upstream, load, estimate, now):
    if core.load_reports.is_held(upstream.name):
        return 'held'
    if upstream.role is settings.Role.SERVICE:
        backing_off = core.load_reports.is_unavailable(upstream.name, now)
        return 'resting' if backing_off else 'ok'
    if load is None:
        return 'unknown'
    if load.failed:
        return 'failed'
    if load.away:
        return 'away'
    if estimate is not None and not estimate.usable(now):
        return 'resting'
    return 'ok'


def instance_rows(core):
    """Returns all known instances."""
    now = core.now()
    live = {peer.name for peer in core.members.live(now)}
    return [
        {
            'name': peer.name,
            'data_centre': peer.data_centre,
            'state': _instance_state(peer, live),
            'jobs': peer.jobs,
            'revision': peer.revision,
            'silent_s': round(max(0.0, now - peer.heartbeat_at), 2),
            'listed': peer.listed,
            'address': peer.member.client_address,
        }
        for peer in core.members.all_instances()
    ]


def _instance_state(peer, live):
    if peer.name not in live:
        return 'silent'
    return 'leaving' if peer.leaving else 'live'


def job_rows(core):
    """Returns the running and recent jobs of this instance."""
    now = core.now()
    return [
        {
            'id': record.id,
            'team': record.team,
            'target': record.target,
            'state': record.state,
            'code': record.code,
            'upstream': record.upstream,
            'attempts': record.attempts,
            'tokens': record.tokens,
            'seconds': round((record.ended or now) - record.started, 3),
            'instance': core.name,
        }
        for record in core.scheduler.job_history.all()
    ]


def earning_rows(core):
    """Returns the delivered jobs and tokens of this process by team."""
    ledger = core.earnings.ledger
    return [
        {
            'team': team,
            'jobs': total.jobs,
            'tokens': total.tokens,
            'instance': core.name,
            'unwritten_jobs': ledger.unwritten_jobs(),
        }
        for team, total in sorted(ledger.totals().items())
    ]


def setting_rows(core):
    """Returns all documents of the configuration as rows."""
    return [
        {
            'path': path,
            'revision': core.documents.revision_of(path),
            'value': value,
        }
        for path, value in sorted(core.documents.values().items())
    ]


def event_rows(timeline):
    """Returns merged events and gaps as rows."""
    return [_event_row(item) for item in timeline]


def _event_row(item):
    row = {'time': item.timestamp.physical_us / 1e6, 'instance': item.instance}
    if hasattr(item, 'kind'):
        row['kind'] = item.kind
        row['subject'] = item.subject
        row['detail'] = item.detail
    else:
        # A timeline.Gap.
        row['kind'] = 'gap'
        row['subject'] = ''
        row['detail'] = f'{item.missing} events are no longer held'
    return row
