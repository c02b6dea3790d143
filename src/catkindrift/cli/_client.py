"""HTTP client of the operator API."""

import json
from typing import Any, final

import attrs
import urllib3

_TIMEOUT_SECONDS = 15.0
_FIRST_ERROR_STATUS = 400


class UnreachableError(Exception):
    """An entry VM cannot be reached over HTTP."""


class RefusedError(Exception):
    """The operator API rejected a request.

    Args:
        status: HTTP status code.
        problem: Problem document of the response.
    """

    def __init__(self, status: int, problem: dict[str, Any]) -> None:
        """Use the problem's detail as the message."""
        super().__init__(
            str(problem.get('detail', 'the response has no detail'))
        )
        self.status = status
        self.problem = problem


@final
@attrs.define(eq=False, repr=False)
class OperatorClient:
    """Sends requests to the operator API of one entry VM.

    Args:
        url: Base URL of the API.
        token: Bearer token; empty to send none.
        ca_file: PEM file of trusted authorities; empty for those of the
            system.
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
        """Get the document at a path below ``/v1``.

        Raises:
            UnreachableError: No response was received.
            RefusedError: The response is an error.
        """
        return self.send('GET', path)

    def send(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request to a path below ``/v1``.

        Args:
            method: HTTP method.
            path: Path below ``/v1``, without a leading slash.
            body: Data to send as JSON, None for an empty body.

        Returns:
            The decoded JSON document of the response.

        Raises:
            UnreachableError: No response was received.
            RefusedError: The response is an error.
        """
        content = b'' if body is None else json.dumps(body).encode()
        try:
            response = self._http.request(
                method,
                f'{self._url.rstrip("/")}/v1/{path}',
                body=content,
                headers=self._headers(),
            )
        except urllib3.exceptions.HTTPError as broken:
            raise UnreachableError(
                f'no response from {self._url}: {broken}; check --url and that '
                'the entry VM is running',
            ) from broken
        document = _decode_document(response.data)
        if response.status >= _FIRST_ERROR_STATUS:
            raise RefusedError(response.status, document)
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
        return {'detail': 'the response is not JSON; check --url'}
