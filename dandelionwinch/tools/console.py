"""Sends statements to an operator listener and prints the answers."""

import datetime
import html
import json

import click
import rich.console
import rich.table
import urllib3

from dandelionwinch import errors

STATEMENT_TIMEOUT_S = 30.0


class OperatorClient:
    """A client of one instance's operator listener.

    Args:
        address: Address of the listener, as host:port.
        token: Bearer token of the operators, '' for none.
        authority_file: Certificate authority that enables TLS, or None.
    """

    def __init__(self, address, token='', authority_file=None):
        self._address = address
        self._token = token
        scheme = 'https' if authority_file else 'http'
        self._url = f'{scheme}://{address}/v1/ask'
        self._pool = urllib3.PoolManager(
            retries=False, ca_certs=authority_file
        )

    def run_statement(self, statement):
        """Sends a statement and returns the parsed answer.

        Raises:
            Unready: If the listener did not respond with JSON.
            DandelionwinchError: If the answer is an error; has its code.
        """
        headers = {}
        if self._token:
            headers['Authorization'] = f'Bearer {self._token}'
        try:
            reply = self._pool.request(
                'POST',
                self._url,
                body=statement.encode(),
                headers=headers,
                timeout=STATEMENT_TIMEOUT_S,
            )
            answer = reply.json()
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            raise errors.Unready(
                f'operator listener "{self._address}" gave no answer: {exc}'
            ) from exc
        if 'error' in answer:
            raise _to_exception(answer['error'])
        return answer


def _to_exception(error):
    exc = errors.DandelionwinchError(error.get('message', 'no message'))
    exc.code = error.get('code', 'internal')
    return exc


def print_answer(answer, as_json):
    """Prints an answer as JSON or as a table."""
    if as_json:
        click.echo(json.dumps(answer))
        return
    if 'rows' not in answer:
        for name, value in answer.items():
            click.echo(f'{name}: {value}')
        return
    console = rich.console.Console()
    if not console.is_terminal:
        console = rich.console.Console(width=200)
    table = rich.table.Table(box=None, pad_edge=False)
    for column in answer['columns']:
        table.add_column(column, overflow='fold')
    for row in answer['rows']:
        table.add_row(
            *(_format_cell(c, row.get(c)) for c in answer['columns'])
        )
    console.print(table)
    click.echo(f'{len(answer["rows"])} rows')
    if answer.get('silent_instances'):
        names = ', '.join(answer['silent_instances'])
        click.echo(f'no answer from: {names}')


def _format_cell(column, value):
    if column == 'time' and isinstance(value, float):
        utc = datetime.datetime.fromtimestamp(value, datetime.UTC)
        return utc.strftime('%H:%M:%S.%f')
    if value is None:
        return '-'
    if isinstance(value, list):
        return '\n'.join(str(item) for item in value)
    return str(value)


def filter_events(rows, subject, instance):
    """Returns the events of a subject and an instance.

    Gaps are kept, as a matching event may be among the missing ones.

    Args:
        rows: Rows of an answer to ``show events``.
        subject: Text that the subject must contain.
        instance: Text that the name of the instance must contain.
    """
    return [
        row
        for row in rows
        if row['kind'] == 'gap'
        or (subject in row['subject'] and instance in row['instance'])
    ]


_PAGE = """<!doctype html>
<meta charset="utf-8"><title>Timeline</title>
<style>
body {{ font: 14px sans-serif; }}
td {{ padding: 1px 8px; border-bottom: 1px solid #ddd; }}
.gap td {{ background: #fdd; }}
</style>
<h1>Timeline</h1>
<table><tr>{heads}</tr>
{rows}
</table>
"""


def events_page(rows):
    """Returns an HTML page of events, with a column for each instance."""
    names = sorted({row['instance'] for row in rows})
    heads = ''.join(
        f'<th>{html.escape(name)}</th>' for name in ('time', *names)
    )
    lines = []
    for row in rows:
        text = f'{row["kind"]} {row["subject"]} {row["detail"]}'
        cells = ''.join(
            f'<td>{html.escape(text) if name == row["instance"] else ""}</td>'
            for name in names
        )
        css_class = ' class="gap"' if row['kind'] == 'gap' else ''
        time_text = _format_cell('time', row['time'])
        lines.append(f'<tr{css_class}><td>{time_text}</td>{cells}</tr>')
    return _PAGE.format(heads=heads, rows='\n'.join(lines))
