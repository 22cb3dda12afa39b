"""Reads YAML settings files and reports every finding with its line."""

import functools
import operator
import pathlib
import typing

import attrs
import cattrs
from cattrs import errors as cattrs_errors
import yaml

from dandelionwinch import catalog
from dandelionwinch import errors
from dandelionwinch import settings


def _exact_type_hook(kind):
    """Returns a structure hook that rejects values of another type.

    An int is accepted as a float, but a bool is not accepted as an int.
    """

    def hook(value, _type):
        fits = isinstance(value, kind)
        if isinstance(value, bool) and kind is not bool:
            fits = False
        if kind is float and type(value) is int:
            return float(value)
        if not fits:
            raise TypeError(f'{value!r} is not of type {kind.__name__}')
        return value

    return hook


def _converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, int, float, bool):
        # By identity: a string enumeration is a subclass of str, but must
        # not be read as a plain string.
        converter.register_structure_hook_func(
            functools.partial(operator.is_, kind), _exact_type_hook(kind)
        )
    return converter


CONVERTER = _converter()


def _describe(exc, _type):
    """Returns the message of a finding for a structuring error."""
    match exc:
        case cattrs_errors.ForbiddenExtraKeysError():
            names = ', '.join(sorted(str(name) for name in exc.extra_fields))
            return f'unknown key: {names}'
        case KeyError():
            return f'required key {exc} is missing'
        case _:
            return str(exc) or type(exc).__name__


def structure(raw, kind, file, lines=None):
    """Structures plain values into an instance of an attrs class.

    Args:
        raw: Mapping as read from YAML or JSON.
        kind: The attrs class.
        file: File name for the findings.
        lines: Line numbers by path, or None if the source has none.

    Returns:
        An instance of the class.

    Raises:
        SettingsInvalid: With all findings.
    """
    if not isinstance(raw, dict):
        finding = errors.Finding(file, 1, '$', 'a mapping is expected')
        raise errors.SettingsInvalid([finding])
    try:
        return CONVERTER.structure(raw, kind)
    except cattrs_errors.ClassValidationError as exc:
        found = dict(_validation_errors(raw, kind, '$'))
        for text in cattrs.transform_error(exc, format_exception=_describe):
            message, _, path = text.rpartition(' @ ')
            # The error of a validator is reported for the object, too.
            if message not in found.values():
                found.setdefault(path, message)
        findings = [
            errors.Finding(file, _line_of(path, lines or {}), path, message)
            for path, message in found.items()
        ]
        raise errors.SettingsInvalid(findings) from exc


def _validation_errors(raw, kind, path):
    """Yields the path and the message of each value that is invalid.

    Needed since the class itself stops at the first failed validator.
    """
    if not isinstance(raw, dict) or not attrs.has(kind):
        return
    for field in attrs.fields(attrs.resolve_types(kind)):
        if field.name not in raw:
            continue
        value, inner_path = raw[field.name], f'{path}.{field.name}'
        inner = typing.get_args(field.type)
        if isinstance(value, list) and inner:
            for index, item in enumerate(value):
                yield from _validation_errors(
                    item, inner[0], f'{inner_path}[{index}]'
                )
        yield from _validation_errors(value, field.type, inner_path)
        if field.validator is None or attrs.has(field.type):
            continue
        try:
            field.validator(None, field, value)
        except ValueError as exc:
            yield inner_path, str(exc.args[0])
        except (TypeError, AttributeError):
            # A wrong type is reported by the structuring itself.
            continue


def _line_of(path, lines):
    """Returns the line of a path or of its nearest parent, else 0."""
    while path and path not in lines:
        cut = max(path.rfind('.'), path.rfind('['))
        if cut <= 0:
            break
        path = path[:cut]
    return lines.get(path, 0)


