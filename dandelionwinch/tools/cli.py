"""The commands of the command line."""

import json
import pathlib
import signal
import sys
import threading

import attrs
import click
import loguru

import dandelionwinch
from dandelionwinch import entry
from dandelionwinch import errors
from dandelionwinch import log
from dandelionwinch import platform
from dandelionwinch import readers
from dandelionwinch import settings
from dandelionwinch import soak
from dandelionwinch.standins import livelist
from dandelionwinch.standins import service
from dandelionwinch.standins import store
from dandelionwinch.standins import upstream
from dandelionwinch.tools import bench
from dandelionwinch.tools import capacity
from dandelionwinch.tools import console
from dandelionwinch.tools import demo
from dandelionwinch.tools import duties
from dandelionwinch.tools import explain
from dandelionwinch.tools import holds
from dandelionwinch.tools import shares
from dandelionwinch.tools import usage

FINDINGS_EXIT_CODE = 2
NO_USAGE = 'the settings name no reports of usage'
DEFAULT_OPERATOR_ADDRESS = '127.0.0.1:8082'

logger = loguru.logger


@click.group()
@click.version_option(dandelionwinch.__version__)
def main():
    """A serving system for a fixed fleet of model engines."""


def _exit_with_error(exc):
    click.echo(f'error: {exc.code}: {exc.message}', err=True)
    sys.exit(FINDINGS_EXIT_CODE)


def _fetch_page(fetch, address, absent):
    """Returns what a page of an instance holds; exits if there is none.

    Args:
        fetch: Function of an address that returns it, or None.
        address: Address of the instance's metrics server.
        absent: What to tell if there is none.
    """
    try:
        found = fetch(address)
    except errors.DandelionwinchError as exc:
        _exit_with_error(exc)
    if found is None:
        click.echo(f'error: {absent}', err=True)
        sys.exit(1)
    return found


def _report_settings(cfg, path):
    """Logs what a changed settings file would bring at the next start."""
    try:
        changed = readers.read_entry(path) != cfg
    except errors.SettingsInvalid as exc:
        logger.warning('the settings file cannot be used: {}', exc)
        return
    if changed:
        logger.warning('the settings file changed: restart to apply it')
    else:
        logger.info('the settings file has the settings in force')


def _wait_for_signal():
    stop_requested = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_args: stop_requested.set())
    stop_requested.wait()


@main.command('entry')
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(dir_okay=False),
    help='YAML file with the settings of this instance.',
)
def run_entry(path):
    """Run an entry instance until SIGINT or SIGTERM.

    Both signals start a graceful stop: jobs in flight are completed.
    SIGHUP checks the settings file and logs whether a restart would change
    anything; it applies nothing.
    """
    try:
        cfg = readers.read_entry(path)
    except errors.SettingsInvalid as exc:
        _exit_with_error(exc)
    log.init(cfg.instance.name, cfg.log.level, cfg.log.json)
    daemon = entry.Entry(cfg)
    try:
        daemon.start()
    except (errors.DandelionwinchError, OSError) as exc:
        click.echo(f'error: cannot start: {exc}', err=True)
        sys.exit(1)
    signal.signal(signal.SIGHUP, lambda *_args: _report_settings(cfg, path))
    _wait_for_signal()
    daemon.stop()


@main.command('soak')
@click.option('--seed', default=1, show_default=True)
@click.option('--for', 'for_s', default=20.0, show_default=True)
@click.option('--instances', default=6, show_default=True)
@click.option('--callers', default=12, show_default=True)
@click.option('--folder', type=click.Path(file_okay=False))
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def run_soak(seed, for_s, instances, callers, folder, as_json):
    """Run real instances under injected faults and check the results."""
    if folder:
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    result = soak.run(seed, for_s, instances, callers, folder)
    data = attrs.asdict(result)
    if as_json:
        click.echo(json.dumps(data))
    else:
        for name, value in data.items():
            click.echo(f'{name}: {value}')
    sys.exit(1 if result.broken else 0)


@main.command('explain')
@click.argument('request_id')
@click.argument('logs', nargs=-1, required=True, type=click.File())
def explain_request(request_id, logs):
    """Explain one request, given its id, from the LOGS of instances."""
    lines = (text for log_file in logs for text in log_file)
    events = explain.explain(request_id, lines)
    if not events:
        click.echo(f'error: request "{request_id}" is in no log', err=True)
        sys.exit(1)
    for event in events:
        click.echo(explain.format_event(event))


