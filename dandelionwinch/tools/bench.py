"""Benchmarks, most of them seeded, with a table or JSON as output."""

import json
import pathlib
import sys

import attrs
import click
import rich.console
import rich.table

from dandelionwinch.bench import _call_orders
from dandelionwinch.bench import _calls
from dandelionwinch.bench import _capacity
from dandelionwinch.bench import _claims
from dandelionwinch.bench import _control
from dandelionwinch.bench import _events
from dandelionwinch.bench import _herding
from dandelionwinch.bench import _placement
from dandelionwinch.bench import _plot
from dandelionwinch.bench import _policies
from dandelionwinch.bench import _relay
from dandelionwinch.bench import _scaling
from dandelionwinch.bench import _simulation
from dandelionwinch.bench import _takeover
from dandelionwinch.bench import _trace
from dandelionwinch.bench import overload as overload_package
from dandelionwinch import errors
from dandelionwinch import search as search_package
from dandelionwinch import utils

TRACES = pathlib.Path(_trace.__file__).parent / 'traces'
LOADS = pathlib.Path(overload_package.__file__).parent / 'loads'
FINDINGS_EXIT_CODE = 2


@click.group()
def bench():
    """Run benchmarks of the decisions and the daemons on this machine."""


def _common_options(function):
    function = click.option(
        '--json', 'as_json', is_flag=True, help='Print JSON lines.'
    )(function)
    return click.option('--seed', default=1, show_default=True)(function)


def _print_rows(rows, as_json):
    if as_json:
        for row in rows:
            click.echo(json.dumps(row))
        return
    if not rows:
        return
    table = rich.table.Table(*rows[0])
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    console = rich.console.Console()
    if not console.is_terminal:
        console = rich.console.Console(width=200)
    console.print(table)


def _trace_path(name, folder=TRACES):
    path = pathlib.Path(name)
    return path if path.suffix else folder / f'{name}.yaml'


@bench.command()
@click.option(
    '--trace',
    'trace_name',
    required=True,
    help='A trace file, or the name of a shipped trace.',
)
@click.option(
    '--policy',
    default='all',
    show_default=True,
    type=click.Choice(['all', *_policies.POLICIES]),
)
@click.option(
    '--plot',
    type=click.Path(dir_okay=False),
    help='Write a plot to this file.',
)
@_common_options
def mix(trace_name, policy, plot, seed, as_json):
    """Simulate placement and role policies on a trace in virtual time."""
    path = _trace_path(trace_name)
    try:
        trace = _trace.read_trace(path)
    except errors.SettingsInvalid as exc:
        _exit_with_findings(exc)
    names = list(_policies.POLICIES) if policy == 'all' else [policy]
    results = []
    for name in names:
        result = _simulation.simulate(trace, path.stem, name, seed)
        results.append(result)
        if as_json:
            _print_rows([_row(result)], True)
    if not as_json:
        _print_rows([_row(result) for result in results], False)
    if plot:
        _plot.draw(trace, results, plot)


@bench.command()
@click.option('--json', 'as_json', is_flag=True, help='Print JSON lines.')
def events(as_json):
    """Measure the cost of an event log line, including its write."""
    _print_rows([_events.measure()], as_json)


@bench.command()
@click.option(
    '--load',
    'load_name',
    default='overload',
    show_default=True,
    help='A load file, or the name of a shipped load.',
)
@click.option(
    '--policy',
    default='all',
    show_default=True,
    type=click.Choice(['all', *overload_package.POLICIES]),
)
@click.option(
    '--instances',
    type=click.IntRange(min=1),
    help='Resize the load to this number of instances.',
)
@_common_options
def overload(load_name, policy, instances, seed, as_json):
    """Simulate an overloaded day of model engines in virtual time."""
    try:
        load = overload_package.read_load(_trace_path(load_name, LOADS))
    except errors.SettingsInvalid as exc:
        _exit_with_findings(exc)
    if instances is not None:
        load = load.resized(instances)
    names = overload_package.POLICIES if policy == 'all' else [policy]
    results = [overload_package.simulate(load, name, seed) for name in names]
    _print_rows(_overload_rows(results, load, as_json), as_json)


def _overload_rows(results, load, as_json):
    """Returns a row for each Result; the first one is of today's decision."""
    rows = []
    for result in results:
        row = attrs.asdict(result)
        kinds = row.pop('kinds')
        row['windows'] = ' '.join(str(share) for share in row['windows'])
        if load.regions and results[0].policy == overload_package.POLICIES[0]:
            row['net'] = overload_package.net_credit(result, results[0])
        if as_json:
            row['kinds'] = kinds
        rows.append(row)
    return rows


