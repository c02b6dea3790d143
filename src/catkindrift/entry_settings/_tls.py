"""Settings for TLS."""

from typing import final

import attrs


@final
@attrs.frozen
class TlsSettings:
    """Certificate and key files; an empty `certificate_file` disables TLS.

    Args:
        certificate_file: PEM certificate chain for callers, operators and
            peers.
        key_file: PEM private key of the certificate.
        peer_ca_file: PEM certificates of the authorities that must have
            signed the certificates of peers.
    """

    certificate_file: str = ''
    key_file: str = ''
    peer_ca_file: str = ''

    @property
    def enabled(self) -> bool:
        """Whether connections use TLS."""
        return bool(self.certificate_file)