@main.command('holds')
@click.argument('address', metavar='IP:PORT')
@click.option('--lift', 'subject', help='Lift the hold of this subject.')
def show_holds(address, subject):
    """Show what is held, parts of prompts and calls, or lift a hold.

    IP:PORT is the metrics server of an instance, which tells the others of
    a lifted hold. Exits with 1 if the subject is not held there.
    """
    try:
        if subject is None:
            for hold in holds.fetch(address):
                click.echo(holds.format_hold(hold))
            return
        lifted = holds.lift(address, subject)
    except errors.DandelionwinchError as exc:
        _exit_with_error(exc)
    if not lifted:
        click.echo(f'error: subject "{subject}" is not held', err=True)
        sys.exit(1)
    click.echo(f'lifted the hold of subject "{subject}"')


@main.command('capacity')
@click.argument('address', metavar='IP:PORT')
def show_capacity(address):
    """Show which capacity is needed, planned and ordered, and why.

    IP:PORT is the metrics server of the instance that holds the order
    lease; any other one tells its name, and the exit code is 1.
    """
    holder, plans = _fetch_page(
        capacity.fetch, address, 'the settings name no orders of capacity'
    )
    for plan in plans:
        for line in capacity.format_plan(plan):
            click.echo(line)
    if not plans:
        click.echo(f'error: the plan is at holder "{holder}"', err=True)
        sys.exit(1)


@main.command('duties')
@click.argument('address', metavar='IP:PORT')
def show_duties(address):
    """Show the holder of the duties, and what an instance knows of them.

    IP:PORT is the metrics server of an instance. Exits with 1 if its
    settings name no duty.
    """
    found = _fetch_page(duties.fetch, address, 'the settings name no duty')
    for line in duties.format_lines(found):
        click.echo(line)


@main.command('shares')
@click.argument('address', metavar='IP:PORT')
def show_shares(address):
    """Show which teams are above their share of a service, and its capacity.

    IP:PORT is the metrics server of an instance; the holder of the duties
    shows what it found, any other one what it received. Exits with 1 if its
    settings name no reports of usage.
    """
    found = _fetch_page(shares.fetch, address, NO_USAGE)
    for line in shares.format_lines(found):
        click.echo(line)


@main.command('usage')
@click.argument('address', metavar='IP:PORT')
def show_usage(address):
    """Show the usage of teams in the last windows.

    IP:PORT is the metrics server of an instance. Exits with 1 if its settings
    name no reports of usage.
    """
    windows = _fetch_page(usage.fetch, address, NO_USAGE)
    for window in windows:
        for line in usage.format_lines(window):
            click.echo(line)


@main.command('check-boot')
@click.argument('path', type=click.Path(dir_okay=False))
def check_boot(path):
    """Check a settings file of the users' platform."""
    try:
        findings = platform.load_settings(path).findings
    except (OSError, errors.DandelionwinchError) as exc:
        click.echo(f'error: {path}: {exc}', err=True)
        sys.exit(FINDINGS_EXIT_CODE)
    _print_findings(path, findings)


@main.command('check-deploy')
@click.argument('path', type=click.Path(dir_okay=False))
def check_deploy(path):
    """Check a deploy file of the users' platform."""
    _print_findings(path, platform.check_deploy(path))


def _print_findings(path, findings):
    for finding in findings:
        click.echo(f'{path}: {finding}')
    sys.exit(FINDINGS_EXIT_CODE if findings else 0)


@main.command('check-settings')
@click.argument('path', type=click.Path(dir_okay=False))
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def check_settings(path, as_json):
    """Check an instance's settings or a catalog and report all findings.

    A file with the key "instance" is read as an instance's settings, any
    other file as a catalog. Exits with 2 if there are findings.
    """
    findings = _check_file(path)
    if as_json:
        lines = [
            {'file': f.file, 'line': f.line, 'path': f.path, 'text': f.message}
            for f in findings
        ]
        click.echo(json.dumps({'findings': lines}))
    else:
        for finding in findings:
            click.echo(str(finding))
        if not findings:
            click.echo(f'{path}: no findings')
    sys.exit(FINDINGS_EXIT_CODE if findings else 0)


def _check_file(path):
    try:
        document = readers.read_yaml(path)
        value = document.value
        if not isinstance(value, dict) or 'instance' not in value:
            readers.read_catalog(path)
            return ()
        cfg = readers.read_entry(path)
        if cfg.catalog_file:
            readers.read_catalog(cfg.catalog_file)
    except errors.SettingsInvalid as exc:
        return exc.findings
    return ()


