"""TLS contexts for callers and for the traffic between entry VMs."""

import ssl

from catkindrift.settings import TlsSettings


def caller_server_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the context for callers' connections, nothing without TLS."""
    if not tls.enabled:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def peer_server_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the context of the listening side, nothing without TLS.

    With authorities in the settings, peers have to show a certificate too.
    """
    if not tls.enabled:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    context.set_alpn_protocols(['h2'])
    if tls.peer_ca_file:
        context.load_verify_locations(tls.peer_ca_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the context of the calling side, nothing without TLS."""
    if not tls.enabled:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH,
        cafile=tls.peer_ca_file or None,
    )
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    context.set_alpn_protocols(['h2'])
    return context
