"""WSGI application of the operator API."""

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
        """Store the registry."""
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
        """Return 200 while the process can handle requests."""
        cherrypy.response.headers[_CONTENT_TYPE] = _PLAIN_TEXT
        return b'ok\n'


@final
class _ReadyResource(Resource):
    """Serves ``/readyz``."""

    def __init__(self, context: ApiContext, reader: DeploymentReader) -> None:
        """Store the reader."""
        super().__init__(context)
        self._reader = reader

    def GET(self) -> bytes:  # noqa: N802
        """Return 200 if this VM is ready for callers, 503 and why if not."""
        cherrypy.response.headers[_CONTENT_TYPE] = _PLAIN_TEXT
        reason = self.context.bridge.call(self._reader.not_ready_reason)
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
    """Inner node of the URL tree, which handles no requests itself."""

    exposed = False


def operator_application(
    context: ApiContext,
    service: OperatorService,
    reader: DeploymentReader,
    registry: CollectorRegistry,
) -> Any:
    """Return the WSGI application of the operator API.

    Args:
        context: Shared dependencies of the request handlers.
        service: Operations that change the configuration.
        reader: Reads the state of the deployment.
        registry: Registry of the metrics to serve.
    """
    dependencies = (context, service, reader)
    v1: Any = _Node()
    v1.services = ServicesResource(*dependencies)
    v1.zones = ZonesResource(*dependencies)
    v1.intents = IntentsResource(*dependencies)
    v1.plans = PlansResource(*dependencies)
    v1.status = StatusResource(*dependencies)
    v1.headroom = HeadroomResource(*dependencies)
    v1.openapi_json = _OpenApiResource()
    root: Any = _Node()
    root.v1 = v1
    root.metrics = _MetricsResource(registry)
    root.healthz = _HealthResource()
    root.readyz = _ReadyResource(context, reader)
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
