"""Decoding of JSON from other processes, with the place of each fault."""

import json

import attrs
import cattrs

from dandelionwinch import errors


def parse(data, what):
    """Parses JSON.

    Args:
        data: Text or bytes.
        what: Description of the value, for the error.

    Raises:
        MalformedValue: If it is not JSON.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError, TypeError) as exc:
        raise errors.MalformedValue(what, '$', str(exc)) from exc


def structure(raw, cls, what):
    """Converts parsed JSON to a typed value.

    Args:
        raw: The parsed JSON.
        cls: Type of the value.
        what: Description of the value, for the error.

    Raises:
        MalformedValue: If it has another shape.
    """
    # A list would be taken for an object without fields.
    if attrs.has(cls) and not isinstance(raw, dict):
        raise errors.MalformedValue(what, '$', 'no object')
    try:
        return cattrs.structure(raw, cls)
    except (cattrs.BaseValidationError, *errors.SHAPE_ERRORS) as exc:
        places = cattrs.transform_error(exc)
        raise errors.MalformedValue(what, '$', '; '.join(places)) from exc


def load(data, cls, what):
    """Parses JSON and converts it to a typed value.

    Raises:
        MalformedValue: If it is not JSON or has another shape.
    """
    return structure(parse(data, what), cls, what)


def field(raw, name, cls, what):
    """Returns a field of a parsed JSON object.

    Args:
        raw: The parsed JSON.
        name: Name of the field.
        cls: Class of its value.
        what: Description of the object, for the error.

    Raises:
        MalformedValue: If it is no object, or the field is missing or of
            another class.
    """
    if not isinstance(raw, dict):
        raise errors.MalformedValue(what, '$', 'no object')
    value = raw.get(name)
    if not isinstance(value, cls):
        place = f'$.{name}'
        raise errors.MalformedValue(what, place, f'no {cls.__name__}')
    return value
