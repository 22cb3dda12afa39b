"""Parser of statements; errors give the column and what was expected."""

import importlib.resources

import lark
from lark import exceptions

from dandelionwinch import errors
from dandelionwinch.language import _statements as st

# Descriptions of the grammar's terminals in error messages.
_TERMINAL_NAMES = {
    'TABLE': 'a table',
    'FIELD': 'a field',
    'OPERATOR': 'a comparison',
    'NAME': 'a name',
    'STRING': 'a text in quotes',
    'NUMBER': 'a number',
    'INTEGER': 'a whole number',
    'BOOLEAN': 'true or false',
    'KIND': 'a kind of document',
    'ROLE': 'prefill, decode or mixed',
    'EXPLAINED': 'job or upstream',
    'DRAINED': 'upstream or instance',
    'DIRECTION': 'asc or desc',
    '$END': 'the end',
    'SEMICOLON': '";"',
    'LPAR': '"("',
    'RPAR': '")"',
    'LSQB': '"["',
    'RSQB': '"]"',
    'COMMA': '","',
    'EQUAL': '"="',
}


def _grammar():
    package = importlib.resources.files('dandelionwinch.language')
    return package.joinpath('grammar.lark').read_text(encoding='utf-8')


class _StatementBuilder(lark.Transformer):
    """Converts a parse tree to a statement.

    Each method is named after a rule of grammar.lark, and gets the values of
    the rule's parts in their order. An absent part has no item. So optional
    clauses (where, order by, limit, if revision) become pairs of a name and a
    value, such as ``('revision', 7)``, by which they are told apart.
    """

    def start(self, items):
        return items[0]

    def name(self, items):
        return _unquoted(items[0])

    def string(self, items):
        return _unquoted(items[0])

    def word(self, items):
        return str(items[0])

    def number(self, items):
        text = str(items[0])
        return int(text) if text.lstrip('-').isdigit() else float(text)

    def boolean(self, items):
        return str(items[0]).lower() == 'true'

    def list(self, items):
        return list(items)

    def comparison(self, items):
        field, operator, value = items
        return st.Compare(str(field), str(operator).lower(), value)

    def negation(self, items):
        return st.Not(items[0])

    def conjunction(self, items):
        return items[0] if len(items) == 1 else st.All(tuple(items))

    def condition(self, items):
        return items[0] if len(items) == 1 else st.Any(tuple(items))

    def where(self, items):
        return ('where', items[0])

    def order(self, items):
        descending = len(items) > 1 and str(items[1]).lower() == 'desc'
        return ('order', (str(items[0]), descending))

    def limit(self, items):
        return ('limit', int(items[0]))

    def guard(self, items):
        return ('revision', int(items[0]))

    def assignment(self, items):
        return (str(items[0]), items[1])

    def assignments(self, items):
        return dict(items)

    def show(self, items):
        parts = dict(items[1:])
        field, descending = parts.get('order', ('', False))
        return st.Show(
            str(items[0]).lower(),
            parts.get('where'),
            field,
            descending,
            parts.get('limit'),
        )

    def explain(self, items):
        return st.Explain(str(items[0]).lower(), items[1])

    def drain(self, items):
        return st.Drain(_lower(items[0]), items[1], _revision(items[2:]))

    def undrain(self, items):
        return st.Undrain(_lower(items[0]), items[1], _revision(items[2:]))

    def retire(self, items):
        return st.Retire(items[0], _revision(items[1:]))

    def replace(self, items):
        # Name, new name and address.
        return st.Replace(*items[:3], _revision(items[3:]))

    def change_role(self, items):
        return st.ChangeRole(items[0], _lower(items[1]), _revision(items[2:]))

    def set(self, items):
        kind, name, fields, *rest = items
        return st.SetFields(_lower(kind), name, fields, _revision(rest))

    def create(self, items):
        kind, name, *rest = items
        # Assignments are a dict; a revision condition is a pair.
        fields = rest.pop(0) if rest and isinstance(rest[0], dict) else {}
        return st.Create(_lower(kind), name, fields, _revision(rest))

    def remove(self, items):
        return st.Remove(_lower(items[0]), items[1], _revision(items[2:]))


def _unquoted(token):
    text = str(token)
    return text[1:-1] if token.type == 'STRING' else text


def _lower(token):
    return str(token).lower()


def _revision(rest):
    """Returns the required revision, or None; ``rest`` has the pairs."""
    return dict(rest).get('revision')


# The dynamic lexer matches only the terminals that the grammar allows at a
# position, so a keyword can also be a name.
_PARSER = lark.Lark(_grammar(), parser='earley', lexer='dynamic')


def parse(text):
    """Parses one statement.

    Args:
        text: The statement; a semicolon at its end is optional.

    Returns:
        An instance of one of the statement classes.

    Raises:
        StatementInvalid: If the text does not match the grammar, with
            the column and what was expected there.
    """
    try:
        return _StatementBuilder().transform(_PARSER.parse(text))
    except exceptions.UnexpectedEOF as exc:
        raise _invalid(text, len(text) + 1, exc.expected) from exc
    except exceptions.UnexpectedCharacters as exc:
        raise _invalid(text, exc.column, exc.allowed) from exc
    except exceptions.UnexpectedInput as exc:
        column = getattr(exc, 'column', 1)
        expected = getattr(exc, 'expected', ())
        raise _invalid(text, column, expected) from exc


def _invalid(text, column, expected):
    wanted = sorted({_name_of(item) for item in expected or ()})
    rest = text[column - 1 :].split()
    found = f'"{rest[0]}"' if rest else 'the end'
    message = f'column {column}: {found} was not expected here'
    if wanted:
        message += '; expected ' + ' or '.join(wanted)
    return errors.StatementInvalid(message, column=column, expected=wanted)


def _name_of(terminal):
    name = getattr(terminal, 'name', str(terminal))
    return _TERMINAL_NAMES.get(name, f'"{name.lower()}"')
