"""How long a change takes to its acknowledgement, alone and eight at once, in virtual time: the replicas'
cores with links of 0.5 to 4 ms and a sync of 5 ms (or as given), calls as an operator's. Prints a table.

    python bench/eight_orders.py [--runs 60]
"""

import sys

import click

from foxspread.mesh.configuration.items import SERVICE, Item
from foxspread.mesh.simulation import simulated_storage
from foxspread.mesh.simulation.events import Event, EventKind
from foxspread.mesh.simulation.fleet import Fleet
from foxspread.mesh.simulation.schedule import Plan


def orders(at: float, count: int, machines: int, same: bool) -> list[Event]:
    """`same`: all of one item and number, with other contents: one of them may be confirmed."""
    rows = []
    for n in range(count):
        name, version = ("s", int(at * 100)) if same else (f"s{n}", int(at * 100))
        item = Item(SERVICE, name, version, {"name": name, "tag": n})
        rows.append(Event(at + 0.0005 * n, EventKind.CALL, n % machines, 0.0, (item,)))
    return rows


def played(machines: int, count: int, same: bool, runs: int, faults: list[Event]) -> list[float]:
    """Seconds until each call had its clear answer."""
    took = []
    for seed in range(runs):
        plan = Plan(machines, 0, 9.0, max_faults=0, faults=())
        events = [each for step in range(12) for each in orders(1.0 + 0.5 * step, count, machines, same)]
        fleet = Fleet(plan, seed)
        took += [
            call.ended_at - call.started_at for call in fleet.play([*events, *faults]).calls if call.items
        ]
    return sorted(took)


@click.command()
@click.option("--runs", default=60, help="Seeds of each row, 12 rounds each.")
def main(runs: int) -> None:
    """Print the table."""
    print(
        "| machines | sync ms | at once | trouble | p50 ms | p99 ms | max ms |\n"
        "| --- | --- | --- | --- | --- | --- | --- |"
    )
    for machines in (3, 5, 7):
        for sync in (0.0005, 0.005):
            simulated_storage.SYNC_S = sync
            for count, same in ((1, False), (8, False), (8, True)):
                for trouble in ("none", "one cut off"):
                    faults = [Event(0.8, EventKind.PARTITION, machines - 1, 8.0)] if trouble != "none" else []
                    took = played(machines, count, same, runs, faults)
                    shown = [took[int(share * (len(took) - 1))] * 1000 for share in (0.5, 0.99, 1.0)]
                    what = f"{count}, one number" if same else str(count)
                    cells = " | ".join(f"{each:.0f}" for each in shown)
                    print(f"| {machines} | {sync * 1000:g} | {what} | {trouble} | {cells} |")
                    sys.stdout.flush()


if __name__ == "__main__":
    main()
