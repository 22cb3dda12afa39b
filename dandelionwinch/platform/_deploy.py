"""Checks the file that deploys dandelionwinch on the platform."""

import pathlib
import tomllib

TOP_LEVEL_TYPES = {'build': str, 'packages': list, 'roles': dict}
ROLE_TYPES = {
    'run': str,
    'on': str,
    'share': (int, float),
    'count': int,
    'apart': bool,
    'serves': list,
    'metrics': str,
    'template': str,
    'env': dict,
}
SERVABLE = ('edge', 'control_plane', 'registry')
FORBIDDEN_PROGRAMS = ('env', 'npx', 'sh', 'bash')
MAX_ROLES = 2


def check(path):
    """Returns the findings about a deploy file, each with its field."""
    try:
        data = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, tomllib.TOMLDecodeError) as exc:
        return [f'the file cannot be read: {exc}']
    findings = list(_check_fields(data, TOP_LEVEL_TYPES, ''))
    if 'build' not in data:
        findings.append('field "build" is missing')
    roles = data.get('roles')
    roles = roles if isinstance(roles, dict) else {}
    for name, role in roles.items():
        findings += _check_role(role, f'roles.{name}')
    served = [
        item
        for role in roles.values()
        if isinstance(role, dict)
        for item in role.get('serves', ())
    ]
    if 'registry' not in served:
        findings.append('no role serves "registry"')
    if len(roles) > MAX_ROLES:
        findings.append(f'more than {MAX_ROLES} roles')
    findings += [
        f'more than one role serves "{item}"'
        for item in SERVABLE
        if served.count(item) > 1
    ]
    return findings


def _check_role(role, role_path):
    if not isinstance(role, dict):
        yield f'field "{role_path}" is not a table'
        return
    yield from _check_fields(role, ROLE_TYPES, f'{role_path}.')
    for name in ('run', 'on'):
        if name not in role:
            yield f'field "{role_path}.{name}" is missing'
    if ('share' in role) == ('count' in role):
        yield f'field "{role_path}" needs either "share" or "count"'
    share = role.get('share', 1)
    if isinstance(share, (int, float)) and not 0 < share <= 1:
        yield f'field "{role_path}.share" is {share}, not in 0 to 1'
    program = str(role.get('run', '')).split(' ')[0]
    if program in FORBIDDEN_PROGRAMS:
        yield f'field "{role_path}.run" starts a helper, "{program}"'
    for item in role.get('serves', ()):
        if item not in SERVABLE:
            yield f'field "{role_path}.serves" has "{item}"'
    port, _, page = str(role.get('metrics', '1/x')).partition('/')
    if not port.isdigit() or not page:
        yield f'field "{role_path}.metrics" is not PORT/PATH'


def _check_fields(data, types, prefix):
    for name, value in data.items():
        type_ = types.get(name)
        if type_ is None:
            yield f'field "{prefix}{name}" is not known'
        elif not isinstance(value, type_):
            yield f'field "{prefix}{name}" is of another type'
