"""Bodies of completions: events of a stream, and whole answers."""

import json
import time

from dandelionwinch import errors
from dandelionwinch import listeners

_DONE_EVENT = b'data: [DONE]\n\n'


def finish_reason(chunk):
    for choice in chunk.choices:
        if choice.get('finish_reason'):
            return choice['finish_reason']
    return ''


def sse_events(request_id, answer, first, chunks):
    """Yields server-sent events; the last one is [DONE] or an error."""
    head = {
        'id': request_id,
        'object': _object_type(answer.job, True),
        'created': int(time.time()),
        'model': answer.job.model,
    }
    try:
        if first is not None:
            yield _sse_event({**head, 'choices': first.choices})
        for chunk in chunks:
            yield _sse_event({**head, 'choices': chunk.choices})
        yield _DONE_EVENT
    except errors.DandelionwinchError as exc:
        yield _sse_event(listeners.error_body(exc, request_id))
        raise
    finally:
        chunks.close()


def _sse_event(value):
    return b'data: ' + json.dumps(value).encode() + b'\n\n'


def _object_type(job, is_chunk):
    if not job.chat:
        return 'text_completion'
    return 'chat.completion.chunk' if is_chunk else 'chat.completion'


def whole_body(request_id, job, assembly, finish_reason):
    text = assembly.text
    choice = {'index': 0, 'finish_reason': finish_reason}
    if job.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    generated_tokens = assembly.tokens
    return {
        'id': request_id,
        'object': _object_type(job, False),
        'created': int(time.time()),
        'model': job.model,
        'choices': [choice],
        'usage': {
            'prompt_tokens': job.prompt_tokens,
            'completion_tokens': generated_tokens,
            'total_tokens': job.prompt_tokens + generated_tokens,
        },
    }