class _Document:
    """A parsed YAML file with the line number of each path."""

    __slots__ = ('file', 'findings', 'lines', 'value')

    def __init__(self, file, text):
        self.file = file
        self.lines = {}
        self.findings = []
        try:
            node = yaml.compose(text, Loader=yaml.SafeLoader)
            self._walk(node, '$')
            self.value = yaml.safe_load(text)
        except yaml.YAMLError as exc:
            mark = getattr(exc, 'problem_mark', None)
            line = mark.line + 1 if mark else 0
            problem = getattr(exc, 'problem', None) or str(exc)
            self._add_finding(line, '$', f'not valid YAML: {problem}')
        if self.findings:
            raise errors.SettingsInvalid(self.findings)

    def _add_finding(self, line, path, message):
        finding = errors.Finding(self.file, line, path, message)
        self.findings.append(finding)

    def _walk(self, node, path):
        if node is None:
            return
        self.lines[path] = node.start_mark.line + 1
        match node:
            case yaml.MappingNode():
                self._walk_mapping(node, path)
            case yaml.SequenceNode():
                for index, item in enumerate(node.value):
                    self._walk(item, f'{path}[{index}]')

    def _walk_mapping(self, node, path):
        seen = set()
        for key, value in node.value:
            line = key.start_mark.line + 1
            inner = f'{path}.{key.value}'
            if key.value in seen:
                self._add_finding(
                    line, inner, f'key "{key.value}" stands twice'
                )
            seen.add(key.value)
            self._walk(value, inner)
            self.lines[inner] = line


def read_yaml(path):
    """Parses a YAML file.

    Raises:
        SettingsInvalid: If it cannot be read or is not valid YAML.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        finding = errors.Finding(str(path), 0, '$', f'cannot read: {exc}')
        raise errors.SettingsInvalid([finding]) from exc
    return _Document(str(path), text)


def read_entry(path):
    """Reads the settings file of one entry instance.

    Raises:
        SettingsInvalid: With all findings.
    """
    document = read_yaml(path)
    return structure(
        document.value, settings.EntrySettings, document.file, document.lines
    )


def read_catalog(path):
    """Reads a catalog file and checks it.

    The file holds one list for each kind of document, under the plural of
    its name: ``upstreams``, ``pools``, ``policies`` and so on.

    Returns:
        The catalog.

    Raises:
        SettingsInvalid: With all findings of the file.
    """
    document = read_yaml(path)
    docs, paths, findings = _split(document)
    if not findings:
        try:
            return catalog.build(docs, structure)
        except errors.SettingsInvalid as exc:
            findings = [
                _locate(document, paths, item) for item in exc.findings
            ]
    raise errors.SettingsInvalid(findings)


def _locate(document, paths, finding):
    """Returns a finding about a document with its place in the file."""
    name, _, rest = finding.path.partition('$')
    base = paths.get(finding.file or name, '$')
    path = base + rest
    line = _line_of(path, document.lines)
    return errors.Finding(document.file, line, path, finding.message)


def _split(document):
    """Returns the documents of a catalog file, their paths, and findings."""
    docs, paths, findings = {}, {}, []

    def add_finding(path, message):
        line = _line_of(path, document.lines)
        findings.append(errors.Finding(document.file, line, path, message))

    raw = document.value if isinstance(document.value, dict) else {}
    if not raw:
        add_finding('$', 'a mapping of lists is expected')
    for plural, items in raw.items():
        kind = catalog.KIND_OF_PLURAL.get(plural)
        if kind is None:
            add_finding(f'$.{plural}', f'unknown key: {plural}')
            continue
        if not isinstance(items, list):
            add_finding(f'$.{plural}', 'a list is expected')
            continue
        for index, item in enumerate(items):
            path = f'$.{plural}[{index}]'
            name = item.get('name') if isinstance(item, dict) else None
            if not isinstance(name, str):
                add_finding(path, 'required key "name" is missing')
                continue
            key = f'{kind}/{name}'
            if key in docs:
                add_finding(path, f'{kind} "{name}" stands twice')
            docs[key] = item
            paths[key] = path
    return docs, paths, findings
