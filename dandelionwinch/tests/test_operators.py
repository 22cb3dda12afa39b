"""Operators' statements, run at a live instance over HTTP."""

from dandelionwinch.tests import entry_harness


def test_queries_answer_rows_and_columns(harness):
    for table in (
        'upstreams instances fleets pools policies services models '
        'data_centres links teams jobs settings events earnings shards '
        'orders claims'
    ).split():
        answer = harness.ask(f'show {table}')
        assert set(answer) >= {'columns', 'rows'}, table


def test_conditions_order_and_limit(harness):
    answer = harness.ask(
        "show upstreams where pool = 'lm' and not (role = 'prefill') "
        'order by name desc limit 1'
    )
    assert [row['name'] for row in answer['rows']] == ['lm-2']


def test_error_points_at_the_column(harness):
    error = harness.ask('show upstreams where data_centre 3')['error']
    assert error['column'] == 34
    assert error['expected'] == ['a comparison']


def test_unknown_column_is_named(harness):
    error = harness.ask('show upstreams where colour = 1')['error']
    assert (
        'column "colour" does not exist in table "upstreams"'
        in (error['message'])
    )


def test_racing_operators_get_one_winner(harness):
    revision = _revision(harness, 'lm')
    statement = f'set pool lm policy = default if revision {revision}'
    assert harness.ask(statement)['revision'] > revision
    error = harness.ask(statement)['error']
    assert error['code'] == 'conflict'
    assert f'not {revision}' in error['message']


def _revision(harness, pool):
    rows = harness.ask('show pools')['rows']
    return next(row['revision'] for row in rows if row['name'] == pool)


def test_invalid_change_reports_all_findings_and_changes_nothing(harness):
    before = harness.ask('show settings')['rows']
    error = harness.ask(
        'set upstream lm-1 role = "upside", address = "nowhere"'
    )['error']
    paths = {finding['path'] for finding in error['findings']}
    assert error['code'] == 'settings_invalid'
    assert paths == {'$.role', '$.address'}
    assert harness.ask('show settings')['rows'] == before


def test_drained_upstream_gets_nothing_new_and_can_come_back(harness):
    assert harness.ask('drain upstream lm-1')['accepted']
    engine = harness.upstreams[0].engine
    before = len(engine.started_jobs)
    for number in range(5):
        assert harness.chat(tokens=2, prompt=f'drain {number}').status == 200
    assert len(engine.started_jobs) == before
    assert harness.ask('undrain upstream lm-1')['accepted']
    core = harness.entry.core
    entry_harness.wait_until(
        lambda: not core.scheduler.estimates.get('lm-1').held, 'hold released'
    )


def test_drain_is_in_force_although_the_store_is_down(harness):
    harness.store.down = True
    answer = harness.ask('drain upstream lm-2')
    assert answer['accepted'] is False
    assert answer['unconfirmed'] == []
    engine = harness.upstreams[1].engine
    before = len(engine.started_jobs)
    for number in range(5):
        assert harness.chat(tokens=2, prompt=f'down {number}').status == 200
    assert len(engine.started_jobs) == before
    harness.store.down = False
    assert harness.ask('undrain upstream lm-2')['revision']


def test_role_changes_by_an_order_that_is_closed(harness):
    engine = harness.upstreams[0].engine
    engine.role_change_s = 0.2
    assert harness.ask('change role of upstream lm-1 to decode')['accepted']
    entry_harness.wait_until(
        lambda: any(
            row['state'] == 'done' and row['role'] == 'decode'
            for row in harness.ask('show orders')['rows']
        ),
        'the order is closed',
    )
    assert (engine.role, engine.role_changes) == ('decode', 1)
    assert engine.interrupted_answers == 0


def test_explanations(harness):
    reply = harness.chat(tokens=2, prompt='why')
    job = reply.headers['X-Request-Id']
    terms = harness.ask(f'explain job {job}')['rows'][0]['terms']
    assert 'prefill on "lm-' in terms[0]
    row = harness.ask('explain upstream lm-1')['rows'][0]
    assert row['believed_slots'] > 0
    assert harness.ask('explain job nothing')['error']['code'] == 'not_found'


def test_the_timeline_has_the_events_of_a_job(harness):
    job = harness.chat(tokens=2, prompt='told').headers['X-Request-Id']
    rows = harness.ask(f"show events where subject = '{job}'")['rows']
    kinds = [row['kind'] for row in rows]
    assert kinds[:2] == ['job.admitted', 'job.placed']
