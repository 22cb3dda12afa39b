"""The demo: a deployment under load, changes and failures."""

import json
import pathlib
import sys
import threading
import time

import attrs
import click
import rich.console
import rich.progress
import rich.table

from dandelionwinch import errors
from dandelionwinch.tools import console
from dandelionwinch.tools import demo_clients
from dandelionwinch.tools import demo_fleet

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
CLIENTS = 18
STORE_OUTAGE_S = 4.0
MAX_IN_FORCE_S = 6.0
RUN_S = 34
FIRST_MIX = demo_clients.Mix(prompt_words=60, output_tokens=60)
SECOND_MIX = demo_clients.Mix(prompt_words=1200, output_tokens=12)

DEPLOYMENTS = {
    'hire': demo_clients.DeploymentNames(
        'counter-lm',
        'lookups',
        'deposits',
        ('fitting', 'trails', 'payments'),
    ),
    'nominations': demo_clients.DeploymentNames(
        'citation-lm',
        'screening',
        'lodging',
        ('registrars', 'drafting', 'families'),
    ),
}
FOLDERS = {'hire': 'hire-desk', 'nominations': 'nominations'}


@attrs.frozen
class Step:
    """An action that is due at a time of the run."""

    at_s: float
    text: str
    action: object


class Script:
    """The scheduled changes and failures of the run.

    Attributes:
        in_force_s: Time until the configuration change was in force on all
            instances, None if that was not seen.
        notes: Statements that failed, with their errors.
    """

    def __init__(self, fleet, clients, policy):
        self._fleet = fleet
        self._clients = clients
        self._policy = policy
        self.in_force_s = None
        self.notes = []

    def steps(self):
        """Returns the Steps in order of time."""
        return [
            Step(4, 'prompt-to-output mix shifts', self._shift_mix),
            Step(6, 'a configuration changes', self._change_configuration),
            Step(9, 'an upstream changes its role', self._change_role),
            Step(13, 'an upstream crashes', self._crash),
            Step(16, 'the upstream restarts', self._restart),
            Step(17, 'a service loses two answers', self._lose_answers),
            Step(18, 'an instance is killed', self._kill),
            Step(21, 'the store goes down', self._store_down),
            Step(21 + STORE_OUTAGE_S, 'the store recovers', self._store_up),
            Step(27, 'an instance stops gracefully', self._stop),
            Step(29, 'the mix shifts back', self._shift_mix_back),
        ]

    def run_statement(self, statement):
        """Runs an operators' statement on a live instance.

        Returns:
            The answer, or an empty dict if it failed.
        """
        live = next(i for i in self._fleet.instances if i.alive)
        client = console.OperatorClient(live.cfg.operator_address)
        try:
            return client.run_statement(statement)
        except errors.DandelionwinchError as exc:
            self.notes.append(f'{statement}: {exc.code}: {exc.message}')
            return {}

    def _shift_mix(self):
        self._clients.change_mix(SECOND_MIX)

    def _shift_mix_back(self):
        self._clients.change_mix(FIRST_MIX)

    def _change_configuration(self):
        statement = f'set policy {self._policy} horizon_s = 90'
        before = max(self._revisions())
        started = time.monotonic()
        thread = threading.Thread(target=self.run_statement, args=(statement,))
        thread.start()
        while self.in_force_s is None:
            waited_s = time.monotonic() - started
            if min(self._revisions()) > before:
                self.in_force_s = waited_s
            elif waited_s > MAX_IN_FORCE_S:
                break
        thread.join()

    def _revisions(self):
        revisions = [
            self._fleet.revision_of(instance)
            for instance in self._fleet.instances
            if instance.alive
        ]
        return [revision or 0 for revision in revisions]

    def _change_role(self):
        name = next(iter(self._fleet.upstreams))
        self.run_statement(f'change role of upstream {name} to decode')

    def _crash(self):
        list(self._fleet.upstreams.values())[2].engine.crash()

    def _restart(self):
        list(self._fleet.upstreams.values())[2].engine.restart()

    def _lose_answers(self):
        for server in self._fleet.services.values():
            server.replies_to_drop = 2

    def _kill(self):
        self._fleet.kill(self._fleet.instances[1])

    def _store_down(self):
        # The live list lags behind: it named the instance that was killed
        # at 18 s until now.
        self._fleet.live_list.remove(self._fleet.instances[1].cfg.name)
        self._fleet.store.down = True

    def _store_up(self):
        self._fleet.store.down = False

    def _stop(self):
        self._fleet.stop(self._fleet.instances[3])


