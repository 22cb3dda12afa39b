"""Reads YAML settings and reports all findings with their data centres."""

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


def _strict(kind):
    def structure(value, _type):
        fits = isinstance(value, kind)
        if isinstance(value, bool) and kind is not bool:
            fits = False
        if kind is float and type(value) is int:
            return float(value)
        if not fits:
            raise TypeError(f'{value!r} is not of type {kind.__name__}')
        return value

    return structure


def _converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, int, float, bool):
        # By identity: an enumeration of texts is not a text here.
        converter.register_structure_hook_func(
            functools.partial(operator.is_, kind), _strict(kind)
        )
    return converter


CONVERTER = _converter()


def _explain(exc, _type):
    match exc:
        case cattrs_errors.ForbiddenExtraKeysError():
            names = ', '.join(sorted(str(name) for name in exc.extra_fields))
            return f'unknown key: {names}'
        case KeyError():
            return f'required key {exc} is missing'
        case _:
            return str(exc) or type(exc).__name__


def structure(raw, kind, file, lines=None):
    """Turns bare values into a typed object.

    Args:
        raw: Mapping as read from YAML or JSON.
        kind: The attrs class to build.
        file: Name put into findings.
        lines: Lines by path, or None where the source has none.

    Returns:
        An instance of the class.

    Raises:
        SettingsInvalid: With every finding at once.
    """
    if not isinstance(raw, dict):
        finding = errors.Finding(file, 1, '$', 'a mapping is expected')
        raise errors.SettingsInvalid([finding])
    try:
        return CONVERTER.structure(raw, kind)
    except cattrs_errors.ClassValidationError as exc:
        found = dict(_broken_rules(raw, kind, '$'))
        for text in cattrs.transform_error(exc, format_exception=_explain):
            message, _, path = text.rpartition(' @ ')
            # A rule's message comes again for the object as a whole.
            if message not in found.values():
                found.setdefault(path, message)
        findings = [
            errors.Finding(file, _line_of(path, lines or {}), path, message)
            for path, message in found.items()
        ]
        raise errors.SettingsInvalid(findings) from exc


def _broken_rules(raw, kind, path):
    """Yields the path and message of each value that breaks a rule.

    The class itself stops at the first broken rule.
    """
    if not isinstance(raw, dict) or not attrs.has(kind):
        return
    for field in attrs.fields(attrs.resolve_types(kind)):
        if field.name not in raw:
            continue
        value, where = raw[field.name], f'{path}.{field.name}'
        inner = typing.get_args(field.type)
        if isinstance(value, list) and inner:
            for index, item in enumerate(value):
                yield from _broken_rules(item, inner[0], f'{where}[{index}]')
        yield from _broken_rules(value, field.type, where)
        if field.validator is None or attrs.has(field.type):
            continue
        try:
            field.validator(None, field, value)
        except ValueError as exc:
            yield where, str(exc.args[0])
        except (TypeError, AttributeError):
            # The wrong type is reported by the structuring itself.
            continue


def _line_of(path, lines):
    while path and path not in lines:
        cut = max(path.rfind('.'), path.rfind('['))
        if cut <= 0:
            break
        path = path[:cut]
    return lines.get(path, 0)


class _Document:
    """A parsed YAML file with the line of each path."""

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
            self._find(line, '$', f'not valid YAML: {problem}')
        if self.findings:
            raise errors.SettingsInvalid(self.findings)

    def _find(self, line, path, message):
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
                self._find(line, inner, f'key "{key.value}" stands twice')
            seen.add(key.value)
            self._walk(value, inner)
            self.lines[inner] = line


def read_document(path):
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
    """Reads the settings of one entry instance."""
    document = read_document(path)
    return structure(
        document.value, settings.EntrySettings, document.file, document.lines
    )


def read_catalog(path):
    """Reads a catalog file into a checked catalog.

    The file holds one list for each kind of document, named in the
    plural: ``upstreams``, ``pools``, ``policies`` and so on.

    Raises:
        SettingsInvalid: With every finding of the whole file.
    """
    document = read_document(path)
    docs, data_centres, findings = _split(document)
    if not findings:
        try:
            return catalog.build(docs, structure)
        except errors.SettingsInvalid as exc:
            findings = [
                _relocate(document, data_centres, item)
                for item in exc.findings
            ]
    raise errors.SettingsInvalid(findings)


def _relocate(document, data_centres, finding):
    name, _, rest = finding.path.partition('$')
    base = data_centres.get(finding.file or name, '$')
    path = base + rest
    line = _line_of(path, document.lines)
    return errors.Finding(document.file, line, path, finding.message)


def _split(document):
    docs, data_centres, findings = {}, {}, []

    def find(path, message):
        line = _line_of(path, document.lines)
        findings.append(errors.Finding(document.file, line, path, message))

    raw = document.value if isinstance(document.value, dict) else {}
    if not raw:
        find('$', 'a mapping of lists is expected')
    for plural, items in raw.items():
        kind = catalog.KIND_OF_PLURAL.get(plural)
        if kind is None:
            find(f'$.{plural}', f'unknown key: {plural}')
            continue
        if not isinstance(items, list):
            find(f'$.{plural}', 'a list is expected')
            continue
        for index, item in enumerate(items):
            path = f'$.{plural}[{index}]'
            name = item.get('name') if isinstance(item, dict) else None
            if not isinstance(name, str):
                find(path, 'required key "name" is missing')
                continue
            key = f'{kind}/{name}'
            if key in docs:
                find(path, f'{kind} "{name}" stands twice')
            docs[key] = item
            data_centres[key] = path
    return docs, data_centres, findings
