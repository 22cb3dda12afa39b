"""Messages by which instances tell each other where streams began.

    ["began", request id, ""]: the stream was refused
    ["records", [[request id, version, seconds for which it is kept], ...],
        whether these are the last ones that were asked for]
    ["need", name of the instance that asks for what it should hold]
    ["ask", question number, request id, or "" for no stream, service]
    ["told", question number, version or null, sole version or null, seconds,
        seconds since the stream was refused first, age of the view in seconds
        or null without one]

A record that is lost makes a stream that is taken up elsewhere end, never
join another version.
"""

import asyncio
import itertools
import math

import attrs

from dandelionwinch import streams

ASK_TIMEOUT_S = 0.25
# Time after which a question is sent once more.
ASK_AGAIN_S = 0.1
# A datagram of so many records fits into one packet.
RECORDS_PER_DATAGRAM = 24
MAX_LEFT_S = 3600.0
# A view that is older tells as little as one of this age.
MAX_AGE_S = 3600.0


@attrs.frozen
class Told:
    """What an instance told of a stream.

    Attributes:
        version: Version at which it began, None if it has no record.
        sole: The Sole version of the service there, or None.
        refused_s: Seconds since the stream was refused first, or 0.
        sees: Whether the instance has a view of the versions.
    """

    version: str | None
    sole: streams.Sole | None
    refused_s: float = 0.0
    sees: bool = True


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
        on_refused: Function of the id of a request whose stream was refused.
        answer: Function of a request id and a service that returns Told.

    Attributes:
        on_records: Function of a list of Records, the address of the sender,
            and `last`: whether these are the last ones that were asked for.
        on_need: Function of the name and the address of an instance that
            asks for the records that it should hold.
    """

    __slots__ = (
        '_answer',
        '_link',
        '_loop',
        '_numbers',
        '_on_refused',
        '_questions',
        'on_need',
        'on_records',
    )

    def __init__(self, loop, link, on_refused, answer):
        self._loop = loop
        self._link = link
        self._on_refused = on_refused
        self._answer = answer
        self._numbers = itertools.count(1)
        self._questions = {}
        self.on_records = None
        self.on_need = None
        link.register('began', self._take_began)
        link.register('records', self._take_records)
        link.register('need', self._take_need)
        link.register('ask', self._take_question)
        link.register('told', self._take_answer)

    def announce_refusal(self, request_id, addresses):
        """Tells instances that a stream was refused.

        Args:
            request_id: Id of the request that began it.
            addresses: IP and port of each instance.
        """
        self._link.send_all(['began', request_id, ''], addresses)

    def tell(self, records, addresses, *, all_known=False):
        """Tells instances at which versions streams began.

        Args:
            records: List of Records.
            addresses: IP and port of each instance.
            all_known: Whether these are all that were asked for.
        """
        rows = [
            [record.request_id, record.version, round(record.left_s, 1)]
            for record in records
        ]
        starts = range(0, max(1, len(rows)), RECORDS_PER_DATAGRAM)
        for start in starts:
            end = start + RECORDS_PER_DATAGRAM
            last = all_known and end >= len(rows)
            message = ['records', rows[start:end], last]
            self._link.send_all(message, addresses)

    def ask_records(self, name, addresses):
        """Asks instances for the records that an instance should hold.

        Args:
            name: Name of the local instance.
            addresses: IP and port of each instance.
        """
        self._link.send_all(['need', name], addresses)

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
            case [str(request_id), '']:
                self._on_refused(request_id)
            case [str(request_id), str(version)]:
                # Of an instance of an older software version.
                record = streams.Record(
                    request_id, version, streams.RECORD_TTL_S
                )
                self.on_records((record,))
            case _:
                raise ValueError('not the begin of a stream')

    def _take_records(self, items, addr):
        match items:
            case [list(rows), bool(last)]:
                records = [_read_record(*row) for row in rows]
            case _:
                raise ValueError('not a list of records')
        self.on_records(records, tuple(addr[:2]), last=last)

    def _take_need(self, items, addr):
        match items:
            case [str(name)]:
                self.on_need(name, addr)
            case _:
                raise ValueError('not a question for records')

    def _take_question(self, items, addr):
        match items:
            case [int(number), str(request_id), str(service)]:
                told = self._answer(request_id, service)
                self._link.send(_told_message(number, told), addr)
            case _:
                raise ValueError('not a question for a stream')

    def _take_answer(self, items, _addr):
        number, *told = items
        told = _read_told(*told)
        question = self._questions.get(number)
        if question is None or question.done.done():
            return
        question.told.append(told)
        question.awaited -= 1
        if told.version is not None or not question.awaited:
            question.done.set_result(None)


def _told_message(number, told):
    sole, for_s, age_s = None, 0.0, None
    if told.sees:
        age_s = 0.0
    if told.sole is not None:
        sole, for_s = told.sole.version, round(told.sole.for_s, 3)
        age_s = round(min(told.sole.age_s, MAX_AGE_S), 3)
    refused_s = round(told.refused_s, 3)
    return ['told', number, told.version, sole, for_s, refused_s, age_s]


def _read_told(version, sole, for_s, refused_s=0.0, age_s=math.inf):
    if version is not None and not isinstance(version, str):
        raise ValueError(f'version {version!r}')
    if not isinstance(refused_s, int | float):
        raise ValueError(f'refused for {refused_s!r} s')
    if sole is None:
        return Told(version, None, float(refused_s), age_s is not None)
    if not isinstance(sole, str) or not isinstance(for_s, int | float):
        raise ValueError(f'sole version {sole!r} for {for_s!r} s')
    if not isinstance(age_s, int | float) or not age_s >= 0.0:
        raise ValueError(f'a view of {age_s!r} s')
    seen = streams.Sole(sole, float(for_s), float(age_s))
    return Told(version, seen, float(refused_s))


def _read_record(request_id, version, left_s):
    match request_id, version, left_s:
        case str(), str(), int() | float() if 0.0 <= left_s <= MAX_LEFT_S:
            return streams.Record(request_id, version, float(left_s))
    raise ValueError('not a record')
