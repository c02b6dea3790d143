"""A bounded queue that serves callers round robin."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Generic, TypeVar, final

import attrs

_Request = TypeVar('_Request')


@final
@attrs.define
class FairQueue(Generic[_Request]):
    """Queues requests by caller and dequeues from the callers in turn.

    Round robin keeps one busy caller from delaying all others.

    Args:
        limit: Maximum number of queued requests of all callers.
    """

    limit: int
    _by_caller: OrderedDict[str, deque[_Request]] = attrs.field(
        init=False,
        factory=OrderedDict,
    )
    _length: int = attrs.field(init=False, default=0)

    @property
    def is_full(self) -> bool:
        """Return whether the queue has reached its limit."""
        return self._length >= self.limit

    def __len__(self) -> int:
        """Return the number of queued requests of all callers."""
        return self._length

    def __iter__(self) -> Iterator[_Request]:
        """Iterate over all queued requests, grouped by caller."""
        for queued in self._by_caller.values():
            yield from queued

    def add(self, caller: str, request: _Request) -> bool:
        """Append a request of `caller`, unless the queue is full.

        Returns:
            Whether the request was added.
        """
        if self.is_full:
            return False
        self._by_caller.setdefault(caller, deque()).append(request)
        self._length += 1
        return True

    def pop(self) -> tuple[str, _Request]:
        """Remove the next request and return it with its caller.

        Raises:
            KeyError: The queue is empty.
        """
        caller, queued = self._by_caller.popitem(last=False)
        request = queued.popleft()
        self._length -= 1
        if queued:
            self._by_caller[caller] = queued
        return caller, request

    def pop_all(self) -> list[tuple[str, _Request]]:
        """Remove all requests and return them in dequeue order.

        Adding them again in this order preserves the dequeue order.
        """
        popped: list[tuple[str, _Request]] = []
        while self._length:
            popped.append(self.pop())
        return popped

    def discard(self, request: _Request) -> bool:
        """Remove a request and return whether it was in the queue."""
        for caller, queued in self._by_caller.items():
            if request in queued:
                queued.remove(request)
                self._length -= 1
                if not queued:
                    self._by_caller.pop(caller)
                return True
        return False
