"""Jobs: parsed requests, assembly of their answers and job history."""

from dandelionwinch.jobs._assembly import AnswerAssembly
from dandelionwinch.jobs._assembly import StreamGap
from dandelionwinch.jobs._history import JobHistory
from dandelionwinch.jobs._history import JobRecord
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