@attrs.define
class Summary:
    """The result of a run, counted from stand-ins and clients.

    Attributes:
        house: Name of the deployment.
        jobs: Jobs that clients sent.
        answered_whole: Jobs with a complete and correct answer.
        refused_truthfully: Refused jobs, less `falsely_refused`.
        unknown: Jobs whose outcome the client did not learn.
        doubled: Idempotency keys with more than one execution.
        cut: Wrong answers, and answers that a role change interrupted.
        falsely_refused: Requests reported as not run that did run.
        falsely_done: Charges with a correct answer that never ran.
        overlapping_orders: Orders accepted during a role change.
        stale_orders: Orders of an older epoch that were executed.
        lost_connections: Connections that ended without an answer.
        goodput_tokens_per_s: Tokens of complete and correct answers.
        role_changes: Role changes of all engines.
        configuration_in_force_s: Time until the configuration change was
            in force on all instances, None if that was not seen.
        seconds: Duration of the run.
        promises_held: Whether all guarantees held; set by `evaluate`.
        notes: Statements that failed, with their errors.
    """

    house: str
    jobs: int = 0
    answered_whole: int = 0
    refused_truthfully: int = 0
    unknown: int = 0
    doubled: int = 0
    cut: int = 0
    falsely_refused: int = 0
    falsely_done: int = 0
    overlapping_orders: int = 0
    stale_orders: int = 0
    lost_connections: int = 0
    goodput_tokens_per_s: float = 0.0
    role_changes: int = 0
    configuration_in_force_s: float | None = None
    seconds: float = 0.0
    promises_held: bool = False
    notes: list = attrs.field(factory=list)

    def evaluate(self):
        """Sets ``promises_held`` from the other fields."""
        broken = (
            self.doubled
            + self.cut
            + self.falsely_refused
            + self.falsely_done
            + self.overlapping_orders
            + self.stale_orders
        )
        in_force = (
            self.configuration_in_force_s is not None
            and self.configuration_in_force_s <= MAX_IN_FORCE_S
        )
        self.promises_held = (
            broken == 0
            and in_force
            and self.role_changes > 0
            and self.answered_whole > 0
        )


def summarize(deployment, fleet, outcomes, script, seconds):
    """Returns the Summary of a run.

    Args:
        deployment: Name of the deployment.
        fleet: The Fleet, whose stand-ins recorded executions and orders.
        outcomes: JobOutcomes of all clients.
        script: The Script that was run.
        seconds: Duration of the run.
    """
    engines = [server.engine for server in fleet.upstreams.values()]
    executions = fleet.journal.executions
    run_keys = {execution.key for execution in executions if execution.key}
    run_requests = {execution.request_id for execution in executions}
    started_requests = {
        job.rpartition('-')[0]
        for engine in engines
        for job in engine.started_jobs
    }
    reported_not_run = {i for o in outcomes for i in o.not_run}
    summary = Summary(deployment, jobs=len(outcomes))
    summary.answered_whole = _count(outcomes, 'whole')
    summary.refused_truthfully = _count(outcomes, 'refused')
    summary.unknown = _count(outcomes, 'unknown')
    summary.cut = _count(outcomes, 'wrong') + sum(
        engine.interrupted_answers for engine in engines
    )
    summary.doubled = len(fleet.journal.duplicate_keys())
    summary.falsely_refused = len(
        reported_not_run & (run_requests | started_requests)
    )
    summary.refused_truthfully -= min(
        summary.refused_truthfully, summary.falsely_refused
    )
    summary.falsely_done = sum(
        1
        for o in outcomes
        if o.kind == 'charge' and o.state == 'whole' and o.key not in run_keys
    )
    summary.overlapping_orders = sum(
        engine.overlapping_orders for engine in engines
    )
    summary.stale_orders = sum(engine.stale_orders for engine in engines)
    summary.lost_connections = sum(o.lost for o in outcomes)
    tokens = sum(o.tokens for o in outcomes if o.state == 'whole')
    summary.goodput_tokens_per_s = round(tokens / seconds, 1)
    summary.role_changes = sum(engine.role_changes for engine in engines)
    if script.in_force_s is not None:
        summary.configuration_in_force_s = round(script.in_force_s, 3)
    summary.seconds = round(seconds, 1)
    summary.notes = script.notes
    summary.evaluate()
    return summary


