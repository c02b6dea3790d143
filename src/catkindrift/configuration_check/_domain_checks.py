"""Checks of a configuration in the product's own format."""

from collections.abc import Iterable, Iterator

from catkindrift.configuration_check._finding import Finding, warning
from catkindrift.domain import Configuration


def check_domain_configuration(configuration: Configuration) -> list[Finding]:
    """Return entries that have no effect, or name what does not exist."""
    return [
        *_repeated('service', (each.name for each in configuration.services)),
        *_repeated('zone', (each.name for each in configuration.zones)),
        *_shifts(configuration),
        *_drains(configuration),
    ]


def _repeated(kind: str, names: Iterable[str]) -> Iterator[Finding]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield warning(
                f'{kind} {name}',
                'never has an effect, since an earlier entry has its name',
                'merge both entries, or rename one',
            )
        seen.add(name)


def _shifts(configuration: Configuration) -> Iterator[Finding]:
    regions = set(configuration.regions)
    for shift in configuration.shifts:
        place = f'shift {shift.name}'
        if configuration.service(shift.service) is None:
            yield warning(
                place,
                f'moves nothing, since there is no service {shift.service}',
                'name a service of the configuration',
            )
        unknown = {shift.source_region, shift.target_region} - regions
        for region in sorted(unknown):
            yield warning(
                place,
                f'moves nothing, since no zone belongs to region {region}',
                'name a region of the configuration',
            )
        if shift.percent and not shift.cap_per_second:
            yield warning(
                place,
                f'moves nothing: {shift.percent}% under a cap of 0',
                'raise the cap, or set the percentage to 0',
            )


def _drains(configuration: Configuration) -> Iterator[Finding]:
    for drain in configuration.drains:
        if drain.scope == 'zone' and configuration.zone(drain.target) is None:
            yield warning(
                f'drain {drain.target}',
                'empties nothing, since there is no such zone',
                'name a zone of the configuration',
            )
