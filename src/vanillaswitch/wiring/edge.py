"""Wires a process on the users' platform: the composition root of ``edge``."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import errno
import functools
import random
import time

import gevent

from vanillaswitch.coordination import hedged_table
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import operator_table
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.coordination.fleet import telemetry
from vanillaswitch.coordination.fleet.admission import gate as gates
from vanillaswitch.coordination.fleet.admission import load_reports
from vanillaswitch.coordination.fleet.admission import refusals
from vanillaswitch.coordination.fleet.job_requests import job_service
from vanillaswitch.coordination.fleet.job_requests import job_store
from vanillaswitch.coordination.fleet.job_requests import peer_calls
from vanillaswitch.coordination.fleet.job_requests import request_forwarder
from vanillaswitch.coordination.fleet.ownership import owner as owners
from vanillaswitch.coordination.fleet.ownership import (
    owner_candidate as candidates,
)
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.coordination.fleet.ownership import owner_rpc
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.internal import logs
from vanillaswitch.internal import loop_blocking
from vanillaswitch.internal import metrics
from vanillaswitch.internal import supervision
from vanillaswitch.internal import usage
from vanillaswitch.platform import advice
from vanillaswitch.platform import http_table
from vanillaswitch.platform import job_request_handler
from vanillaswitch.platform import machines
from vanillaswitch.platform import operator_rows
from vanillaswitch.platform import settings as platform_settings
from vanillaswitch.platform import store_rows
from vanillaswitch.platform import upstreams
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import deployment as deployments
from vanillaswitch.transport import caller_http
from vanillaswitch.transport import plain_http
from vanillaswitch.transport import sockets
from vanillaswitch.transport import streams
from vanillaswitch.transport import text_pages

READY_S = 2.0
"""A process whose store did not answer for so long takes no new clients:
other machines may reach it. The owner's row is read every half second."""

PROBE_TIMEOUT_S = 0.3
"""Limit for the connection that looks for a listening owner."""

UNREADY_S = 2.2
"""The balancer asks every second and stops sending after two misses; clients
that it still sends are served meanwhile."""

FLUSH_S = 0.2
"""How long lines of the log are gathered before they are written."""

USAGE_S = 2.0
"""How often a busy process tells what it uses: twice within the time that its
renewals may be late before it loses the fleet, and few lines."""

BUSY_LATE_S = 0.05
"""A process whose timers are so late is busy: calm ones are late by 1 ms, one
on a machine that is five times slower by 26 to 67 ms."""

BUSY_BYTES_PER_S = 50_000
"""As is one that moves so much: a fifth of a link of 2 Mbit/s."""

REPORT_BLOCKING_S = owner_monitor.RENEW_INTERVAL_S / 8
"""A greenlet that blocks the event loop for so long is reported. It is a small
part of the pause between two renewals of a lease."""

_KB = 1000
_MS = 1000

DRAIN_S = 2.0
"""Longest wait for requests in flight once no more are accepted."""

_MAX_BODY_BYTES = 262_144


