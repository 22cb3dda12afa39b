"""The operators' language: parsing, queries and commands."""

from dandelionwinch.language._edits import edits_of
from dandelionwinch.language._parse import parse
from dandelionwinch.language._query import select
from dandelionwinch.language._statements import ChangeRole
from dandelionwinch.language._statements import Create
from dandelionwinch.language._statements import Drain
from dandelionwinch.language._statements import Explain
from dandelionwinch.language._statements import is_command
from dandelionwinch.language._statements import Remove
from dandelionwinch.language._statements import Replace
from dandelionwinch.language._statements import Retire
from dandelionwinch.language._statements import SetFields
from dandelionwinch.language._statements import Show
from dandelionwinch.language._statements import Undrain

__all__ = [
    'ChangeRole',
    'Create',
    'Drain',
    'Explain',
    'Remove',
    'Replace',
    'Retire',
    'SetFields',
    'Show',
    'Undrain',
    'edits_of',
    'is_command',
    'parse',
    'select',
]
