"""Conversion between domain objects and JSON."""

from typing import Any, TypeVar

import cattrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union

from catkindrift.domain._intent import Intent
from catkindrift.errors import InvalidInputError

_Decoded = TypeVar('_Decoded')

_DECODE_ERRORS = (ValueError, cattrs.BaseValidationError, TypeError, KeyError)
_CONVERTER = make_converter(forbid_extra_keys=True)
configure_tagged_union(
    Intent,
    _CONVERTER,
    tag_generator=lambda kind: kind.__name__.removesuffix('Intent').lower(),
    tag_name='kind',
)


def encode_json(source: object) -> str:
    """Return `source`, an attrs object of this package, as JSON text."""
    return _CONVERTER.dumps(source)


def unstructure(source: object, as_type: Any = None) -> Any:
    """Return `source` as dictionaries and lists for a JSON encoder."""
    return _CONVERTER.unstructure(source, unstructure_as=as_type)


def decode_json(text: str | bytes, as_type: type[_Decoded]) -> _Decoded:
    """Decode JSON text into an object of `as_type`.

    Args:
        text: JSON document.
        as_type: An attrs class or a union that this module knows.

    Raises:
        InvalidInputError: The text is not JSON or does not fit the type.
    """
    try:
        return _CONVERTER.loads(text, as_type)
    except _DECODE_ERRORS as malformed:
        raise InvalidInputError(_describe(malformed)) from malformed


def _describe(error: Exception) -> str:
    if isinstance(error, cattrs.BaseValidationError):
        found = '; '.join(cattrs.transform_error(error))
        return f'the body does not fit: {found}; correct these fields'
    return f'the body is not valid JSON: {error}; send a JSON object'
