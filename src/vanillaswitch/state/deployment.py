"""What a machine of the system is told about its deployment."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits that the deployment sets; the defaults are those of its pages.

    Attributes:
        contact_s: a machine undisturbed for so long has to meet all bounds.
        drain_s: time in which a draining instance must get no more work.
        grace_s: time from a request to stop until the process is killed.
        max_lease_s: longest lease that an instance grants what runs on it.
        stop_s: longest time that an instance takes to stop a run.
        gang_wait_s: how long a member of a gang waits for the others.
        cancel_s: time in which a cancelled job must be gone.
        max_early_start_s: how much before its time an occurrence may start.
        move_s: time that a machine is away when it changes its pool.
        maintenance_s: time that the maintenance of a machine takes.
        fenced: the platform checks fencing tokens of orders for machines.
        lease_s: shortest time between orders of two owners in turn.
        missing_after_s: a long-running task that is unavailable for so long
            counts as missing.
        status_s: how long the state of an ended job can be asked for.
        remote_factor: how many times longer a task takes away from its data.
        checkpoint_s: work between two checkpoints.
        restore_s: time that resuming from a checkpoint takes.
        max_target_miss_s: longest time that a serving task may miss its target.
        pacing_s: time until a pace takes effect.
        revocation_s: time after which an API key that was removed from the
            configuration must not work on any machine.
        share_window_s: time over which the jobs of a client account are
            compared with its weight.
        max_row_bytes: largest value of a row that the platform's store takes.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    max_lease_s: float = 10.0
    stop_s: float = 0.4
    gang_wait_s: float = 3.0
    cancel_s: float = 3.0
    max_early_start_s: float = 0.25
    move_s: float = 1.5
    maintenance_s: float = 2.0
    fenced: bool = True
    lease_s: float = 3.0
    missing_after_s: float = 4.5
    status_s: float = 120.0
    remote_factor: float = 2.0
    checkpoint_s: float = 0.5
    restore_s: float = 0.6
    max_target_miss_s: float = 4.0
    pacing_s: float = 0.1
    revocation_s: float = 5.0
    share_window_s: float = 5.0
    max_row_bytes: int = 65_536


@dataclasses.dataclass(frozen=True)
class OverloadControls:
    """Which decisions for callers that compete for capacity are in force.

    Attributes:
        pool_allocation: machines go first to the pools whose waiting jobs can
            still be in time, also from pools that are busy with other jobs.
        admission: jobs that certainly can't be of use are refused.
        fair_order: client accounts that wait get capacity by their weights.
        learned_durations: declared durations of tasks are corrected by those
            that were observed.
    """

    pool_allocation: bool = False
    admission: bool = False
    fair_order: bool = False
    learned_durations: bool = False


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One machine's place in its deployment.

    Attributes:
        process: name of this machine, unique at any moment.
        entry_address: "ip:port" where clients connect.
        ready_address: "ip:port" where the balancer asks whether we are ready.
        internal_address: "ip:port" for streams of the other machines.
        metrics_address: "ip:port" where metrics are read.
        store_address: "ip:port" of the platform's store.
        machines_address: "ip:port" of the platform's list of machines.
        advice_address: "ip:port" of the advising service; may be empty.
        cores: processors that this machine may use.
        link_mbps: bandwidth of its link, Mbit/s.
        orders: how instances take orders.
        contracts: parts of the rules in force.
        machine_orders_per_s: orders for machines that the platform accepts
            from all processes together.
        overload: decisions in force while callers compete for capacity.
    """

    process: str
    zone: str
    entry_address: str
    ready_address: str
    internal_address: str
    metrics_address: str
    store_address: str
    machines_address: str
    advice_address: str
    cores: float
    link_mbps: float
    orders: str
    contracts: tuple[str, ...]
    heartbeat_s: float
    writes_per_s: float
    reads_per_s: float
    machine_orders_per_s: float
    bounds: Bounds
    overload: OverloadControls = OverloadControls()