class BootClock(clocks.SystemClock):
    """Counts the time in which the machine was suspended.

    The monotonic clock stands still meanwhile: a lease measured by it would
    look valid after the machine wakes, although others have taken over.
    """

    def monotonic(self) -> float:
        """Returns seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def _probe(address: str) -> int:
    try:
        sockets.connect(address, PROBE_TIMEOUT_S).close()
    except OSError as error:
        return error.errno or errno.EIO
    return 0


@dataclasses.dataclass(frozen=True)
class Edge:
    """A running process.

    Attributes:
        server: where clients are served.
        member: its part in owning the fleet.
    """

    server: caller_http.Server
    member: candidates.OwnerCandidate
    state: "_State"

    def stop(self, grace_s: float) -> None:
        """Shuts down gracefully: hands over, then lets clients go."""
        self.state.leaving = True
        self.member.shut_down()
        gevent.sleep(min(UNREADY_S, grace_s / 2))
        self.server.drain(min(DRAIN_S, grace_s / 4))


@dataclasses.dataclass
class _State:
    leaving: bool = False


def _outside(
    settings: deployments.Deployment,
    client: plain_http.PlainClient,
    store: http_table.HttpTable,
    table: platform.Table,
    operator_view: operator_table.OperatorTable,
    shared: reference_clock.ReferenceClock,
) -> owners.Dependencies:
    return owners.Dependencies(
        table=table,
        feed=store,
        upstreams=upstreams.HttpUpstreams(client),
        machines=machines.HttpMachines(
            client, settings.machines_address, settings.process
        ),
        advisor=advice.HttpAdvisor(client, settings.advice_address),
        registration_table=upstreams.INSTANCE_TABLE,
        decode_registration=upstreams.decode_registration,
        waves=operator_view,
        time=shared,
        partition_of=store_rows.partition_of_key,
    )


def _operators(
    settings: deployments.Deployment,
    table: platform.Table,
    shared: reference_clock.ReferenceClock,
    told: telemetry.Telemetry,
) -> operator_table.OperatorTable:
    form = operator_table.OperatorFormat(
        config_key=operator_rows.CONFIG_KEY,
        wave_prefix=operator_rows.WAVE_PREFIX,
        status_table=operator_rows.STATUS_TABLE,
        decode_config=functools.partial(
            operator_rows.decode_config,
            requires_keys=platform_settings.ACCOUNTS_CONTRACT
            in settings.contracts,
        ),
        decode_wave=operator_rows.decode_wave,
        encode_wave_status=operator_rows.encode_wave_status,
    )
    return operator_table.OperatorTable(table, form, shared, told.emit)


@dataclasses.dataclass(frozen=True)
class _SubmissionAdmission:
    """Parts of a process that refuses submissions for load."""

    refusal_log: refusals.RefusalLog
    reports: load_reports.LoadReports
    gate: gates.AdmissionGate


def _admission(
    settings: deployments.Deployment,
    table: platform.Table,
    asking: peer_calls.PeerCalls,
    clock: clocks.Clock,
    boot: str,
    shared: reference_clock.ReferenceClock,
    view: operator_table.OperatorTable,
    told: telemetry.Telemetry,
    member: Callable[[], candidates.OwnerCandidate],
) -> _SubmissionAdmission | None:
    if not settings.overload.admission:
        return None

    def measured(question: str) -> peers.LoadAnswer | None:
        owner = member().owner
        return None if owner is None else owner.answer_load(question)

    log = refusals.RefusalLog(table, clock, lambda: shared.store_now_ms, boot)
    reports = load_reports.LoadReports(
        asking, lambda: member().owner_address, measured, clock
    )
    gate = gates.AdmissionGate(
        reports,
        log,
        lambda: view.config,
        lambda: shared.store_now_ms,
        clock,
        told.emit,
    )
    return _SubmissionAdmission(log, reports, gate)


def _warn_of_unknown(settings: deployments.Deployment) -> None:
    """Tells at start what this version does not know of the deployment."""
    unknown = set(settings.contracts) - platform_settings.SUPPORTED_CONTRACTS
    if unknown:
        logs.error("contracts that are not built: {}", sorted(unknown))
    if settings.orders != platform_settings.SUPPORTED_ORDER_MODE:
        logs.error("orders in the form {} are not built", settings.orders)


@contextlib.contextmanager
def run(settings: deployments.Deployment) -> Iterator[Edge]:
    """Yields a running process and ends all its parts afterwards."""
    _warn_of_unknown(settings)
    clock = BootClock()
    rng = random.Random()
    boot = ids.new_id(rng)
    state = _State()
    with contextlib.ExitStack() as stack:
        meter = usage.Meter(clock.monotonic())
        blocking = loop_blocking.BlockingMonitor()
        stack.enter_context(blocking.running())
        client = stack.enter_context(plain_http.open_client(clock, meter))
        shared = reference_clock.ReferenceClock(clock)
        store = http_table.HttpTable(
            client, settings.store_address, clock, shared.observe_store_clock
        )
        told = telemetry.Telemetry(logs.event)
        table = hedged_table.HedgedTable(store, clock)
        view = _operators(settings, table, shared, told)
        outside = _outside(settings, client, store, table, view, shared)
        asking = peer_calls.PeerCalls(clock, boot)
        owner_rpc_ = owner_rpc.OwnerRpc(
            asking,
            boot,
            settings.internal_address,
            lambda: member.owner,
            lambda: member.owner_address,
            lambda patience_s: member.step_down_if_stale(patience_s),
        )
        member = candidates.OwnerCandidate(
            outside,
            view,
            settings,
            boot,
            clock,
            rng,
            _probe,
            owner_rpc_.ask_term_ended,
            asking.keep_stream_open,
            told.emit,
        )
        admission = _admission(
            settings,
            table,
            asking,
            clock,
            boot,
            shared,
            view,
            told,
            lambda: member,
        )
        local = job_store.JobStore(
            table,
            clock,
            boot,
            lambda: store.unresponsive_s,
            admission.refusal_log if admission else None,
        )
        others = request_forwarder.RequestForwarder(
            asking,
            local,
            settings.internal_address,
            lambda: member.owner_address,
            lambda: member.store_answered_at,
            clock,
            told.emit,
        )
        asking.set_transport(
            stack.enter_context(
                streams.run(
                    settings.internal_address,
                    functools.partial(
                        _on_message, owner_rpc_, others, admission
                    ),
                    clock,
                    rng,
                    member.on_stream_closed,
                )
            )
        )
        follower = table_follower.Follower(
            store,
            operator_rows.OPERATOR_TABLE,
            clock,
            view.on_snapshot,
            view.on_changes,
            told.emit,
            prefers_snapshots=True,
            on_current=view.on_current,
        )
        stack.enter_context(
            supervision.running(
                follower.run,
                member.run,
                functools.partial(_flush, clock, meter, blocking, told.emit),
            )
        )
        ready = functools.partial(_ready, state, view, member, clock)
        handler = job_request_handler.JobRequestHandler(
            job_service.JobService(
                local, others, clock, admission.gate if admission else None
            ),
            owner_rpc_,
            lambda: view.config,
            lambda: view.config_confirmed_at,
            settings.bounds.revocation_s,
            clock,
            shared,
            told.emit,
            settings.overload.admission,
        )
        server = stack.enter_context(
            caller_http.serve(
                settings.entry_address,
                handler.handle,
                caller_http.Pages(
                    ready, lambda: True, lambda: {}, metrics.Metrics().snapshot
                ),
                clock,
                lambda: _max_body(view),
            )
        )
        stack.enter_context(text_pages.readiness(settings.ready_address, ready))
        stack.enter_context(
            text_pages.metrics(
                settings.metrics_address,
                told.counters.snapshot,
                lambda: told.latencies,
            )
        )
        told.emit(events.Process("started", settings.entry_address))
        yield Edge(server, member, state)


def _on_message(
    owner_rpc_: owner_rpc.OwnerRpc,
    others: request_forwarder.RequestForwarder,
    admission: _SubmissionAdmission | None,
    sender: str | None,
    message: peers.Message,
    reply: peer_transport.SendReply,
) -> None:
    """Hands a message to all that may know it."""
    del sender
    owner_rpc_.on_message(message, reply)
    others.on_message(message, reply)
    if admission is not None:
        admission.reports.on_message(message, reply)


def _flush(
    clock: clocks.Clock,
    meter: usage.Meter,
    blocking: loop_blocking.BlockingMonitor,
    emit: Callable[[object], None],
) -> None:
    """Writes gathered lines for good, and tells what a busy process uses."""
    while True:
        due = clock.monotonic() + FLUSH_S
        clock.sleep(FLUSH_S)
        now = clock.monotonic()
        meter.woken(now - due)
        _tell_blocking(blocking.take(), emit)
        if meter.seconds(now) >= USAGE_S:
            _tell_usage(meter.take(now), emit)
        logs.flush()


def _tell_blocking(
    longest: loop_blocking.Blocking | None, emit: Callable[[object], None]
) -> None:
    if longest is None or longest.wall_s < REPORT_BLOCKING_S:
        return
    emit(
        events.EventLoopBlocked(
            longest.function,
            int(longest.wall_s * _MS),
            int(longest.processor_s * _MS),
        )
    )


def _tell_usage(period: usage.Period, emit: Callable[[object], None]) -> None:
    moved = period.sent_bytes + period.received_bytes
    late = period.late_s >= BUSY_LATE_S
    if not late and moved < BUSY_BYTES_PER_S * period.seconds:
        return
    emit(
        events.Usage(
            period_ms=int(period.seconds * _MS),
            late_ms=int(period.late_s * _MS),
            calls=period.calls,
            unanswered=period.unanswered,
            sent_kb=period.sent_bytes // _KB,
            received_kb=period.received_bytes // _KB,
        )
    )


def _max_body(view: operator_table.OperatorTable) -> int:
    return view.config.max_body_bytes if view.config else _MAX_BODY_BYTES


def _ready(
    state: _State,
    view: operator_table.OperatorTable,
    member: candidates.OwnerCandidate,
    clock: clocks.Clock,
) -> tuple[bool, str]:
    if state.leaving:
        return False, "leaving"
    if view.config is None:
        return False, "no configuration"
    if clock.monotonic() - member.store_answered_at > READY_S:
        return False, "the store does not answer"
    return True, "ready"
