"""Conversion between domain objects and JSON."""

from typing import Any, TypeVar

import cattrs
from cattrs.gen import make_dict_unstructure_fn, override
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union

from catkindrift.domain._intent import Intent
from catkindrift.domain._vm import Vm
from catkindrift.errors import InvalidInputError

_Decoded = TypeVar('_Decoded')

_DECODE_ERRORS = (ValueError, cattrs.BaseValidationError, TypeError, KeyError)
_CONVERTER = make_converter(forbid_extra_keys=True)
# Entry VMs of an earlier release refuse keys that they don't know.
_CONVERTER.register_unstructure_hook(
    Vm,
    make_dict_unstructure_fn(
        Vm, _CONVERTER, started_ms=override(omit_if_default=True)
    ),
)
configure_tagged_union(
    Intent,
    _CONVERTER,
    tag_generator=lambda kind: kind.__name__.removesuffix('Intent').lower(),
    tag_name='kind',
)


def encode_json(source: object) -> str:
    """Encode an attrs object of the domain as JSON text."""
    return _CONVERTER.dumps(source)


def unstructure(source: object, as_type: Any = None) -> Any:
    """Convert an object to dictionaries and lists for a JSON encoder.

    Args:
        source: Attrs object, or a collection of them.
        as_type: Type to convert as, needed for unions; the type of `source`
            by default.
    """
    return _CONVERTER.unstructure(source, unstructure_as=as_type)


def decode_json(text: str | bytes, as_type: type[_Decoded]) -> _Decoded:
    """Decode JSON text into an object of `as_type`.

    Args:
        text: JSON document.
        as_type: An attrs class, or a union registered with the converter.

    Raises:
        InvalidInputError: The text is not valid JSON or does not match the
            type.
    """
    try:
        return _CONVERTER.loads(text, as_type)
    except _DECODE_ERRORS as malformed:
        raise InvalidInputError(_describe(malformed)) from malformed


def _describe(error: Exception) -> str:
    if isinstance(error, cattrs.BaseValidationError):
        problems = '; '.join(cattrs.transform_error(error))
        return f'the body is invalid: {problems}; correct these fields'
    return f'the body is not valid JSON: {error}; send a JSON object'
