"""TLS contexts for callers and for the traffic between entry VMs."""

import ssl

from catkindrift.entry_settings import TlsSettings


def caller_server_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the server context for callers, or None without TLS."""
    if not tls.enabled:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def peer_server_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the server context for peers, or None without TLS.

    If the settings name a CA file, peers must present a certificate.
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
    """Return the client context for peers, or None without TLS."""
    if not tls.enabled:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH,
        cafile=tls.peer_ca_file or None,
    )
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    context.set_alpn_protocols(['h2'])
    return context
