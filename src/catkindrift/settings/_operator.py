"""Settings for operators."""

import enum
from typing import final

import attrs


@final
class OperatorRole(enum.StrEnum):
    """What a token allows."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'


@final
@attrs.frozen
class OperatorSettings:
    """A person or tool that may use the operator API.

    Args:
        name: Name that is written to plans and logs.
        role: What the token allows.
        token_sha256: SHA-256 of the token in hexadecimal digits.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    role: OperatorRole
    token_sha256: str = attrs.field(
        validator=attrs.validators.matches_re('[0-9a-f]{64}'),
    )
