"""Jobs: requests of clients, their attempts and whole answers."""

from dandelionwinch.jobs._assembly import AnswerAssembly
from dandelionwinch.jobs._assembly import StreamGap
from dandelionwinch.jobs._book import JobHistory
from dandelionwinch.jobs._book import JobRecord
from dandelionwinch.jobs._requests import CompletionRequest
from dandelionwinch.jobs._requests import parse_completion
from dandelionwinch.jobs._requests import with_partial

__all__ = [
    'AnswerAssembly',
    'CompletionRequest',
    'JobHistory',
    'JobRecord',
    'StreamGap',
    'parse_completion',
    'with_partial',
]
