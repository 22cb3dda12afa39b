"""The tables that operators can query, one builder for each."""

import attrs

from dandelionwinch import catalog
from dandelionwinch import settings

COLUMNS = {
    'runners': (
        'name place pool role wanted_role state health running waiting '
        'kv_tokens age_s checks_fencing frozen epoch address revision'
    ).split(),
    'instances': (
        'name place state jobs revision silent_s listed address'
    ).split(),
    'jobs': (
        'id team target state code runner attempts tokens seconds instance'
    ).split(),
    'orders': 'id runner role state epoch shard reason'.split(),
    'shards': 'name holder epoch released'.split(),
    'claims': 'key state holder opened changed status'.split(),
    'settings': 'path revision value'.split(),
    'events': 'time instance kind subject detail'.split(),
    'earnings': 'team jobs tokens instance unwritten_jobs'.split(),
}


def columns_of(table):
    """Returns the names of a table's columns."""
    if table in COLUMNS:
        return COLUMNS[table]
    kind = catalog.KIND_OF_PLURAL[table]
    fields = [field.name for field in attrs.fields(settings.KINDS[kind])]
    return [*fields, 'revision']


def document_rows(core, table):
    """Returns the rows of a kind of document."""
    kind = catalog.KIND_OF_PLURAL[table]
    rows = []
    for document in core.catalog.all(kind):
        row = attrs.asdict(document)
        path = f'{kind}/{document.name}'
        row['revision'] = core.documents.revision_of(path)
        rows.append(row)
    return rows


def runner_rows(core):
    """Returns the configured runners with what is known of them."""
    now = core.now()
    return [_runner_row(core, r, now) for r in core.catalog.all('runner')]


def _runner_row(core, runner, now):
    seen = core.loads.latest(runner.name)
    load = seen.message if seen is not None else None
    belief = core.work.beliefs.get(runner.name)
    return {
        'name': runner.name,
        'place': core.catalog.place_of(runner),
        'pool': runner.pool,
        'role': load.role if load and load.role else str(runner.role),
        'wanted_role': str(runner.role),
        'state': str(runner.state),
        'health': _health(core, runner, load, belief, now),
        'running': load.running if load else 0,
        'waiting': load.waiting if load else 0,
        'kv_tokens': load.kv_tokens if load else 0,
        'age_s': round(now - seen.made_at, 2) if seen else None,
        'checks_fencing': runner.checks_fencing,
        'frozen': core.shards.frozen_reason(runner.name),
        'epoch': load.epoch if load else 0,
        'address': runner.address,
        'revision': core.documents.revision_of(f'runner/{runner.name}'),
    }


def _health(core, runner, load, belief, now):
    if core.loads.is_held(runner.name):
        return 'held'
    if runner.role is settings.Role.SERVICE:
        resting = core.loads.is_resting(runner.name, now)
        return 'resting' if resting else 'ok'
    if load is None:
        return 'unknown'
    if load.failed:
        return 'failed'
    if load.away:
        return 'away'
    if belief is not None and not belief.usable(now):
        return 'resting'
    return 'ok'


def instance_rows(core):
    """Returns all known instances."""
    now = core.now()
    live = {known.name for known in core.members.live(now)}
    return [
        {
            'name': known.name,
            'place': known.place,
            'state': _instance_state(known, live),
            'jobs': known.jobs,
            'revision': known.revision,
            'silent_s': round(max(0.0, now - known.heard_at), 2),
            'listed': known.listed,
            'address': known.member.clerk_address,
        }
        for known in core.members.everyone()
    ]


def _instance_state(known, live):
    if known.name not in live:
        return 'silent'
    return 'leaving' if known.leaving else 'live'


def job_rows(core):
    """Returns the jobs that this instance served of late."""
    now = core.now()
    return [
        {
            'id': record.id,
            'team': record.team,
            'target': record.target,
            'state': record.state,
            'code': record.code,
            'runner': record.runner,
            'attempts': record.attempts,
            'tokens': record.tokens,
            'seconds': round((record.ended or now) - record.started, 3),
            'instance': core.name,
        }
        for record in core.work.book.all()
    ]


def earning_rows(core):
    """Returns what this process earned by team."""
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
    """Returns all documents of the configuration."""
    return [
        {
            'path': path,
            'revision': core.documents.revision_of(path),
            'value': value,
        }
        for path, value in sorted(core.documents.values().items())
    ]


def event_rows(lines):
    """Returns merged events and gaps as rows."""
    return [_event_row(line) for line in lines]


def _event_row(line):
    row = {'time': line.stamp.physical_us / 1e6, 'instance': line.instance}
    if hasattr(line, 'kind'):
        row['kind'] = line.kind
        row['subject'] = line.subject
        row['detail'] = line.detail
    else:
        row['kind'] = 'gap'
        row['subject'] = ''
        row['detail'] = f'{line.missing} events are no longer held'
    return row
