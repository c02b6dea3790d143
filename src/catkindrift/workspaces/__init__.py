"""Workspaces: API keys, precedence, home regions and quotas.

The package has no input or output. A deployment whose configuration holds no
workspaces never calls it.
"""

from catkindrift.workspaces._access import (
    Access,
    Denied,
    Granted,
    Unchecked,
    check_access,
)
from catkindrift.workspaces._fixed_shares import FixedShares
from catkindrift.workspaces._home_regions import common_homes
from catkindrift.workspaces._quota_bounds import QuotaBounds
from catkindrift.workspaces._quota_messages import (
    QuotaMessage,
    QuotaReply,
    QuotaReport,
)
from catkindrift.workspaces._quota_share import QuotaShare
from catkindrift.workspaces._quota_shares import QuotaShares
from catkindrift.workspaces._workspace import Workspace
from catkindrift.workspaces._workspace_table import (
    KeyedWorkspace,
    WorkspaceTable,
    key_digest,
)

__all__ = [
    'Access',
    'Denied',
    'FixedShares',
    'Granted',
    'KeyedWorkspace',
    'QuotaBounds',
    'QuotaMessage',
    'QuotaReply',
    'QuotaReport',
    'QuotaShare',
    'QuotaShares',
    'Unchecked',
    'Workspace',
    'WorkspaceTable',
    'check_access',
    'common_homes',
    'key_digest',
]
