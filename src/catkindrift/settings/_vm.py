"""Identity of an entry VM."""

from typing import final

import attrs


@final
@attrs.frozen
class VmSettings:
    """Identity of the VM.

    Args:
        name: Name of the VM in the platform's VM list.
        zone: Availability zone of the VM.
        region: Region of the availability zone.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    zone: str = attrs.field(validator=attrs.validators.min_len(1))
    region: str = attrs.field(validator=attrs.validators.min_len(1))