def _count(outcomes, state):
    return sum(1 for outcome in outcomes if outcome.state == state)


def _run_script(fleet, clients, script, quiet):
    started = time.monotonic()
    steps = script.steps()
    with rich.progress.Progress(
        rich.progress.TextColumn('{task.description:40}'),
        rich.progress.BarColumn(),
        rich.progress.TextColumn('{task.fields[jobs]} jobs'),
        console=rich.console.Console(stderr=True),
        disable=quiet,
    ) as progress:
        bar = progress.add_task('clients send jobs', total=RUN_S, jobs=0)
        while (elapsed_s := time.monotonic() - started) < RUN_S:
            if steps and elapsed_s >= steps[0].at_s:
                step = steps.pop(0)
                progress.update(bar, description=step.text)
                progress.console.print(f'{elapsed_s:5.1f} s  {step.text}')
                step.action()
            jobs = len(clients.outcomes())
            progress.update(bar, completed=elapsed_s, jobs=jobs)
            time.sleep(0.1)
    return started


@click.command()
@click.option(
    '--house',
    default='hire',
    show_default=True,
    type=click.Choice(sorted(DEPLOYMENTS)),
    help='Which deployment of examples/ to run.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print one JSON line.')
@click.option('--keep-logs', is_flag=True, help='Keep settings and logs.')
@click.option(
    '--timeline',
    'timeline_file',
    type=click.Path(dir_okay=False),
    help='Write the timeline of the run as an HTML page.',
)
def demo(house, as_json, keep_logs, timeline_file):
    """Run a deployment under load, changes and failures.

    Exits with 0 only if all guarantees held according to the records of
    the stand-ins and the clients.
    """
    fleet = demo_fleet.Fleet(EXAMPLES / FOLDERS[house] / 'catalog.yaml')
    names = DEPLOYMENTS[house]
    data_centres = [
        data_centre.name for data_centre in fleet.catalog.all('data_centre')
    ]
    policy = fleet.catalog.all('policy')[0].name
    clients = demo_clients.Clients(
        CLIENTS, fleet, names, data_centres, FIRST_MIX
    )
    script = Script(fleet, clients, policy)
    try:
        fleet.start()
        clients.start()
        try:
            started = _run_script(fleet, clients, script, as_json)
        finally:
            clients.stop()
        seconds = time.monotonic() - started
        if timeline_file:
            rows = script.run_statement('show events').get('rows', [])
            page = console.events_page(rows)
            pathlib.Path(timeline_file).write_text(page)
    finally:
        fleet.close()
    summary = summarize(house, fleet, clients.outcomes(), script, seconds)
    _print_summary(summary, as_json)
    if keep_logs:
        click.echo(f'settings and logs: {fleet.folder}', err=True)
    else:
        fleet.cleanup()
    sys.exit(0 if summary.promises_held else 1)


def _print_summary(summary, as_json):
    values = attrs.asdict(summary)
    if as_json:
        click.echo(json.dumps(values))
        return
    table = rich.table.Table('name', 'value', title='Summary')
    for name, value in values.items():
        table.add_row(name.replace('_', ' '), str(value))
    rich.console.Console().print(table)
