"""Authentication and authorization for the operator API."""

import hashlib
import hmac
from typing import final

import attrs

from catkindrift.entry_settings import OperatorRole, OperatorSettings
from catkindrift.errors import AuthenticationError, ForbiddenError

_SCHEME = 'bearer '


@final
@attrs.frozen
class OperatorAuthorizer:
    """Checks bearer tokens against the digests in the settings.

    Args:
        operators: Operators with their roles. If empty, every request is
            allowed; the settings permit that on loopback only.
    """

    _operators: tuple[OperatorSettings, ...]

    def authorize(self, authorization: str, role: OperatorRole) -> str:
        """Return the name of the operator if the role allows the request.

        Args:
            authorization: Value of the Authorization header.
            role: Role that the request requires.

        Returns:
            Name of the operator, or "local" if no operators are configured.

        Raises:
            AuthenticationError: The header has no valid token.
            ForbiddenError: The token's role does not allow the request.
        """
        if not self._operators:
            return 'local'
        operator = self._find(authorization)
        if operator is None:
            raise AuthenticationError(
                'no valid token; send "Authorization: Bearer TOKEN"',
            )
        if role not in {operator.role, OperatorRole.VIEWER}:
            raise ForbiddenError(
                f'the role {operator.role.value} may only read; use a token '
                f'with the role {role.value}',
            )
        return operator.name

    def _find(self, authorization: str) -> OperatorSettings | None:
        if not authorization.lower().startswith(_SCHEME):
            return None
        token = authorization[len(_SCHEME) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                return operator
        return None
