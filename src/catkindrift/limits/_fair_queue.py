"""A bounded queue that serves its callers in turn."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Generic, TypeVar, final

import attrs

_Waiting = TypeVar('_Waiting')


@final
@attrs.define
class FairQueue(Generic[_Waiting]):
    """Holds waiting requests and takes one of each caller in turn.

    Args:
        limit: Most requests that may wait.
    """

    limit: int
    _by_caller: OrderedDict[str, deque[_Waiting]] = attrs.field(
        init=False,
        factory=OrderedDict,
    )
    _length: int = attrs.field(init=False, default=0)

    @property
    def is_full(self) -> bool:
        """Return whether no further request may wait."""
        return self._length >= self.limit

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def __iter__(self) -> Iterator[_Waiting]:
        """Iterate over all waiting requests, caller by caller."""
        for waiting in self._by_caller.values():
            yield from waiting

    def add(self, caller: str, request: _Waiting) -> bool:
        """Append a request of `caller` and return whether there was room."""
        if self.is_full:
            return False
        self._by_caller.setdefault(caller, deque()).append(request)
        self._length += 1
        return True

    def pop(self) -> tuple[str, _Waiting]:
        """Remove and return the next request and its caller.

        Raises:
            KeyError: The queue is empty.
        """
        caller, waiting = self._by_caller.popitem(last=False)
        request = waiting.popleft()
        self._length -= 1
        if waiting:
            self._by_caller[caller] = waiting
        return caller, request

    def pop_all(self) -> list[tuple[str, _Waiting]]:
        """Remove and return all requests in the order of their turns.

        Adding them again in this order keeps their turns.
        """
        popped: list[tuple[str, _Waiting]] = []
        while self._length:
            popped.append(self.pop())
        return popped

    def discard(self, request: _Waiting) -> bool:
        """Remove a request and return whether it waited."""
        for caller, waiting in self._by_caller.items():
            if request in waiting:
                waiting.remove(request)
                self._length -= 1
                if not waiting:
                    self._by_caller.pop(caller)
                return True
        return False
