"""Structured log of failed and refused requests."""

from collections.abc import Iterable
from typing import Any, final

import attrs
import msgspec

from catkindrift.blame import Verdict
from catkindrift.clock import Clock
from catkindrift.gateway._bounded_output import BoundedOutput
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.http1 import CallerRequest, RejectedRequest
from catkindrift.platform import request_id
from catkindrift.shutdown import Shutdown
from catkindrift.steering import Placed, UpstreamLimits, UpstreamState
from catkindrift.workspaces import QuotaShare

# Characters of a target in a log line; uploads may have long queries.
_MAX_TARGET_CHARS = 200


@final
@attrs.define(eq=False, repr=False)
class RequestLog:
    """Writes a JSON line for each refusal, failed attempt and final failure.

    A request whose first attempt succeeds is not logged. All others are, with
    the decision, the state of the upstream it was based on, the age of that
    state, and the outcome.

    Args:
        clock: Source of time.
        vm_name: Name of this entry VM.
        output: Destination of the lines.
        limits: Limits of upstreams.
    """

    _clock: Clock
    _vm_name: str
    _output: BoundedOutput
    _limits: UpstreamLimits

    def log_refusal(
        self,
        request_id: str,
        reason: str,
        retry_after_ms: float,
        version: int,
    ) -> None:
        """Log that a request was refused without being run.

        Args:
            request_id: Id that the caller gave the request.
            reason: Machine-readable reason.
            retry_after_ms: Advised delay before a retry.
            version: Version of the configuration in force; 0 if none.
        """
        self._write(
            'refused',
            id=request_id,
            reason=reason,
            retry_after_ms=round(retry_after_ms),
            configuration=version,
        )

    def log_rejection(
        self, request_id: str, rejected: RejectedRequest, listener: str
    ) -> None:
        """Log that a request violates HTTP or a limit and was not run.

        Args:
            request_id: Id that the caller gave the request.
            rejected: The request.
            listener: Name of the address at which it arrived.
        """
        rejection = rejected.rejection
        self._write(
            'rejected',
            id=request_id[:_MAX_TARGET_CHARS],
            status=rejection.status.value,
            reason=rejection.reason.value,
            detail=rejection.detail[:_MAX_TARGET_CHARS],
            listener=listener,
            caller=rejected.caller,
        )

    def log_ignored_options(
        self, request: CallerRequest, options: Iterable[bytes]
    ) -> None:
        """Log that Connection names headers that are meant for all recipients.

        Args:
            request: The request, which is forwarded as without the options.
            options: The options in lower case.
        """
        named = b', '.join(sorted(options)).decode('latin-1')
        self._write(
            'ignored_option',
            id=request_id(request.headers)[:_MAX_TARGET_CHARS],
            options=named,
            caller=request.caller,
        )

    def log_over_quota(
        self,
        request_id: str,
        workspace: str,
        retry_after_ms: float,
        share: QuotaShare,
    ) -> None:
        """Log that a request was refused since its workspace has sent more.

        Args:
            request_id: Id that the caller gave the request.
            workspace: Name of the workspace.
            retry_after_ms: Advised delay before a retry.
            share: What this VM may admit.
        """
        self._write(
            'over_quota',
            id=request_id,
            workspace=workspace,
            retry_after_ms=round(retry_after_ms),
            share=share.requests,
            share_kind=share.kind.value,
            share_age_ms=share.age_ms,
        )

    def log_failed_attempt(
        self,
        pending: PendingRequest,
        choice: Placed,
        outcome: str,
    ) -> None:
        """Log a failed attempt with the state of its upstream.

        Args:
            pending: The request.
            choice: The upstream and why it was chosen.
            outcome: Text of the attempt's outcome.
        """
        now_ms = self._clock.now_ms()
        self._write(
            'attempt_failed',
            id=pending.request_id,
            outcome=outcome,
            service=pending.service,
            **_identity_fields(pending),
            choice=choice.reason.value,
            expected_ms=round(choice.cost_ms),
            left_ms=pending.deadline_ms - now_ms,
            **_upstream_fields(choice.state, self._limits, now_ms),
        )

    def log_verdict(self, pending: PendingRequest, verdict: Verdict) -> None:
        """Log why a request may not run, or not now.

        Args:
            pending: The request.
            verdict: What is known against it.
        """
        self._write(
            'blamed',
            id=pending.request_id,
            verdict=verdict.text,
            **_identity_fields(pending),
        )

    def log_handover(
        self, pending: PendingRequest, receiver: str, outcome: str
    ) -> None:
        """Log a hand-over to another entry VM that brought no response.

        Args:
            pending: The request.
            receiver: Name of the other entry VM.
            outcome: Text of the outcome.
        """
        self._write(
            'handover_failed',
            id=pending.request_id,
            outcome=outcome,
            receiver=receiver,
            left_ms=pending.deadline_ms - self._clock.now_ms(),
        )

    def log_shutdown(
        self, phase: str, shutdown: Shutdown, in_progress: int
    ) -> None:
        """Log that a phase of the shutdown begins.

        Args:
            phase: Name of the phase.
            shutdown: The shutdown.
            in_progress: Number of requests without a complete response.
        """
        self._write_rare(
            'shutdown',
            phase=phase,
            elapsed_ms=shutdown.elapsed_ms,
            shutdown_left_ms=shutdown.left_ms,
            in_progress=in_progress,
        )

    def log_during_shutdown(
        self, pending: PendingRequest, outcome: str, shutdown: Shutdown
    ) -> None:
        """Log what becomes of a request while this process is stopping.

        Args:
            pending: The request.
            outcome: What becomes of it.
            shutdown: The shutdown.
        """
        now_ms = self._clock.now_ms()
        # All requests that are cut are cut at once, more than the limit.
        write = self._write_rare if outcome == 'cut' else self._write
        write(
            f'shutdown_{outcome}',
            id=pending.request_id,
            route=pending.route.name,
            elapsed_ms=shutdown.elapsed_ms,
            shutdown_left_ms=shutdown.left_ms,
            left_ms=pending.deadline_ms - now_ms,
            took_ms=now_ms - pending.request.arrived_ms,
            may_have_run=pending.may_have_run,
            arrivals=pending.delivered_attempts,
            tried=sorted(pending.excluded),
        )

    def log_final_response(self, pending: PendingRequest, status: int) -> None:
        """Log the final response to a request that failed or was retried.

        Args:
            pending: The request.
            status: HTTP status of the response.
        """
        now_ms = self._clock.now_ms()
        choice = pending.choice
        upstream_fields = (
            _upstream_fields(choice.state, self._limits, now_ms)
            if choice
            else {}
        )
        self._write(
            'ended',
            id=pending.request_id,
            status=status,
            route=pending.route.name,
            **_identity_fields(pending),
            took_ms=now_ms - pending.request.arrived_ms,
            arrivals=pending.delivered_attempts,
            tried=sorted(pending.excluded),
            expected_ms=round(choice.cost_ms) if choice else None,
            **upstream_fields,
        )

    def log_dropped_lines(self) -> None:
        """Write buffered lines, and log how many were dropped, if any."""
        self._output.flush()
        count = self._output.take_dropped_count()
        if count:
            self._write('left_out', lines=count)

    def _write(self, event: str, **fields: Any) -> None:
        self._output.write(self._encode(event, fields))

    def _write_rare(self, event: str, **fields: Any) -> None:
        """Write a line that is not dropped for the number of lines."""
        self._output.write(self._encode(event, fields), is_rare=True)

    def _encode(self, event: str, fields: dict[str, Any]) -> str:
        entry = {
            'at_ms': self._clock.wall_ms(),
            'vm': self._vm_name,
            **fields,
            'event': event,
        }
        return f'{msgspec.json.encode(entry).decode()}\n'


