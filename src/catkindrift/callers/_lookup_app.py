"""Serves look-ups of the entry VMs that a caller should use."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, final
from urllib.parse import parse_qs

import attrs

from catkindrift.callers._problem_response import problem_response
from catkindrift.callers._read_body import read_body
from catkindrift.callers._time_limits import TimeLimits
from catkindrift.domain import Vm
from catkindrift.http1 import CallerRequest, Response
from catkindrift.routing import LookupResult, LookupTable
from catkindrift.serving import Problem

_MAX_BLOCKS = 10_000
_MAX_BODY_BYTES = 1_000_000
_MILLISECONDS_PER_SECOND = 1000
_MALFORMED_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


@final
@attrs.define(eq=False, repr=False)
class LookupApp:
    """Serves single and batched look-ups.

    Args:
        table: Returns the active look-up table.
        scheme: URL scheme of the returned entry VMs.
        limits: Limit the time to wait for a body.
    """

    _table: Callable[[], LookupTable]
    _scheme: str
    _limits: TimeLimits

    async def serve(self, request: CallerRequest) -> Response:
        """Return the response to one look-up request."""
        is_single = request.method == b'GET'
        try:
            lookups = self._look_up_all(await self._blocks(request))
        except _MALFORMED_ERRORS as error:
            return problem_response(_malformed_problem(error))
        documents = [self._document(lookup) for lookup in lookups]
        content = json.dumps(
            documents[0] if is_single else {'answers': documents},
        )
        lifetime_ms = min(lookup.lifetime_ms for lookup in lookups)
        seconds = lifetime_ms // _MILLISECONDS_PER_SECOND
        return Response(
            HTTPStatus.OK,
            [
                (b'Content-Type', b'application/json'),
                (b'Cache-Control', b'max-age=%d' % seconds),
            ],
            content.encode(),
        )

    async def _blocks(self, request: CallerRequest) -> list[str]:
        if request.method == b'GET':
            query = parse_qs(request.query.decode('latin-1'))
            return query.get('block') or [request.caller]
        body = await read_body(request, _MAX_BODY_BYTES, self._limits)
        if not body:
            raise ValueError(f'the body must have 1 to {_MAX_BODY_BYTES} bytes')
        blocks = json.loads(body)['blocks']
        if not isinstance(blocks, list) or not 0 < len(blocks) <= _MAX_BLOCKS:
            raise ValueError(f'"blocks" must list 1 to {_MAX_BLOCKS} blocks')
        return blocks

    def _look_up_all(self, blocks: list[str]) -> list[LookupResult]:
        table = self._table()
        return [table.look_up(block) for block in blocks]

    def _document(self, lookup: LookupResult) -> dict[str, Any]:
        return {
            'zone': lookup.zone,
            'entries': [self._entry(vm) for vm in lookup.entries],
            'lifetime_ms': lookup.lifetime_ms,
        }

    def _entry(self, vm: Vm) -> dict[str, str]:
        return {
            'vm': vm.name,
            'zone': vm.zone,
            'url': f'{self._scheme}://{vm.address}:{vm.port}',
        }


def _malformed_problem(error: Exception) -> Problem:
    return Problem(
        HTTPStatus.BAD_REQUEST,
        'malformed_lookup',
        f'{error}; send ?block=IPv4 or {{"blocks": ["IPv4", ...]}}',
    )