@main.command()
@click.argument('statement')
@click.option(
    '--operator',
    default=DEFAULT_OPERATOR_ADDRESS,
    show_default=True,
    help="Address of an instance's operator listener.",
)
@click.option(
    '--token-file',
    type=click.Path(exists=True, dir_okay=False),
    help="File with the operators' bearer token.",
)
@click.option(
    '--authority-file',
    type=click.Path(exists=True, dir_okay=False),
    help='Certificate authority; enables TLS.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def ask(statement, operator, token_file, authority_file, as_json):
    """Send one statement of the operators' language.

    Examples: "show upstreams where data centre = 'Nanyuki'",
    "drain upstream lm-1 if revision 4", "explain job ID".
    """
    client = console.OperatorClient(
        operator, _read_token(token_file), authority_file
    )
    try:
        answer = client.run_statement(statement)
    except errors.DandelionwinchError as exc:
        if as_json:
            click.echo(json.dumps({'error': exc.code, 'text': exc.message}))
        _exit_with_error(exc)
    console.print_answer(answer, as_json)


def _read_token(path):
    return pathlib.Path(path).read_text().strip() if path else ''


@main.command()
@click.option(
    '--operator', default=DEFAULT_OPERATOR_ADDRESS, show_default=True
)
@click.option('--token-file', type=click.Path(exists=True, dir_okay=False))
@click.option('--authority-file', type=click.Path(exists=True, dir_okay=False))
@click.option(
    '--log',
    'logs',
    multiple=True,
    type=click.File(),
    help="An instance's log, read instead of an operator listener.",
)
@click.option(
    '--subject', default='', help='Only this job, upstream or order.'
)
@click.option('--instance', default='', help='Only this instance.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
@click.option(
    '--html', type=click.Path(dir_okay=False), help='Write an HTML page.'
)
def timeline(
    operator,
    token_file,
    authority_file,
    logs,
    subject,
    instance,
    as_json,
    html,
):
    """Merge the events of all live instances in causal order.

    Events of logs are merged in order of the instances' wall clocks.
    """
    if logs:
        answer = explain.as_timeline(text for log in logs for text in log)
    else:
        client = console.OperatorClient(
            operator, _read_token(token_file), authority_file
        )
        try:
            answer = client.run_statement('show events')
        except errors.DandelionwinchError as exc:
            _exit_with_error(exc)
    rows = console.filter_events(answer['rows'], subject, instance)
    answer['rows'] = rows
    if html:
        pathlib.Path(html).write_text(console.events_page(rows))
        click.echo(f'wrote {len(rows)} events to {html}')
        return
    console.print_answer(answer, as_json)


@main.group('stand-in')
def stand_in():
    """Start a stand-in of an external system for manual tests."""


def _listen_option(function):
    return click.option(
        '--listen',
        default='127.0.0.1:0',
        show_default=True,
        help='IP address and port; port 0 selects a free port.',
    )(function)


def _serve(server, kind):
    server.start()
    click.echo(f'{kind} listens on {server.address}')
    _wait_for_signal()
    server.close()


@stand_in.command('store')
@_listen_option
def stand_in_store(listen):
    """Start a stand-in of the platform's key-value service."""
    _serve(store.StoreServer(listen), 'store')


@stand_in.command('live-list')
@_listen_option
@click.option(
    '--entry',
    'paths',
    multiple=True,
    type=click.Path(exists=True, dir_okay=False),
    help='Settings of an instance to list; can be repeated.',
)
def stand_in_live_list(listen, paths):
    """Start a stand-in of the platform's list of instances."""
    server = livelist.LiveListServer(listen)
    try:
        for path in paths:
            server.add(readers.read_entry(path).instance)
    except errors.SettingsInvalid as exc:
        _exit_with_error(exc)
    _serve(server, 'live list')


@stand_in.command('upstream')
@_listen_option
@click.option('--model', default='counter-lm', show_default=True)
@click.option(
    '--role',
    default='mixed',
    show_default=True,
    type=click.Choice(['prefill', 'decode', 'mixed']),
)
@click.option('--ignores-fencing', is_flag=True)
@click.option('--decode-tokens-per-s', default=500.0, show_default=True)
def stand_in_upstream(
    listen, model, role, ignores_fencing, decode_tokens_per_s
):
    """Start a stand-in of a model engine."""
    cfg = settings.Upstream(
        name='stand-in',
        pool='stand-in',
        address='127.0.0.1:1',
        role=settings.Role(role),
        checks_fencing=not ignores_fencing,
        decode_tokens_per_s=decode_tokens_per_s,
    )
    _serve(upstream.UpstreamServer(cfg, model, listen), 'upstream')


@stand_in.command('service')
@_listen_option
@click.option('--name', default='deposits', show_default=True)
def stand_in_service(listen, name):
    """Start a stand-in of a plain service."""
    server = service.ServiceServer(name, service.Journal(), listen)
    _serve(server, 'service')


main.add_command(demo.demo)
main.add_command(bench.bench)