def _age_ms(reported_ms: int, now_ms: int) -> int | None:
    """Return the age of a report, or None if there was none."""
    return now_ms - reported_ms if reported_ms > 0 else None


def _upstream_fields(
    state: UpstreamState, limits: UpstreamLimits, now_ms: int
) -> dict[str, Any]:
    """Return the state of an upstream, with the ages of what it reported."""
    upstream = state.upstream
    return {
        'upstream': upstream.id,
        'zone': upstream.zone,
        'revision': upstream.revision,
        'born_ms': upstream.born_ms,
        'known_for_ms': now_ms - state.first_seen_ms,
        'load': round(state.load(now_ms), 1),
        'load_age_ms': _age_ms(state.load_reported_ms, now_ms),
        'host_speed': state.host_speed.percent,
        'host_speed_age_ms': _age_ms(state.host_speed.reported_ms, now_ms),
        'in_flight': state.in_flight,
        'failure_rate': round(state.failure_rate, 2),
        'limit_per_s': limits.per_second(upstream.incarnation),
        'is_cold': state.is_cold(now_ms),
        'is_ejected': state.ejected_until_ms > now_ms,
    }


def _identity_fields(pending: PendingRequest) -> dict[str, str]:
    """Return by what repeats of a request can be recognized."""
    request = pending.request
    target = request.target.decode('latin-1')
    workspace = pending.workspace
    return {
        **({'workspace': workspace.name} if workspace else {}),
        'fingerprint': pending.fingerprint,
        'target': target[:_MAX_TARGET_CHARS],
        'caller': request.caller,
    }
