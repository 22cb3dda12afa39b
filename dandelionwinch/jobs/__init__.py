"""Jobs: requests of clients, their attempts and whole answers."""

from dandelionwinch.jobs._assembly import AnswerAssembly
from dandelionwinch.jobs._assembly import StreamGap
from dandelionwinch.jobs._book import JobHistory
from dandelionwinch.jobs._book import JobRecord
from dandelionwinch.jobs._requests import CompletionRequest
from dandelionwinch.jobs._requests import continuation_body
from dandelionwinch.jobs._requests import parse_completion

__all__ = [
    'AnswerAssembly',
    'CompletionRequest',
    'JobHistory',
    'JobRecord',
    'StreamGap',
    'continuation_body',
    'parse_completion',
]
