"""Cost of decoding a configuration, and of finding a route and a workspace."""

import time

from catkindrift.platform import parse_configuration
from catkindrift.workspaces import key_digest
from tests.platform_deployment import SAFE, configuration

# The largest configuration that the issue names.
_ROUTES = 1400
_KEYS = 10_000
_LOOKUPS = 20_000
_MICROSECONDS = 1_000_000
_WORKSPACES = 100


def _document(routes, keys):
    each = keys // _WORKSPACES
    return configuration(
        1,
        [{**SAFE, 'path_prefix': f'/p{number}/'} for number in range(routes)],
        [
            (
                f'w{number}',
                {'api_keys': [f'key-{number}-{key}' for key in range(each)]},
            )
            for number in range(_WORKSPACES)
        ],
    )


def _microseconds(call, repeats):
    began = time.perf_counter()
    for number in range(repeats):
        call(number)
    return (time.perf_counter() - began) * _MICROSECONDS / repeats


def main():
    """Print the cost in microseconds at three sizes."""
    print('routes   keys  decode us  route us  key us')
    for scale in (100, 10, 1):
        routes, keys = _ROUTES // scale, _KEYS // scale
        document = _document(routes, keys)
        known = parse_configuration(document)
        decode_us = _microseconds(lambda _: parse_configuration(document), 5)
        route_us = _microseconds(
            lambda number: known.find_route(
                'quotes.example', f'/p{number % routes}/x/y'
            ),
            _LOOKUPS,
        )
        key_us = _microseconds(
            lambda number: known.workspaces.find(
                key_digest(b'key-%d-0' % (number % _WORKSPACES))
            ),
            _LOOKUPS,
        )
        print(
            f'{routes:6} {keys:6} {decode_us:10.0f} '
            f'{route_us:9.1f} {key_us:7.1f}'
        )


if __name__ == '__main__':
    main()
