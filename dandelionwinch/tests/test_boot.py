"""Tests for the platform's settings file and the findings about it."""

import pathlib
import re
import subprocess
import sys
import tomllib

import pytest

from dandelionwinch import control
from dandelionwinch.platform import _boot
from dandelionwinch.platform import samples

SETTINGS = samples.settings()


def test_settings_are_read_and_unknown_fields_ignored():
    cfg = _boot.read(SETTINGS)
    assert (cfg.instance, cfg.data_centre) == ('edge-a-1', 'a')
    assert cfg.regions == {'a': 'north', 'b': 'south'}
    assert (cfg.retry_slack, cfg.grace_s) == (58.0, 8.0)
    assert cfg.findings == ()


@pytest.mark.parametrize(
    ('old', 'new', 'finding'),
    [
        ('graceS = 8', '', 'field "bounds.graceS" is missing'),
        ('graceS = 8', 'graceS = "x"', 'field "bounds.graceS" is not of'),
        ('graceS = 8', 'graceS = true', 'field "bounds.graceS" is not of'),
        ('[zones]', '[other]', 'field "zones" is missing'),
    ],
)
def test_bad_fields_are_findings_with_their_path(old, new, finding):
    cfg = _boot.read(SETTINGS.replace(old, new))
    assert any(item.startswith(finding) for item in cfg.findings)
    assert cfg.grace_s == 8.0


@pytest.mark.parametrize(
    ('rate', 'expected'),
    [('900', 900.0), ('0', 1.0), ('-4.5', 1.0), ('"x"', 400.0)],
)
def test_the_rates_of_the_store_are_positive(rate, expected):
    text = SETTINGS.replace('writesPerS = 400', f'writesPerS = {rate}')
    assert _boot.read(text).writes_per_s == expected


_DUTIES = """
strictRevoke = true
revokeMs = 4000
reportWindowS = 5
usageLateS = 10
[cloud]
address = "10.200.0.3:8789"
duties = ["usage_report", "autoscale", "brew"]
dutyPerS = 40.0
"""


def test_duties_are_read_and_unknown_ones_reported():
    cfg = _boot.read(
        SETTINGS.replace('ttl_max_s = 5', 'ttl_max_s = 5' + _DUTIES)
    )
    assert cfg.duty_settings == control.DutySettings(
        '10.200.0.3:8789', frozenset(control.Duty), 40.0, 5.0, 10.0
    )
    assert (cfg.strict_revoke, cfg.revoke_s) == (True, 4.0)
    assert cfg.findings == ("duty 'brew' is not known",)


@pytest.mark.parametrize(
    ('line', 'drain_s'), [('drainMs = 2500', 2.5), ('', 4.0)]
)
def test_a_drain_takes_its_time_of_the_settings(line, drain_s):
    """Streams would be moved too late, or not at all."""
    cfg = _boot.read(SETTINGS.replace('drainMs = 2500', line))
    assert (cfg.drain_s, cfg.findings) == (drain_s, ())


@pytest.mark.parametrize(
    ('line', 'contact_s', 'findings'),
    [
        ('', 4.0, 0),
        ('contactMs = 5000', 5.0, 0),
        ('contactMs = 2300', 2.3, 0),
        ('contactMs = 2200', 2.2, 1),
    ],
)
def test_a_time_to_return_that_cannot_be_kept_is_a_finding(
    line, contact_s, findings
):
    """Nothing added the waits of calls up against it (incident CONFIG)."""
    cfg = _boot.read(SETTINGS.replace('drainMs = 2500', line))
    assert cfg.contact_s == contact_s
    assert len(cfg.findings) == findings


def test_without_an_address_there_are_no_duties():
    cfg = _boot.read(SETTINGS)
    assert not cfg.duty_settings.enabled
    assert not cfg.strict_revoke


@pytest.mark.parametrize(
    ('contracts', 'expected', 'findings'),
    [
        ('contracts = ["speed", "pressure"]', True, 0),
        ('contracts = ["speed", 7]', False, 0),
        ('contracts = "pressure"', False, 1),
        ('', False, 0),
    ],
)
def test_only_the_contract_pressure_limits_held_bytes(
    contracts, expected, findings
):
    cfg = _boot.read(f'{contracts}\n{SETTINGS}')
    assert cfg.limits_held_bytes is expected
    assert len(cfg.findings) == findings


@pytest.mark.parametrize(
    'text', ['not = [toml', SETTINGS.replace('10.200.1.7:8142', '')]
)
def test_settings_without_a_store_are_refused(text):
    with pytest.raises(_boot.SettingsInvalid):
        _boot.read(text)


def test_the_data_path_imports_only_what_is_deployed():
    """The platform installs deploy/requirements.txt and nothing else."""
    root = pathlib.Path(__file__).parents[2]
    lines = (root / 'deploy' / 'requirements.txt').read_text().splitlines()
    deployed = {re.split('[=<>]', line)[0].strip() for line in lines}
    project = tomllib.loads((root / 'pyproject.toml').read_text())['project']
    others = {
        re.split('[=<>]', name)[0].strip() for name in project['dependencies']
    } - deployed
    assert {'cattrs', 'lark'} <= others
    code = (
        'import sys\n'
        f'sys.modules.update(dict.fromkeys({sorted(others)!r}))\n'
        'import dandelionwinch.platform._entry\n'
    )
    command = [sys.executable, '-c', code]
    subprocess.run(command, check=True, cwd=root)  # noqa: S603
