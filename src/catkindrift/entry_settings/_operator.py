"""Settings for operators of the operator API."""

import enum
from typing import final

import attrs


@final
class OperatorRole(enum.StrEnum):
    """Permission level of an operator token."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'


@final
@attrs.frozen
class OperatorSettings:
    """A person or tool that may use the operator API.

    Args:
        name: Name of the operator in plans and logs.
        role: Permission level of the token.
        token_sha256: SHA-256 of the token in hexadecimal digits.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    role: OperatorRole
    token_sha256: str = attrs.field(
        validator=attrs.validators.matches_re('[0-9a-f]{64}'),
    )
