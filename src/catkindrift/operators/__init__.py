"""Operator API and the plan runner."""

from catkindrift.operators._deployment_reader import DeploymentReader
from catkindrift.operators._handlers import ApiContext
from catkindrift.operators._operator_app import operator_application
from catkindrift.operators._operator_authorizer import OperatorAuthorizer
from catkindrift.operators._operator_service import OperatorService
from catkindrift.operators._plan_runner import PlanRunner

__all__ = [
    'ApiContext',
    'DeploymentReader',
    'OperatorAuthorizer',
    'OperatorService',
    'PlanRunner',
    'operator_application',
]
