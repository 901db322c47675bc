"""Writes reports on experiments: a Markdown file, and an HTML page with plots."""

import base64
import html
import io
import math
import pathlib
from collections.abc import Sequence

from foxspread.lab.experiments import figures
from foxspread.lab.experiments.runs import Difference, RunSummary, differences

# Rows of the table: name, key in `RunSummary.numbers`, factor, digits after the point, unit.
ROWS = (
    ("done in time", "done_share", 100, 1, "%"),
    ("benefit", "benefit", 100, 1, "%"),
    ("benefit, worst 10 s", "worst_10s", 100, 1, "%"),
    ("worst tenant", "worst_tenant", 100, 1, "%"),
    ("dismissed", "dismissed", 100, 1, "%"),
    ("scrapped", "scrapped", 100, 1, "%"),
    ("hand-offs a lookup", "hand_offs", 1, 3, ""),
    ("turned away", "turned_away", 100, 2, "%"),
    ("work wasted", "work_wasted", 100, 1, "%"),
    ("dismissed beside an idle server", "dismissed_beside_idle", 100, 1, "%"),
    ("sent to a laden one beside an idle one", "sent_to_laden_beside_idle", 100, 1, "%"),
    ("connects a lookup", "connects", 1, 3, ""),
    ("across zones", "cross_zone", 100, 1, "%"),
    ("time, median", "p50", 1000, 0, " ms"),
    ("time, p99", "p99", 1000, 0, " ms"),
    ("time, p99.9", "p99.9", 1000, 0, " ms"),
    ("refused late, nothing sent", "refused_late", 1, 0, ""),
    ("rules broken", "rules_broken", 1, 0, ""),
)


def format_value(value: float, factor: float, digits: int, unit: str) -> str:
    return "-" if math.isnan(value) else f"{value * factor:.{digits}f}{unit}"


def mean_with_interval(runs: Sequence[RunSummary], key: str) -> tuple[float, float, float]:
    return figures.confidence_interval([each.numbers.get(key, math.nan) for each in runs])


def comparison_table(
    runs_by_policy: dict[str, Sequence[RunSummary]], intervals: bool = True
) -> list[list[str]]:
    """Returns the table's header and rows, with one column for each policy. Cells hold the mean over the
    seeds, and its 95% confidence interval if there are several seeds."""
    rows = [["", *runs_by_policy]]
    for name, key, factor, digits, unit in ROWS:
        cells = []
        for runs in runs_by_policy.values():
            mean, low, high = mean_with_interval(runs, key)
            cell = format_value(mean, factor, digits, unit)
            if intervals and len(runs) > 1 and high > low:
                cell += (
                    f" ({format_value(low, factor, digits, '')} to {format_value(high, factor, digits, '')})"
                )
            cells.append(cell)
        rows.append([name, *cells])
    return rows


def markdown_table(rows: Sequence[Sequence[str]]) -> str:
    head, *rest = rows
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rest)])


def better_policies(
    runs_by_policy: dict[str, Sequence[RunSummary]], ours: str = "foxspread"
) -> list[tuple[str, Difference]]:
    """Returns the policies that are significantly better than `ours`, with the figure in which they are."""
    better = []
    for name, runs in runs_by_policy.items():
        if name == ours or ours not in runs_by_policy:
            continue
        for each in differences(runs_by_policy[ours], runs, ("benefit", "worst_10s", "done_share")):
            if each.high < 0:
                better.append((name, each))
    return better


def markdown_report(
    title: str, about: str, runs_by_policy: dict[str, Sequence[RunSummary]], command: str = ""
) -> str:
    """Returns the report as Markdown: title, description, table, better policies, violations, and the
    benefit by tenant and category."""
    first = next(iter(runs_by_policy.values()))
    lines = [f"# {title}", ""]
    if about:
        lines += [about, ""]
    seeds = ", ".join(str(each.seed) for each in first)
    lines += [f"Engine: {first[0].engine}. Seeds: {seeds}. All servers and clients are simulated."]
    lines += [f"Command: `{command}`"] if command else []
    lines += ["", markdown_table(comparison_table(runs_by_policy)), ""]
    if better := better_policies(runs_by_policy):
        lines += ["Significantly better than ours (mean of paired differences, 95% confidence interval):", ""]
        lines += [
            f"- {name}: {each.key} {each.theirs:.3f} against {each.ours:.3f} "
            f"({each.difference:+.3f}, {each.low:+.3f} to {each.high:+.3f})"
            for name, each in better
        ]
        lines += [""]
    elif len(runs_by_policy) > 1 and "foxspread" in runs_by_policy:
        lines += [
            "No other policy is significantly better than ours in benefit, worst 10 s, or share done.",
            "",
        ]
    lines += violation_lines(runs_by_policy)
    for group in ("by_tenant", "by_category"):
        names = sorted({name for each in first for name in getattr(each, group)})
        if len(names) > 1:
            rows = [[group.replace("_", " "), *runs_by_policy]]
            for name in names:
                rows.append(
                    [
                        name,
                        *(
                            format_value(
                                figures.confidence_interval(
                                    [getattr(run, group).get(name, math.nan) for run in runs]
                                )[0],
                                100,
                                1,
                                "%",
                            )
                            for runs in runs_by_policy.values()
                        ),
                    ]
                )
            lines += [markdown_table(rows), ""]
    return "\n".join(lines)


