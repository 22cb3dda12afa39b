"""Requests for completions, checked before they become jobs."""

import json

import attrs

from dandelionwinch import errors
from dandelionwinch import utils

CHAT_PATH = '/v1/chat/completions'
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 131072
PREFIX_CHARACTERS = 1024
LEAST_PRIORITY = -10
MOST_PRIORITY = 10


@attrs.frozen
class CompletionRequest:
    """A checked request.

    Attributes:
        path: Interface path at the upstream.
        body: The request as the client sent it.
        prompt_tokens: Estimated size of the prompt.
        prefix: Hash of the prompt's beginning, for cache beliefs.
        continuable: Whether another upstream can continue a part of the
            answer, because it is one plain text.
    """

    path: str
    body: dict
    model: str
    stream: bool
    prompt_tokens: int
    max_tokens: int
    prefix: int
    priority: int
    continuable: bool

    @property
    def chat(self):
        """Whether it is a chat."""
        return self.path == CHAT_PATH


def parse_completion(path, raw):
    """Checks a client's request.

    Raises:
        BadRequest: If the body is malformed; names the field.
    """
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise errors.BadRequest(f'body is not valid JSON: {exc}') from exc
    if not isinstance(body, dict):
        raise errors.BadRequest('body is not a JSON object')
    model = body.get('model')
    if not isinstance(model, str) or not model:
        raise errors.BadRequest('field "model" is missing or not a string')
    stream = body.get('stream', False)
    if not isinstance(stream, bool):
        raise errors.BadRequest('field "stream" is not true or false')
    chat = path == CHAT_PATH
    text = _chat_text(body) if chat else _prompt_text(body)
    return CompletionRequest(
        path,
        body,
        model,
        stream,
        utils.estimate_tokens(text),
        _whole(body, 'max_tokens', DEFAULT_MAX_TOKENS, 1, MAX_TOKENS_LIMIT),
        utils.stable_hash(model, text[:PREFIX_CHARACTERS]),
        _whole(body, 'priority', 0, LEAST_PRIORITY, MOST_PRIORITY),
        _is_plain(body),
    )


def _whole(body, name, default, least, most):
    value = body.get(name)
    if value is None:
        return default
    if type(value) is not int or not least <= value <= most:
        raise errors.BadRequest(
            f'field "{name}" is not a whole number from {least} to {most}'
        )
    return value


def _prompt_text(body):
    prompt = body.get('prompt')
    if not isinstance(prompt, str):
        raise errors.BadRequest('field "prompt" is missing or not a string')
    return prompt


def _chat_text(body):
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise errors.BadRequest('field "messages" is not a filled list')
    parts = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise errors.BadRequest(f'messages[{index}] is not an object')
        if not isinstance(message.get('role'), str):
            raise errors.BadRequest(f'messages[{index}].role is missing')
        content = message.get('content')
        parts.append(
            content if isinstance(content, str) else json.dumps(content)
        )
    return '\n'.join(parts)


def _is_plain(body):
    fancy = ('tools', 'functions', 'logprobs', 'echo', 'best_of')
    return body.get('n', 1) == 1 and not any(body.get(k) for k in fancy)


def continuation_body(job, partial, made):
    """Returns the body that continues a partial answer.

    Args:
        job: The Completion.
        partial: Text of the answer so far.
        made: Tokens of it.
    """
    body = dict(job.body)
    if not partial:
        return body
    body['max_tokens'] = max(1, job.max_tokens - made)
    if job.chat:
        message = {'role': 'assistant', 'content': partial}
        body['messages'] = [*body['messages'], message]
        body['continue_final_message'] = True
        body['add_generation_prompt'] = False
    else:
        body['prompt'] = body['prompt'] + partial
    return body
