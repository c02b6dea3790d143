"""The WSGI application that operators use."""

from importlib import resources
from typing import Any, final

import cherrypy
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from catkindrift.operators._deployment_reader import DeploymentReader
from catkindrift.operators._handlers import ApiContext, Resource
from catkindrift.operators._operator_service import OperatorService
from catkindrift.operators._resources import (
    HeadroomResource,
    IntentsResource,
    PlansResource,
    ServicesResource,
    StatusResource,
    ZonesResource,
)

_CONTENT_TYPE = 'Content-Type'
_PLAIN_TEXT = 'text/plain; charset=utf-8'


@final
class _MetricsResource:
    """Serves ``/metrics``."""

    exposed = True

    def __init__(self, registry: CollectorRegistry) -> None:
        """Keep the registry."""
        self._registry = registry

    def GET(self) -> bytes:  # noqa: N802
        """Return all metrics in the text format of Prometheus."""
        cherrypy.response.headers[_CONTENT_TYPE] = CONTENT_TYPE_LATEST
        return generate_latest(self._registry)


@final
class _HealthResource:
    """Serves ``/healthz``."""

    exposed = True

    def GET(self) -> bytes:  # noqa: N802
        """Return that the process serves."""
        cherrypy.response.headers[_CONTENT_TYPE] = _PLAIN_TEXT
        return b'ok\n'


@final
class _ReadyResource(Resource):
    """Serves ``/readyz``."""

    def __init__(self, context: ApiContext, observer: DeploymentReader) -> None:
        """Keep the observer."""
        super().__init__(context)
        self._observer = observer

    def GET(self) -> bytes:  # noqa: N802
        """Return whether new callers should use this entry VM."""
        cherrypy.response.headers[_CONTENT_TYPE] = _PLAIN_TEXT
        reason = self.context.bridge.call(self._observer.not_ready_reason)
        if reason:
            cherrypy.response.status = 503
            return f'{reason}\n'.encode()
        return b'ready\n'


@final
class _OpenApiResource:
    """Serves ``/v1/openapi.json``."""

    exposed = True

    def GET(self) -> bytes:  # noqa: N802
        """Return the OpenAPI document of the operator API."""
        cherrypy.response.headers[_CONTENT_TYPE] = 'application/json'
        package = resources.files('catkindrift.operators')
        return package.joinpath('openapi.json').read_bytes()


@final
class _Node:
    """Inner node of the path tree, without a page of its own."""

    exposed = False


def operator_application(
    context: ApiContext,
    service: OperatorService,
    observer: DeploymentReader,
    registry: CollectorRegistry,
) -> Any:
    """Return the WSGI application of the operator API.

    Args:
        context: What page handlers need.
        service: What operators can do.
        observer: Views of the deployment.
        registry: Metrics.
    """
    parts = (context, service, observer)
    version: Any = _Node()
    version.services = ServicesResource(*parts)
    version.zones = ZonesResource(*parts)
    version.intents = IntentsResource(*parts)
    version.plans = PlansResource(*parts)
    version.status = StatusResource(*parts)
    version.headroom = HeadroomResource(*parts)
    version.openapi_json = _OpenApiResource()
    root: Any = _Node()
    root.v1 = version
    root.metrics = _MetricsResource(registry)
    root.healthz = _HealthResource()
    root.readyz = _ReadyResource(context, observer)
    cherrypy.config.update(
        {'log.screen': False, 'environment': 'embedded'},
    )
    application = cherrypy.Application(
        root,
        '',
        {'/': {'request.dispatch': cherrypy.dispatch.MethodDispatcher()}},
    )
    application.log.access_log.disabled = True
    application.log.screen = False
    return application
