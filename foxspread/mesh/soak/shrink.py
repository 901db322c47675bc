"""Finds the fewest disruptions with which a plan still fails."""

from collections.abc import Callable
from dataclasses import replace

from foxspread.mesh.soak.plan import SoakPlan


def shrink(plan: SoakPlan, fails: Callable[[SoakPlan], bool], max_runs: int) -> SoakPlan:
    """Returns the shortest failing plan that was found in at most `max_runs` calls of `fails`.

    Parts of the disruptions are left out, first halves of them, at last single ones. A plan that fails only
    now and then may keep more than it needs.
    """
    size = max(1, len(plan.disruptions) // 2)
    runs = 0
    while True:
        shorter, used = _without_parts(plan, size, fails, max_runs - runs)
        runs += used
        if runs >= max_runs or size == 1 and shorter is plan:
            return shorter
        if shorter is plan:
            size = max(1, size // 2)
        plan = shorter


def _without_parts(
    plan: SoakPlan, size: int, fails: Callable[[SoakPlan], bool], max_runs: int
) -> tuple[SoakPlan, int]:
    """Leaves out each part of `size` disruptions in turn where the plan fails without it; counts the runs."""
    first, runs = 0, 0
    while first < len(plan.disruptions) and runs < max_runs:
        kept = (*plan.disruptions[:first], *plan.disruptions[first + size :])
        shorter = replace(plan, disruptions=kept)
        runs += 1
        if fails(shorter):
            plan = shorter
        else:
            first += size
    return plan, runs
