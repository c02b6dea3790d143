"""Settings for TLS."""

from typing import final

import attrs


@final
@attrs.frozen
class TlsSettings:
    """Certificate and key files; empty values leave TLS off.

    Args:
        certificate_file: PEM chain shown to callers, operators and peers.
        key_file: PEM private key of the certificate.
        peer_ca_file: PEM authorities that peers' certificates must chain to.
    """

    certificate_file: str = ''
    key_file: str = ''
    peer_ca_file: str = ''

    @property
    def enabled(self) -> bool:
        """Return whether connections use TLS."""
        return bool(self.certificate_file)
