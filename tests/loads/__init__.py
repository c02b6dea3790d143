"""Load patterns, and the generator of their requests."""

import itertools
import json
import random
from operator import attrgetter
from pathlib import Path

import attrs

FOLDER = Path(__file__).parent
PATTERNS = tuple(sorted(each.stem for each in FOLDER.glob('*.json')))
# Objects of a service; each upstream caches a part of them.
OBJECTS = 400
# Above 1: objects with low numbers are asked for more often.
_SKEW = 1.5


@attrs.frozen
class Kind:
    """One kind of request of the replayed service.

    Args:
        name: Name in the table.
        priority: Priority of its route.
        objective_ms: Time within which a response earns all its credit.
        timeout_ms: Time after which its callers give up.
        share: Share of the usual requests.
    """

    name: str
    priority: int
    objective_ms: int
    timeout_ms: int
    share: float


@attrs.frozen
class Change:
    """A time in which some requests come at a multiple of their usual rate.

    Args:
        from_ms: Start.
        to_ms: End.
        factor: Multiple of the usual rate.
        kind: Name of the only kind that it is about.
        workspace: Name of the only workspace that it is about.
        callers: Share of the callers that it is about.
    """

    from_ms: int
    to_ms: int
    factor: float
    kind: str = ''
    workspace: str = ''
    callers: float = 1

    def covers(self, at_ms, kind, workspace, caller, caller_count):
        """Return whether it multiplies the requests of one source."""
        is_now = self.from_ms <= at_ms < self.to_ms
        return (
            is_now
            and self.kind in {'', kind.name}
            and self.workspace in {'', workspace}
            and caller < self.callers * caller_count
        )


@attrs.frozen
class Pattern:
    """One load pattern, as its file describes it.

    Args:
        seed: Seed of all random numbers.
        milliseconds: Length.
        load: Usual requests a second, relative to what upstreams can serve.
        kinds: Kinds of requests.
        changes: Times with other rates.
        workspaces: Number of workspaces.
        callers: Callers of each workspace.
        gone: Start and end of the time in which a third of the upstreams is
            gone; empty for none.
        restarts_ms: When all entry VMs restart.
    """

    seed: int
    milliseconds: int
    load: float
    kinds: tuple
    changes: tuple = ()
    workspaces: int = 8
    callers: int = 10
    gone: tuple = ()
    restarts_ms: tuple = ()

    def per_source(self, capacity_per_ms):
        """Return the requests of one caller in a millisecond."""
        sources = self.workspaces * self.callers
        return self.load * capacity_per_ms / sources


@attrs.frozen
class Arrival:
    """One request of a caller."""

    at_ms: int
    kind: Kind
    workspace: str
    caller: int
    key: str


def read_pattern(name, **changes):
    """Return the pattern of a file in this folder."""
    fields = json.loads((FOLDER / f'{name}.json').read_text())
    for part, build in (('kinds', Kind), ('changes', Change)):
        found = fields.get(part, ())
        fields[part] = tuple(build(**each) for each in found)
    return Pattern(**{**fields, **changes})


def arrivals(pattern, capacity_per_ms):
    """Return the requests of a pattern in order of time.

    Args:
        pattern: The pattern.
        capacity_per_ms: Requests that all upstreams serve in a millisecond.
    """
    rng = random.Random(pattern.seed)
    per_source = pattern.per_source(capacity_per_ms)
    found = []
    sources = itertools.product(
        pattern.kinds, range(pattern.workspaces), range(pattern.callers)
    )
    for kind, workspace, caller in sources:
        found.extend(
            _of_source(
                pattern,
                rng,
                per_source * kind.share,
                (kind, f'w{workspace}', caller),
            )
        )
    return sorted(found, key=attrgetter('at_ms'))


def _of_source(pattern, rng, per_ms, source):
    kind, workspace, caller = source
    at_ms = 0
    most = max([1.0, *(each.factor for each in pattern.changes)])
    while True:
        at_ms += rng.expovariate(per_ms * most)
        if at_ms >= pattern.milliseconds:
            return
        factor = 1.0
        for change in pattern.changes:
            if change.covers(at_ms, kind, workspace, caller, pattern.callers):
                factor *= change.factor
        if rng.random() * most < factor:
            key = str(int(OBJECTS * rng.random() ** _SKEW))
            yield Arrival(
                round(at_ms),
                kind,
                workspace,
                int(workspace[1:]) * pattern.callers + caller,
                key,
            )