def _exit_with_findings(exc):
    for finding in exc.findings:
        click.echo(str(finding), err=True)
    sys.exit(FINDINGS_EXIT_CODE)


def _row(result):
    row = attrs.asdict(result)
    del row['samples']
    return row


@bench.command()
@_common_options
def herding(seed, as_json):
    """Compare the longest queue when 1, 9 and 60 instances place jobs."""
    _print_rows(_herding.measure(seed), as_json)


@bench.command()
@_common_options
def placement(seed, as_json):
    """Measure the cost of a placement by the number of upstreams."""
    _print_rows(_placement.measure(seed), as_json)


@bench.command()
@_common_options
def control(seed, as_json):
    """Measure heartbeats, gossip and store calls by instance count."""
    _print_rows(_control.measure(seed), as_json)


@bench.command()
@_common_options
def takeover(seed, as_json):
    """Measure how long a shard is without a holder."""
    _print_rows(_takeover.measure(seed), as_json)


@bench.command()
@_common_options
def claims(seed, as_json):
    """Compare batched claims with one write for each claim."""
    _print_rows(_claims.measure(seed), as_json)


@bench.command()
@click.option('--seconds', default=3.0, show_default=True)
@_common_options
def relay(seconds, seed, as_json):
    """Compare streams through an instance with direct streams."""
    _print_rows(_relay.measure(seconds, seed), as_json)


@bench.command()
@_common_options
def capacity(seed, as_json):
    """Measure the costs again and print the table of docs/CAPACITY.md."""
    _print_rows(_capacity.measure(seed), as_json)


@bench.command()
@_common_options
def scaling(seed, as_json):
    """Compare ordered capacity with the fleet of the start and an oracle."""
    _print_rows(_scaling.measure(seed), as_json)


@bench.command()
@click.option(
    '--matter',
    default='all',
    type=click.Choice(['all', *search_package.SEARCHES]),
)
@click.option('--seeds', default=20, show_default=True)
@_common_options
def search(matter, seeds, seed, as_json):
    """Search seeds for violated invariants; exit with 1 if one is found."""
    searches = search_package.SEARCHES
    names = list(searches) if matter == 'all' else [matter]
    rows = [_run_search(name, seed, seeds) for name in names]
    _print_rows(rows, as_json)
    sys.exit(1 if any(row['broken'] for row in rows) else 0)


@bench.command('calls')
@click.option('--instances', default=58, show_default=True)
@click.option('--seeds', default=1, show_default=True)
@click.option('--loss', default=0.0, help='Part of the datagrams lost.')
@click.option('--leaving', default='', help='Team whose callers give up.')
@click.option(
    '--queue',
    default=12,
    show_default=True,
    help="Calls in upstreams' queues.",
)
@_common_options
def calls(instances, seeds, loss, leaving, queue, seed, as_json):
    """Serve calls of teams at 1.9 times the capacity, in virtual time.

    Prints the part of the calls of all teams, of small teams and of each
    large one that was in time, for each way of limiting large teams.
    """
    rows = [
        _calls.measure(
            policy,
            instances,
            number,
            retrying='' if leaving else 'l0',
            leaving=leaving,
            loss=loss,
            upstream_queue=queue,
        )
        for number in range(seed, seed + seeds)
        for policy in _call_orders.POLICIES
    ]
    _print_rows(rows, as_json)


@bench.command('in-force')
@click.option('--seeds', default=10, show_default=True)
@_common_options
def in_force(seeds, seed, as_json):
    """Measure, in virtual time, how soon a change is in force.

    Prints the seconds from the commit until no instance that admits work
    holds an older revision, under loss, partitions, outages and pauses.
    """
    times = []
    for number in range(seed, seed + seeds):
        times.extend(search_package.in_force_times(number))
    row = {
        'first_seed': seed,
        'seeds': seeds,
        'changes': len(times),
        'median_s': round(utils.percentile(times, 0.5), 2),
        'p95_s': round(utils.percentile(times, 0.95), 2),
        'longest_s': round(max(times), 2),
    }
    _print_rows([row], as_json)


def _run_search(name, first, count):
    faults = 0
    broken = []
    for seed in range(first, first + count):
        try:
            faults += search_package.SEARCHES[name](seed).total()
        except search_package.InvariantViolated as exc:
            broken.append(f'seed {seed}: {exc}')
    return {
        'matter': name,
        'first_seed': first,
        'seeds': count,
        'faults': faults,
        'broken': broken,
    }
