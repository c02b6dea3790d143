"""Placement of requests on the platform's upstreams, without I/O."""

from catkindrift.steering._bounds import SteeringBounds
from catkindrift.steering._caller_limits import CallerLimits
from catkindrift.steering._candidate_order import CandidateOrder
from catkindrift.steering._cold_rate_limiter import ColdRateLimiter
from catkindrift.steering._configuration import RoutingConfiguration
from catkindrift.steering._cost import CostModel
from catkindrift.steering._directory_list import addresses_for, nearest
from catkindrift.steering._distances import ZoneDistances
from catkindrift.steering._entry_vm_record import EntryVmRecord
from catkindrift.steering._heartbeat import (
    Heartbeat,
    MemberFacts,
    Sighting,
    StoreNews,
)
from catkindrift.steering._limit_change import LimitChange
from catkindrift.steering._limit_notice import LimitNotice
from catkindrift.steering._load_imbalance import load_imbalance
from catkindrift.steering._load_report import LoadReport
from catkindrift.steering._local_choices import LocalChoices
from catkindrift.steering._locality import Locality
from catkindrift.steering._member_table import MAX_DIRECT_MEMBERS
from catkindrift.steering._members import Members
from catkindrift.steering._neighbours import neighbours_of
from catkindrift.steering._packed_signs import (
    PackedSign,
    pack_signs,
    process_key,
    unpack_signs,
)
from catkindrift.steering._placement import Placement
from catkindrift.steering._placement_request import PlacementRequest
from catkindrift.steering._placement_result import (
    ChoiceReason,
    NotPlaced,
    NotPlacedReason,
    Placed,
)
from catkindrift.steering._request_kind import RequestKind
from catkindrift.steering._response_silence import ResponseSilence
from catkindrift.steering._rotation import WeightedRotation
from catkindrift.steering._route import Route, WeightedService
from catkindrift.steering._service_latency import ServiceLatency
from catkindrift.steering._service_rules import ServiceRules
from catkindrift.steering._shared_retry_budget import SharedRetryBudget
from catkindrift.steering._time_span import TimeSpan
from catkindrift.steering._unseen_restarts import UnseenRestarts
from catkindrift.steering._upstream import Upstream
from catkindrift.steering._upstream_limits import UpstreamLimits
from catkindrift.steering._upstream_reachability import UpstreamReachability
from catkindrift.steering._upstream_registry import UpstreamRegistry
from catkindrift.steering._upstream_state import UpstreamState
from catkindrift.steering._zone_delegates import ZoneDelegates

__all__ = [
    'MAX_DIRECT_MEMBERS',
    'CallerLimits',
    'CandidateOrder',
    'ChoiceReason',
    'ColdRateLimiter',
    'CostModel',
    'EntryVmRecord',
    'Heartbeat',
    'LimitChange',
    'LimitNotice',
    'LoadReport',
    'LocalChoices',
    'Locality',
    'MemberFacts',
    'Members',
    'NotPlaced',
    'NotPlacedReason',
    'PackedSign',
    'Placed',
    'Placement',
    'PlacementRequest',
    'RequestKind',
    'ResponseSilence',
    'Route',
    'RoutingConfiguration',
    'ServiceLatency',
    'ServiceRules',
    'SharedRetryBudget',
    'Sighting',
    'SteeringBounds',
    'StoreNews',
    'TimeSpan',
    'UnseenRestarts',
    'Upstream',
    'UpstreamLimits',
    'UpstreamReachability',
    'UpstreamRegistry',
    'UpstreamState',
    'WeightedRotation',
    'WeightedService',
    'ZoneDelegates',
    'ZoneDistances',
    'addresses_for',
    'load_imbalance',
    'nearest',
    'neighbours_of',
    'pack_signs',
    'process_key',
    'unpack_signs',
]