def violation_lines(runs_by_policy: dict[str, Sequence[RunSummary]]) -> list[str]:
    lines = []
    for name, runs in runs_by_policy.items():
        for each in runs:
            for broken in each.violations:
                lines += [
                    f"**{name}, seed {each.seed}: {broken.rule}** at {broken.at:.3f} s, request "
                    f"{broken.lookup or '-'}: {broken.text}",
                    "",
                ]
                lines += ["```", broken.story, "```", ""] if broken.story else []
    return lines


def plots(runs_by_policy: dict[str, Sequence[RunSummary]]) -> dict[str, bytes]:
    """Returns the plots as PNG by name. They show the first seed of each policy, except `times` and `cost`,
    which are means over all seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    images: dict[str, bytes] = {}

    def keep(name: str, figure) -> None:
        buffer = io.BytesIO()
        figure.tight_layout()
        figure.savefig(buffer, format="png", dpi=90, metadata={"Software": None})
        plt.close(figure)
        images[name] = buffer.getvalue()

    first = next(iter(runs_by_policy.values()))[0]

    def shade(axes) -> None:
        for at, lasts, what in first.faults:
            axes.axvspan(at, at + lasts, color="orange", alpha=0.12)
            axes.text(at, 1.01, what, fontsize=6, transform=axes.get_xaxis_transform())

    figure, axes = plt.subplots(figsize=(9, 3))
    for name, runs in runs_by_policy.items():
        axes.plot(runs[0].by_second["share"], label=name, lw=1.2)
    shade(axes)
    axes.set(xlabel="seconds", ylabel="share of benefit", ylim=(0, 1.05))
    axes.legend(fontsize=7)
    keep("share over time", figure)

    for name, runs in list(runs_by_policy.items())[:2]:
        flights = runs[0].in_flight
        figure, axes = plt.subplots(figsize=(9, min(8.0, 1.5 + 0.12 * len(flights))))
        image = axes.imshow([flights[server] for server in flights], aspect="auto", interpolation="nearest")
        axes.set(xlabel="seconds", ylabel=f"servers ({len(flights)})", title=f"in flight by server, {name}")
        figure.colorbar(image)
        keep(f"in flight, {name}", figure)

    if first.samples:
        figure, axes = plt.subplots(figsize=(9, 2.5))
        for name, runs in runs_by_policy.items():
            axes.plot(
                [s["at"] for s in runs[0].samples],
                [s["marks"] for s in runs[0].samples],
                label=name,
                lw=1.2,
            )
        shade(axes)
        axes.set(xlabel="seconds", ylabel="marks, mean of instances")
        axes.legend(fontsize=7)
        keep("marks over time", figure)

    figure, axes = plt.subplots(figsize=(6, 3))
    keys = [f"p{each:g}" for each in figures.PERCENTILES]
    for name, runs in runs_by_policy.items():
        axes.plot(keys, [1e3 * mean_with_interval(runs, key)[0] for key in keys], marker="o", label=name)
    axes.set(ylabel="ms, of what was done", yscale="log")
    axes.legend(fontsize=7)
    keep("times", figure)

    figure, axes = plt.subplots(figsize=(6, 2.5))
    axes.bar(
        list(runs_by_policy), [mean_with_interval(runs, "hand_offs")[0] for runs in runs_by_policy.values()]
    )
    axes.set(ylabel="hand-offs a lookup")
    keep("cost", figure)
    return images


def html_page(
    title: str, about: str, runs_by_policy: dict[str, Sequence[RunSummary]], command: str = ""
) -> str:
    """Returns the report as an HTML page that refers to no other files."""

    def cell(tag: str, text: str) -> str:
        return f"<{tag}>{html.escape(text)}</{tag}>"

    head, *rest = comparison_table(runs_by_policy)
    rows = ["<tr>" + "".join(cell("th", each) for each in head) + "</tr>"]
    rows += [
        "<tr>" + "".join(cell("th" if at == 0 else "td", each) for at, each in enumerate(row)) + "</tr>"
        for row in rest
    ]
    parts = [
        f"<h1>{html.escape(title)}</h1>",
        f"<p>{html.escape(about)}</p>",
        f"<p>All servers and clients are simulated. <code>{html.escape(command)}</code></p>",
        "<table>" + "".join(rows) + "</table>",
    ]
    if better := better_policies(runs_by_policy):
        parts += ["<h2>Significantly better than ours</h2><ul>"]
        parts += [
            f"<li>{html.escape(name)}: {each.key} {each.theirs:.3f} against {each.ours:.3f}</li>"
            for name, each in better
        ] + ["</ul>"]
    broken = "\n".join(violation_lines(runs_by_policy))
    parts += [f"<h2>Violated invariants</h2><pre>{html.escape(broken)}</pre>"] if broken else []
    for name, data in plots(runs_by_policy).items():
        parts += [
            f"<h2>{html.escape(name)}</h2><img alt='{html.escape(name)}' "
            f"src='data:image/png;base64,{base64.b64encode(data).decode()}'>"
        ]
    style = (
        "body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}"
        "th,td{border:1px solid #ccc;padding:.2em .6em;text-align:right}"
    )
    return (
        f"<!doctype html><meta charset='utf-8'><title>{html.escape(title)}</title><style>{style}</style>"
        + "".join(parts)
    )


def write_report(
    folder: str | pathlib.Path,
    name: str,
    title: str,
    about: str,
    runs_by_policy: dict[str, Sequence[RunSummary]],
    command: str = "",
) -> list[pathlib.Path]:
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    paths = [folder / f"{name}.md", folder / f"{name}.html"]
    paths[0].write_text(markdown_report(title, about, runs_by_policy, command), encoding="utf-8")
    paths[1].write_text(html_page(title, about, runs_by_policy, command), encoding="utf-8")
    return paths
