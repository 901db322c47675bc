"""The plan of a soak: size, load and disruptions, drawn from a seed and kept as JSON."""

import random
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import Any

MAX_SIDECARS_PER_ZONE = 4
LARGE_SHARE = 0.1  # of the seeds, which use as many machines as they may
CALM_START_S, CALM_END_S = 3.0, 5.0  # without disruptions; at the end, what has been disrupted settles
MEAN_GAP_S = 2.5  # between the starts of disruptions, which may overlap
MIN_REPLICAS, MIN_SIDECARS = 1, 2
MAX_REPLICAS = 5
MIN_REPLICAS_FOR_WIPE = 3  # the platform tolerates the loss of one disk, if others have its content
WIPE_INTERVAL_S = 8.0  # within it a replica with an empty disk has caught up
UPLOADS_SHARE, UPLOADERS = 0.2, 24  # share of the seeds with uploaders, and their number on a machine
LARGE_CHANGES_SHARE = 0.2  # share of the other seeds, in which most changes are large
USUAL_LARGE_CHANGE_SHARE, MOST_LARGE_CHANGE_SHARE = 0.03, 0.9
CHANGES_PER_S = (0.2, 8.0)
REQUESTS_PER_S = (40.0, 250.0)


class PlanError(ValueError):
    """A plan that can't be read, worded for the user of the command."""


class DisruptionKind(StrEnum):
    """What is done to each node of a disruption."""

    STOP = "stop"  # SIGTERM, and SIGKILL after the grace period
    KILL = "kill"  # SIGKILL
    FREEZE = "freeze"  # SIGSTOP, and SIGCONT after `for_s`
    RELOAD = "reload"  # SIGHUP
    WIPE = "wipe"  # SIGKILL, and the disk is empty at the restart; replicas only, one at a time


# Each kind as often as it is drawn.
KIND_WEIGHTS = (
    *(DisruptionKind.STOP,) * 6,
    *(DisruptionKind.RELOAD,) * 2,
    DisruptionKind.KILL,
    DisruptionKind.FREEZE,
    DisruptionKind.WIPE,
)


@dataclass(frozen=True, slots=True)
class Disruption:
    """One disruption: its nodes are reached in turn, `gap_s` seconds apart.

    `at_s` counts from the start of the load.
    """

    at_s: float
    kind: DisruptionKind
    nodes: tuple[str, ...]
    gap_s: float = 0.0
    for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Everything that a soak does, but for chance in the processes themselves."""

    seed: int
    replicas: int
    sidecars: int
    duration_s: float
    requests_per_s: float
    changes_per_s: float
    work_s: float  # mean processing time of the servers
    disruptions: tuple[Disruption, ...] = ()
    uploaders: int = 0  # clients on each of two machines that upload in turn, and rest on their connections
    large_change_share: float = USUAL_LARGE_CHANGE_SHARE  # of the changes, which set many routes at once

    def to_json(self) -> dict[str, Any]:
        """Returns the plan as a JSON object."""
        return asdict(self)


def plan_from_json(data: dict[str, Any]) -> SoakPlan:
    """Returns the plan of a JSON object made by `to_json`; raises PlanError."""
    try:
        disruptions = tuple(
            Disruption(**{**row, "kind": DisruptionKind(row["kind"]), "nodes": tuple(row["nodes"])})
            for row in data["disruptions"]
        )
        return SoakPlan(**{**data, "disruptions": disruptions})
    except (KeyError, TypeError, ValueError) as error:
        raise PlanError(f"not a plan of a soak: {error}") from None


def draw_plan(seed: int, duration_s: float, max_machines: int) -> SoakPlan:
    """Returns the plan of a seed, for at most `max_machines` machines."""
    draw = random.Random(seed)
    replicas = draw.choice((MIN_REPLICAS, 3, 3, MAX_REPLICAS))
    most = max(MIN_SIDECARS, max_machines - replicas)
    usual = draw.randint(MIN_SIDECARS, min(most, 3 * MAX_SIDECARS_PER_ZONE))
    sidecars = most if draw.random() < LARGE_SHARE else usual
    plan = SoakPlan(
        seed=seed,
        replicas=replicas,
        sidecars=sidecars,
        duration_s=duration_s,
        requests_per_s=round(draw.uniform(*REQUESTS_PER_S), 1),
        changes_per_s=round(draw.uniform(*CHANGES_PER_S), 2),
        work_s=draw.choice((0.01, 0.05, 0.3)),
    )
    return _with_large_bodies(replace(plan, disruptions=tuple(_draw_disruptions(draw, plan))))


def _with_large_bodies(plan: SoakPlan) -> SoakPlan:
    """Adds uploads or large changes to some plans, whatever the length of the load."""
    draw = random.Random(f"{plan.seed}/bodies")
    if draw.random() < UPLOADS_SHARE:
        return replace(plan, uploaders=UPLOADERS)
    if draw.random() < LARGE_CHANGES_SHARE:
        return replace(plan, large_change_share=MOST_LARGE_CHANGE_SHARE, changes_per_s=CHANGES_PER_S[1])
    return plan


def _draw_disruptions(draw: random.Random, plan: SoakPlan) -> Sequence[Disruption]:
    cores = [f"core-{number + 1}" for number in range(plan.replicas)]
    sides = [f"side-{number + 1}" for number in range(plan.sidecars)]
    disruptions: list[Disruption] = []
    at_s, wiped_at_s = CALM_START_S, float("-inf")
    while (at_s := at_s + draw.expovariate(1 / MEAN_GAP_S)) < plan.duration_s - CALM_END_S:
        disruption = _draw_disruption(draw, round(at_s, 2), cores, sides)
        if disruption.kind is DisruptionKind.WIPE:
            if len(cores) < MIN_REPLICAS_FOR_WIPE or at_s - wiped_at_s < WIPE_INTERVAL_S:
                continue
            wiped_at_s = at_s
        disruptions.append(disruption)
    return disruptions


def _draw_disruption(draw: random.Random, at_s: float, cores: list[str], sides: list[str]) -> Disruption:
    kind = draw.choice(KIND_WEIGHTS)
    if kind is DisruptionKind.WIPE:
        return Disruption(at_s, kind, (draw.choice(cores),))
    group = cores if draw.random() < 0.25 else sides
    count = draw.choice((1, 1, 2, max(1, len(group) // 2), len(group)))
    if group is cores and kind is not DisruptionKind.RELOAD:
        count = 1
    nodes = tuple(draw.sample(group, min(count, len(group))))
    for_s = round(draw.uniform(0.3, 3.0), 2) if kind is DisruptionKind.FREEZE else 0.0
    return Disruption(at_s, kind, nodes, draw.choice((0.0, 0.05, 0.5, 1.0, 1.3)), for_s)
