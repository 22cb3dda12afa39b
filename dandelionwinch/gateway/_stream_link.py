"""Messages by which instances tell each other where streams began.

    ["began", request id, version, or "" if the stream was refused]
    ["ask", question number, request id, service]
    ["told", question number, version or null, sole version or null, seconds,
        seconds since the stream was refused first, left out if it was not]

A record that is lost makes a stream that is taken up elsewhere end, never
join another version.
"""

import asyncio
import itertools

import attrs

from dandelionwinch import streams

ASK_TIMEOUT_S = 0.25
# Time after which a question is sent once more.
ASK_AGAIN_S = 0.1


@attrs.frozen
class Told:
    """What an instance told of a stream.

    Attributes:
        version: Version at which it began, None if it has no record.
        sole: The Sole version of the service there, or None.
        refused_s: Seconds since the stream was refused first, or 0.
    """

    version: str | None
    sole: streams.Sole | None
    refused_s: float = 0.0


@attrs.define
class _Question:
    """A question that waits for answers.

    Attributes:
        awaited: Number of instances that have not answered.
        told: The answers.
        done: Future that ends the wait.
    """

    awaited: int
    told: list
    done: asyncio.Future


class StreamLink:
    """Announces, asks for and answers at which version streams began.

    Args:
        loop: The event loop.
        link: PeerLink.
        on_began: Function of a request id and a version.
        answer: Function of a request id and a service that returns Told.
    """

    __slots__ = (
        '_answer',
        '_link',
        '_loop',
        '_numbers',
        '_on_began',
        '_questions',
    )

    def __init__(self, loop, link, on_began, answer):
        self._loop = loop
        self._link = link
        self._on_began = on_began
        self._answer = answer
        self._numbers = itertools.count(1)
        self._questions = {}
        link.register('began', self._take_began)
        link.register('ask', self._take_question)
        link.register('told', self._take_answer)

    def announce(self, request_id, version, addresses):
        """Tells instances at which version a stream began.

        Args:
            request_id: Id of the request that began it.
            version: The version.
            addresses: IP and port of each instance.
        """
        self._link.send_all(['began', request_id, version], addresses)

    async def ask(self, request_id, service, addresses):
        """Asks instances for a stream.

        Args:
            request_id: Id of the request that began it.
            service: Name of its service.
            addresses: IP and port of each instance.

        Returns:
            List of Told; it ends with the first one that has a record.
        """
        if not addresses:
            return []
        number = next(self._numbers)
        question = _Question(len(addresses), [], self._loop.create_future())
        self._questions[number] = question
        message = ['ask', number, request_id, service]
        try:
            for wait_s in (ASK_AGAIN_S, ASK_TIMEOUT_S - ASK_AGAIN_S):
                self._link.send_all(message, addresses)
                await asyncio.wait([question.done], timeout=wait_s)
                if question.done.done():
                    break
        finally:
            del self._questions[number]
        return question.told

    def _take_began(self, items, _addr):
        match items:
            case [str(request_id), str(version)]:
                self._on_began(request_id, version)
            case _:
                raise ValueError('not the begin of a stream')

    def _take_question(self, items, addr):
        match items:
            case [int(number), str(request_id), str(service)]:
                told = self._answer(request_id, service)
                self._link.send(_told_message(number, told), addr)
            case _:
                raise ValueError('not a question for a stream')

    def _take_answer(self, items, _addr):
        number, version, sole, for_s, *refused_s = items
        told = _read_told(version, sole, for_s, *refused_s)
        question = self._questions.get(number)
        if question is None or question.done.done():
            return
        question.told.append(told)
        question.awaited -= 1
        if told.version is not None or not question.awaited:
            question.done.set_result(None)


def _told_message(number, told):
    sole, for_s = None, 0.0
    if told.sole is not None:
        sole, for_s = told.sole.version, round(told.sole.for_s, 3)
    message = ['told', number, told.version, sole, for_s]
    if told.refused_s:
        message.append(round(told.refused_s, 3))
    return message


def _read_told(version, sole, for_s, refused_s=0.0):
    if version is not None and not isinstance(version, str):
        raise ValueError(f'version {version!r}')
    if not isinstance(refused_s, int | float):
        raise ValueError(f'refused for {refused_s!r} s')
    if sole is None:
        return Told(version, None, float(refused_s))
    if not isinstance(sole, str) or not isinstance(for_s, int | float):
        raise ValueError(f'sole version {sole!r} for {for_s!r} s')
    seen = streams.Sole(sole, float(for_s))
    return Told(version, seen, float(refused_s))
