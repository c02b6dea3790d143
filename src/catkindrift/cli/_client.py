"""Client of the operator API."""

import json
from typing import Any, final

import attrs
import urllib3

_TIMEOUT_SECONDS = 15.0
_FIRST_ERROR_STATUS = 400


class UnreachableError(Exception):
    """The operator API cannot be reached."""


class RefusedError(Exception):
    """The operator API refused a request.

    Args:
        status: HTTP status.
        problem: The problem document.
    """

    def __init__(self, status: int, problem: dict[str, Any]) -> None:
        """Keep the parts."""
        super().__init__(str(problem.get('detail', 'no detail was given')))
        self.status = status
        self.problem = problem


@final
@attrs.define(eq=False)
class OperatorClient:
    """Calls the operator API of one entry VM.

    Args:
        url: Base URL of the API.
        token: Bearer token, may be empty.
        ca_file: Authorities that the certificate must chain to, may be empty.
    """

    _url: str
    _token: str
    _ca_file: str
    _http: urllib3.PoolManager = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the connection pool."""
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=_TIMEOUT_SECONDS,
            ca_certs=self._ca_file or None,
        )

    def get(self, path: str) -> Any:
        """Return the document at a path below ``/v1``."""
        return self.send('GET', path)

    def send(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request and return the answer's document.

        Raises:
            UnreachableError: There was no answer.
            RefusedError: The answer is an error.
        """
        content = b'' if body is None else json.dumps(body).encode()
        try:
            answer = self._http.request(
                method,
                f'{self._url.rstrip("/")}/v1/{path}',
                body=content,
                headers=self._headers(),
            )
        except urllib3.exceptions.HTTPError as broken:
            raise UnreachableError(
                f'no answer from {self._url}: {broken}; check --url and that '
                'the entry VM runs',
            ) from broken
        document = _decode_document(answer.data)
        if answer.status >= _FIRST_ERROR_STATUS:
            raise RefusedError(answer.status, document)
        return document

    def _headers(self) -> dict[str, str]:
        headers = {'Content-Type': 'application/json'}
        if self._token:
            headers['Authorization'] = f'Bearer {self._token}'
        return headers


def _decode_document(content: bytes) -> Any:
    try:
        return json.loads(content)
    except ValueError:
        return {'detail': 'the answer is not JSON; check --url'}
