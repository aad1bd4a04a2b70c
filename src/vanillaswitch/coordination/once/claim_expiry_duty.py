"""Controller duty that deletes claims past their retention, page by page.

The requests of one day can leave millions of claims, more than one read can
return. Each step therefore reads one page, and the next step continues after
it.
"""

from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.coordination.once import claim_expiry

_AFTER = "after"


@controller.duty_step(duty_names.CLAIM_EXPIRY)
def step(
    context: controller.DutyContext, name: str, fence: duty_assignment.Fence
) -> None:
    """Processes one page of claims.

    The deletes need no fence. Each one checks the version of a row that was
    already expired, so a duty holder that was paused does no harm.
    """
    del name, fence
    page = claim_expiry.delete_expired_page(
        context.platform.table,
        context.rng,
        int(context.clock.wall() * 1000),
        context.soft_state.get(_AFTER, ""),
    )
    context.soft_state[_AFTER] = page.next_after
