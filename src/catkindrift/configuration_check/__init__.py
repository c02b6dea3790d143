"""Check of a configuration before an operator sends it; no input or output."""

from catkindrift.configuration_check._checks import check_configuration
from catkindrift.configuration_check._differences import (
    Difference,
    compare_configurations,
)
from catkindrift.configuration_check._domain_checks import (
    check_domain_configuration,
)
from catkindrift.configuration_check._finding import Finding, Severity

__all__ = [
    'Difference',
    'Finding',
    'Severity',
    'check_configuration',
    'check_domain_configuration',
    'compare_configurations',
]
