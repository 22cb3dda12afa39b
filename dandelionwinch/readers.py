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


def _exact_type_hook(cls):
    """Returns a structure hook that rejects values of another type.

    An int is accepted as a float, but a bool is not accepted as an int.
    """

    def hook(value, _type):
        fits = isinstance(value, cls)
        if isinstance(value, bool) and cls is not bool:
            fits = False
        if cls is float and type(value) is int:
            return float(value)
        if not fits:
            raise TypeError(f'{value!r} is not of type {cls.__name__}')
        return value

    return hook


def _converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    for cls in (str, int, float, bool):
        # By identity: a string enumeration is a subclass of str, but must
        # not be read as a plain string.
        converter.register_structure_hook_func(
            functools.partial(operator.is_, cls), _exact_type_hook(cls)
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


def structure(raw, cls, file, lines=None):
    """Structures plain values into an instance of an attrs class.

    Args:
        raw: Mapping as read from YAML or JSON.
        cls: The attrs class.
        file: File name for the findings.
        lines: Line numbers by path of the value, such as `$.store.kind`, or
            None if the source has no lines.

    Returns:
        An instance of the class.

    Raises:
        SettingsInvalid: With all findings.
    """
    if not isinstance(raw, dict):
        finding = errors.Finding(file, 1, '$', 'a mapping is expected')
        raise errors.SettingsInvalid([finding])
    try:
        return CONVERTER.structure(raw, cls)
    except cattrs_errors.ClassValidationError as exc:
        found = dict(_validation_errors(raw, cls, '$'))
        for text in cattrs.transform_error(exc, format_exception=_describe):
            message, _, path = text.rpartition(' @ ')
            # cattrs reports a validator's error again, for the whole object.
            if message not in found.values():
                found.setdefault(path, message)
        findings = [
            errors.Finding(file, _line_of(path, lines or {}), path, message)
            for path, message in found.items()
        ]
        raise errors.SettingsInvalid(findings) from exc


def _validation_errors(raw, cls, path):
    """Yields the path and the message of each value that is invalid.

    The class itself stops at the first validator that fails.
    """
    if not isinstance(raw, dict) or not attrs.has(cls):
        return
    for field in attrs.fields(attrs.resolve_types(cls)):
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
            # A wrong type is already a finding of the structuring.
            continue


def _line_of(path, lines):
    """Returns the line of a path or of its nearest parent, 0 if none."""
    while path and path not in lines:
        cut = max(path.rfind('.'), path.rfind('['))
        if cut <= 0:
            break
        path = path[:cut]
    return lines.get(path, 0)


class _YamlFile:
    """A parsed YAML file.

    Attributes:
        file: File name for the findings.
        value: The parsed value.
        lines: Line number of each path in the value.
        findings: Findings about the syntax and about repeated keys.
    """

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

    Returns:
        An object with the attributes `value`, `file` and `lines`, as
        `structure` needs them.

    Raises:
        SettingsInvalid: If it cannot be read or is not valid YAML.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        finding = errors.Finding(str(path), 0, '$', f'cannot read: {exc}')
        raise errors.SettingsInvalid([finding]) from exc
    return _YamlFile(str(path), text)


def read_entry(path):
    """Reads the settings file of one entry instance.

    Raises:
        SettingsInvalid: With all findings.
    """
    yaml_file = read_yaml(path)
    return structure(
        yaml_file.value,
        settings.EntrySettings,
        yaml_file.file,
        yaml_file.lines,
    )


def read_catalog(path):
    """Reads a catalog file and checks it.

    The file holds a list of documents for each kind, under the plural of
    the kind: ``upstreams``, ``pools``, ``policies`` and so on.

    Returns:
        The catalog.

    Raises:
        SettingsInvalid: With all findings of the file.
    """
    yaml_file = read_yaml(path)
    docs, paths, findings = _split(yaml_file)
    if not findings:
        try:
            return catalog.build(docs, structure)
        except errors.SettingsInvalid as exc:
            findings = [
                _locate(yaml_file, paths, item) for item in exc.findings
            ]
    raise errors.SettingsInvalid(findings)


def _locate(yaml_file, paths, finding):
    """Converts a finding of `catalog.build` to one about the catalog file.

    Such a finding has the path of a document, such as `pool/lm`, as its
    file, and a path within the document, which begins with `$`. If its file
    is empty, the path of the document stands before the `$`.

    Args:
        yaml_file: The _YamlFile of the catalog.
        paths: Path in the file by the path of the document.
        finding: The finding.
    """
    name, _, rest = finding.path.partition('$')
    base = paths.get(finding.file or name, '$')
    path = base + rest
    line = _line_of(path, yaml_file.lines)
    return errors.Finding(yaml_file.file, line, path, finding.message)


def _split(yaml_file):
    """Divides a catalog file into its documents.

    Returns:
        The documents, and their paths in the file, each by a path such as
        `pool/lm`; and the findings.
    """
    docs, paths, findings = {}, {}, []

    def add_finding(path, message):
        line = _line_of(path, yaml_file.lines)
        findings.append(errors.Finding(yaml_file.file, line, path, message))

    raw = yaml_file.value if isinstance(yaml_file.value, dict) else {}
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
