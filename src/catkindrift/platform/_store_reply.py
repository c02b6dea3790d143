"""Replies of the platform's store, and what of a damaged one can be read."""

import itertools
import re
from collections.abc import Iterator
from typing import Any, Final, final

import attrs
import msgspec

_STRING: Final = rb'"(?:[^"\\]++|\\.)*+"'
# A string, which may hold brackets, or what delimits containers.
_TOKEN: Final = re.compile(rb'%b|[\[\]{},]' % _STRING, re.DOTALL)
_MEMBER: Final = re.compile(rb'\s*(%b)\s*:(.*)' % _STRING, re.DOTALL)
_OPENING: Final = frozenset((b'[', b'{'))
_CLOSING: Final = frozenset((b']', b'}'))
_UNREADABLE = (msgspec.DecodeError, RecursionError)


@final
@attrs.frozen
class UnreadableEntry:
    """An entry of a page that can't be decoded.

    Args:
        name: Name of the object; empty if that can't be read either.
        revision: Store revision of its last change, or 0.
        reason: What is wrong with it.
    """

    name: str
    revision: int
    reason: str


@final
@attrs.frozen
class StoreReply:
    """Document of a reply.

    Args:
        document: Decoded JSON; an entry that can't be decoded has no spec.
        unreadable: Entries that can't be decoded.
    """

    document: dict[str, Any]
    unreadable: tuple[UnreadableEntry, ...] = ()

    @classmethod
    def from_json(cls, content: bytes) -> 'StoreReply':
        """Decode a reply, entry by entry if it can't be decoded as a whole.

        Raises:
            ValueError: The reply is no JSON object, or has no end.
            DecodeError: It is damaged outside its entries.
            RecursionError: It is nested too deeply outside its entries.
        """
        try:
            document = msgspec.json.decode(content)
        except _UNREADABLE:
            return _recover(content)
        return cls(document if isinstance(document, dict) else {})


def _recover(content: bytes) -> StoreReply:
    document: dict[str, Any] = {}
    unreadable: list[UnreadableEntry] = []
    for key, text in _members(content):
        if key not in {b'items', b'events'}:
            document[key.decode()] = msgspec.json.decode(text)
            continue
        entries = [_read_entry(each) for each in _parts(text)]
        document[key.decode()] = [entry for entry, _ in entries]
        unreadable.extend(bad for _, bad in entries if bad)
    return StoreReply(document, tuple(unreadable))


def _read_entry(text: bytes) -> tuple[Any, UnreadableEntry | None]:
    """Return an entry of a list or a watch, or the names in a damaged one."""
    try:
        return msgspec.json.decode(text), None
    except _UNREADABLE as damaged:
        reason = str(damaged)
    event = _read_members(text)
    stored = event.get(b'object', text)
    metadata = _read_metadata(stored)
    bad = UnreadableEntry(
        metadata.get('name', ''), metadata.get('revision', 0), reason
    )
    document = {'metadata': metadata, 'spec': None}
    if b'object' not in event:
        return document, bad
    is_deleted = _read(event.get(b'deleted', b'false'))
    return {'object': document, 'deleted': is_deleted}, bad


def _read_metadata(stored: bytes) -> dict[str, Any]:
    metadata = _read_members(stored).get(b'metadata', b'')
    members = _read_members(metadata)
    name = _read(members.get(b'name', b''))
    revision = _read(members.get(b'revision', b''))
    if not isinstance(name, str) or not isinstance(revision, int):
        return {}
    return {'name': name, 'revision': revision}


def _read_members(text: bytes) -> dict[bytes, bytes]:
    """Return the JSON of an object's values, nothing if it is no object."""
    try:
        return dict(_members(text))
    except ValueError:
        return {}


def _read(text: bytes) -> Any:
    """Return a decoded value, None if it can't be read."""
    try:
        return msgspec.json.decode(text)
    except _UNREADABLE:
        return None


def _members(text: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Split an object into keys and the JSON of their values."""
    if not text.lstrip().startswith(b'{'):
        raise ValueError('not a JSON object')
    for part in _parts(text):
        member = _MEMBER.fullmatch(part)
        if member is None:
            raise ValueError('a member of a JSON object has no key')
        yield member[1][1:-1], member[2]


def _parts(text: bytes) -> list[bytes]:
    """Split an array or object at its commas; inner ones are left alone."""
    parts = (
        text[before.end() : after.start()]
        for before, after in itertools.pairwise(_cuts(text))
    )
    return [part for part in parts if part.strip()]


def _cuts(text: bytes) -> Iterator[re.Match[bytes]]:
    """Yield the brackets of a container and the commas between its parts."""
    depth = 0
    for token in _TOKEN.finditer(text):
        is_first = not depth
        depth += (token[0] in _OPENING) - (token[0] in _CLOSING)
        is_separator = depth == 1 and token[0] == b','
        if is_first or is_separator or not depth:
            yield token
        if not depth:
            return
    raise ValueError('a JSON container has no end')
