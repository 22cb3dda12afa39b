"""Reads the settings file that the platform gives to each process."""

import pathlib
import tomllib

from dandelionwinch import control
from dandelionwinch import errors

SETTINGS_VARIABLE = 'DANDELIONWINCH_BOOT'
# Lowest rate of store calls that is divided by.
MIN_CALLS_PER_S = 1.0
MIN_REPORT_WINDOW_S = 0.1
# Item of the list `contracts` by which the platform lets upstreams and callers
# read slowly.
PRESSURE_CONTRACT = 'pressure'
_DUTIES = {
    'usage_report': control.Duty.USAGE,
    'autoscale': control.Duty.CAPACITY,
}


class SettingsInvalid(errors.DandelionwinchError):
    """The settings file can't be used."""

    code = 'boot_settings_invalid'


class _FieldReader:
    """Reads fields of nested tables and collects findings with their paths."""

    def __init__(self, data):
        self._data = data
        self.findings = []

    def _find(self, path):
        value = self._data
        for name in path.split('.'):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def has(self, path):
        """Tells whether a field has a value."""
        return self._find(path) is not None

    def get_flag(self, path):
        """Returns a truth value; one of another type is false."""
        value = self._find(path)
        if not isinstance(value, bool):
            self.findings.append(f'field "{path}" is not of type "bool"')
        return value is True

    def get(self, path, type_, default):
        """Returns a field, or a default if it is missing or malformed."""
        value = self._find(path)
        if value is None:
            self.findings.append(f'field "{path}" is missing')
            return default
        if type_ is float and type(value) is int:
            return float(value)
        if not isinstance(value, type_) or isinstance(value, bool):
            self.findings.append(
                f'field "{path}" is not of type "{type_.__name__}"'
            )
            return default
        return value


def _first_port(ports):
    """Returns the first of the ports for traffic between instances, or 0."""
    return ports[0] if ports and type(ports[0]) is int else 0


def _read_optional(reader, path, default):
    """Returns a number that a settings file may leave out."""
    if not reader.has(path):
        return default
    return reader.get(path, float, default)


def _read_contact(reader):
    """Returns the seconds after an outage in which all is up to date."""
    contact_s = _read_optional(reader, 'bounds.contactMs', 4000.0) / 1e3
    if contact_s < control.MIN_CONTACT_S:
        reader.findings.append(
            'field "bounds.contactMs" is too short for calls to the store, '
            f'which take up to {control.MIN_CONTACT_S:.1f} s'
        )
    return contact_s


def _read_memory(reader):
    """Returns the bytes of memory that the process may use."""
    unit = control.BYTES_PER_MEGABYTE
    default_mb = control.MEMORY_BYTES / unit
    memory_mb = _read_optional(reader, 'limits.memoryMb', default_mb)
    return unit * (memory_mb if memory_mb > 0 else default_mb)


def _read_flag(reader, path):
    return reader.has(path) and reader.get_flag(path)


def _limits_held_bytes(reader):
    """Tells whether one of the contracts asks for bounds of what is held."""
    if not reader.has('contracts'):
        return False
    return PRESSURE_CONTRACT in reader.get('contracts', list, [])


def _read_duties(reader):
    """Returns the DutySettings; without a table `cloud` there are none."""
    default = control.DutySettings()
    if not reader.has('cloud.address'):
        return default
    duties = set()
    for name in reader.get('cloud.duties', list, []):
        duty = _DUTIES.get(name) if isinstance(name, str) else None
        if duty is None:
            reader.findings.append(f'duty {name!r} is not known')
        else:
            duties.add(duty)
    return control.DutySettings(
        reader.get('cloud.address', str, ''),
        frozenset(duties),
        max(
            MIN_CALLS_PER_S,
            _read_optional(reader, 'cloud.dutyPerS', default.calls_per_s),
        ),
        max(
            MIN_REPORT_WINDOW_S,
            _read_optional(
                reader, 'bounds.reportWindowS', default.report_window_s
            ),
        ),
        _read_optional(reader, 'bounds.usageLateS', default.usage_late_s),
    )


def read(text):
    """Parses a settings file.

    Args:
        text: Text of the file.

    Returns:
        InstanceConfig, with findings for the fields that got defaults.

    Raises:
        SettingsInvalid: If it is not TOML, or has no address of the store or
            no name of the instance.
    """
    try:
        reader = _FieldReader(tomllib.loads(text))
    except tomllib.TOMLDecodeError as exc:
        raise SettingsInvalid(f'the file is not TOML: {exc}') from exc
    get = reader.get
    cfg = control.InstanceConfig(
        get('nodeName', str, ''),
        get('ip', str, '127.0.0.1'),
        get('zone', str, ''),
        {
            name: region
            for name, region in get('zones', dict, {}).items()
            if isinstance(region, str)
        },
        get('listen.frontend', str, ''),
        get('listen.readiness', str, ''),
        get('listen.directory', str, ''),
        get('platform.address', str, ''),
        _first_port(get('internalPorts', list, [])),
        get('limits.cpuShare', float, 1.0) * get('limits.cores', float, 1.0),
        get('limits.linkMbps', float, 1000.0),
        get('bounds.graceS', float, 8.0),
        get('bounds.retryBudgetRatio', float, 0.2),
        get('bounds.retrySlack', float, 0.0),
        get('bounds.budgetWindowS', float, 10.0),
        get('platform.minTtlMs', float, 1000.0) / 1e3,
        get('bounds.leaseMs', float, 3000.0) / 1e3,
        get('bounds.ttl_max_s', float, 5.0),
        max(
            MIN_CALLS_PER_S,
            get('platform.writesPerS', float, control.WRITES_PER_S),
        ),
        max(
            MIN_CALLS_PER_S,
            get('platform.readsPerS', float, control.READS_PER_S),
        ),
        _read_memory(reader),
        _read_flag(reader, 'bounds.strictRevoke'),
        _read_optional(reader, 'bounds.revokeMs', 5000.0) / 1e3,
        _read_duties(reader),
        _limits_held_bytes(reader),
        _read_optional(reader, 'bounds.drainMs', 4000.0) / 1e3,
        _read_contact(reader),
        tuple(reader.findings),
    )
    if not cfg.store or not cfg.instance:
        raise SettingsInvalid(
            'the settings have no field "platform.address" or "nodeName"'
        )
    return cfg


def load(path):
    """Reads the settings file at a path."""
    return read(pathlib.Path(path).read_text())
