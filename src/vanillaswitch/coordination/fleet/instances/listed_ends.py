"""Tells what a status report shows of runs that it does not list.

An instance lists the ends of its runs until they are acknowledged, the oldest
first and only so many in one report. A run that a report lists neither as
running nor as ended may have ended, and its end may be in a later report. If it
has ended as done and the owner took it for one that never started, its task
would run twice.
"""

from collections.abc import Sequence
import dataclasses

from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.protocol import fleet


@dataclasses.dataclass(frozen=True)
class ListedEnds:
    """What a status report shows of the ends on its instance.

    Attributes:
        new: the ends that no earlier report listed, by number.
        includes_former: all ends before the first report to this owner have
            been listed, in this report or in earlier ones.
        is_complete: all ends have been listed, in this report or in earlier
            ones.
    """

    new: Sequence[fleet.RunEnd]
    includes_former: bool
    is_complete: bool


def read(
    instance: instance_state.Instance, report: fleet.StatusReport
) -> ListedEnds:
    """Returns what a report shows of the ends on its instance.

    As ends are listed in order, all ends before the first report are known once
    a report lists no new end, or the end of a run that went on after the first
    report. Neither depends on how many ends fit into a report.

    Args:
        instance: the instance, before the report is processed.
        report: its status report.
    """
    known = instance.last_end_number
    new = sorted(
        (end for end in report.ended_runs if end.number > known),
        key=lambda end: end.number,
    )
    includes_former = instance.has_listed_former_ends
    if _has_gap(known, new):
        return ListedEnds(new, includes_former, False)
    if new:
        includes_former |= instance.has_reported and any(
            _went_on_after_first_report(instance, end) for end in new
        )
    else:
        includes_former |= not report.is_page_full
    return ListedEnds(
        new, includes_former, includes_former and not report.is_page_full
    )


def _has_gap(known: int, new: Sequence[fleet.RunEnd]) -> bool:
    """Whether numbers are missing between ends that were listed.

    Args:
        known: the highest number that was listed before; 0 for none.
        new: ends with higher numbers, by number.
    """
    if not new:
        return False
    first = known or new[0].number - 1
    return new[-1].number - first > len(new)


def _went_on_after_first_report(
    instance: instance_state.Instance, end: fleet.RunEnd
) -> bool:
    """Whether a run ended after the first report of its instance.

    It did if a report has listed it as running, or if this owner decided to
    start it after the first report.
    """
    run = instance.runs.get((end.task, end.run))
    if run is None:
        return False
    is_inherited = run.awaits_first_report
    return run.was_reported or (
        not is_inherited and run.decided_at >= instance.first_report_at
    )
