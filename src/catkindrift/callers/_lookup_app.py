"""Serves look-ups: which entry VMs a caller should use."""

import json
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, final
from urllib.parse import parse_qs

import attrs

from catkindrift.callers._forwarder import answer_problem
from catkindrift.domain import Vm
from catkindrift.routing import LookupAnswer, LookupTable
from catkindrift.serving import Problem

_MOST_BLOCKS = 10_000
_MOST_BODY_BYTES = 1_000_000
_MILLISECONDS_PER_SECOND = 1000
_MALFORMED = (ValueError, KeyError, TypeError, AttributeError)


@final
@attrs.define(eq=False)
class LookupApp:
    """Answers single and batched look-ups from the published table.

    Args:
        table: The newest table; the loop replaces it.
        scheme: URL scheme of callers' connections.
    """

    table: LookupTable
    _scheme: str

    def serve(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Serve one look-up as a WSGI application does."""
        try:
            answers = self._answer_all(_blocks(environ))
        except _MALFORMED as malformed:
            return answer_problem(start_response, _malformed(malformed))
        documents = [self._document(answer) for answer in answers]
        is_single = environ['REQUEST_METHOD'] == 'GET'
        content = json.dumps(
            documents[0] if is_single else {'answers': documents},
        ).encode()
        lifetime_ms = min(answer.lifetime_ms for answer in answers)
        seconds = lifetime_ms // _MILLISECONDS_PER_SECOND
        start_response(
            '200 OK',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(content))),
                ('Cache-Control', f'max-age={seconds}'),
            ],
        )
        return (content,)

    def _answer_all(self, blocks: list[str]) -> list[LookupAnswer]:
        table = self.table
        return [table.answer(block) for block in blocks]

    def _document(self, answer: LookupAnswer) -> dict[str, Any]:
        return {
            'zone': answer.zone,
            'entries': [self._entry(vm) for vm in answer.entries],
            'lifetime_ms': answer.lifetime_ms,
        }

    def _entry(self, vm: Vm) -> dict[str, str]:
        return {
            'vm': vm.name,
            'zone': vm.zone,
            'url': f'{self._scheme}://{vm.address}:{vm.port}',
        }


def _blocks(environ: Any) -> list[str]:
    if environ['REQUEST_METHOD'] == 'GET':
        query = parse_qs(environ.get('QUERY_STRING', ''))
        return query.get('block') or [environ['REMOTE_ADDR']]
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if not 0 < length <= _MOST_BODY_BYTES:
        raise ValueError(f'a body of 1 to {_MOST_BODY_BYTES} bytes is needed')
    blocks = json.loads(environ['wsgi.input'].read(length))['blocks']
    if not isinstance(blocks, list) or not 0 < len(blocks) <= _MOST_BLOCKS:
        raise ValueError(f'"blocks" has to list 1 to {_MOST_BLOCKS} blocks')
    return blocks


def _malformed(error: Exception) -> Problem:
    return Problem(
        HTTPStatus.BAD_REQUEST,
        'malformed_lookup',
        f'{error}; send ?block=IPv4 or {{"blocks": ["IPv4", ...]}}',
    )
