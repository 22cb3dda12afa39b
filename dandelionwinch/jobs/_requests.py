"""Parsing and validation of requests for completions."""

import json

import attrs

from dandelionwinch import errors
from dandelionwinch import utils

CHAT_PATH = '/v1/chat/completions'
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 131072
PREFIX_CHARS = 1024
MIN_PRIORITY = -10
MAX_PRIORITY = 10


@attrs.frozen
class CompletionRequest:
    """A validated request for a completion.

    Attributes:
        path: API path at the upstream.
        body: The request's JSON object as the client sent it.
        model: Name of the model.
        stream: Whether the client asked for a stream.
        prompt_tokens: Estimated number of tokens of the prompt.
        max_tokens: Largest number of tokens of the answer.
        prefix: Hash of the model and the start of the prompt, by which
            placement estimates prefix cache hits.
        priority: The client's priority, from -10 to 10. It is only
            validated here; the upstream gets it in the body and defines
            its order.
        continuable: Whether another upstream can continue a partial
            answer, because the answer is a single plain text without
            tool calls or log probabilities.
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
        """Whether this is a chat completion."""
        return self.path == CHAT_PATH


def parse_completion(path, raw):
    """Parses and validates a client's request.

    Args:
        path: API path of the request.
        raw: Body of the request in bytes.

    Returns:
        A CompletionRequest.

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
        _int_field(
            body, 'max_tokens', DEFAULT_MAX_TOKENS, 1, MAX_TOKENS_LIMIT
        ),
        utils.stable_hash(model, text[:PREFIX_CHARS]),
        _int_field(body, 'priority', 0, MIN_PRIORITY, MAX_PRIORITY),
        _is_continuable(body),
    )


def _int_field(body, name, default, min_value, max_value):
    value = body.get(name)
    if value is None:
        return default
    if type(value) is not int or not min_value <= value <= max_value:
        raise errors.BadRequest(
            f'field "{name}" is not a whole number from {min_value} to '
            f'{max_value}'
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
    contents = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise errors.BadRequest(f'messages[{index}] is not an object')
        if not isinstance(message.get('role'), str):
            raise errors.BadRequest(f'messages[{index}].role is missing')
        content = message.get('content')
        contents.append(
            content if isinstance(content, str) else json.dumps(content)
        )
    return '\n'.join(contents)


def _is_continuable(body):
    excluded = ('tools', 'functions', 'logprobs', 'echo', 'best_of')
    return body.get('n', 1) == 1 and not any(body.get(k) for k in excluded)


def continuation_body(job, partial, generated_tokens):
    """Returns the request body that continues a partial answer.

    Args:
        job: The CompletionRequest.
        partial: Text of the answer so far.
        generated_tokens: Number of tokens of that text; they count
            against the limit of the client's request.

    Returns:
        A dict; a copy of the client's body if there is no text so far.
    """
    body = dict(job.body)
    if not partial:
        return body
    body['max_tokens'] = max(1, job.max_tokens - generated_tokens)
    if job.chat:
        message = {'role': 'assistant', 'content': partial}
        body['messages'] = [*body['messages'], message]
        body['continue_final_message'] = True
        body['add_generation_prompt'] = False
    else:
        body['prompt'] = body['prompt'] + partial
    return body
