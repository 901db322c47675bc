"""Reports on experiments: Markdown for a repository, and one HTML page with plots for a reader."""

import base64
import html
import io
import math
import pathlib
from collections.abc import Sequence

from foxspread.lab.experiments import figures
from foxspread.lab.experiments.runs import Difference, Played, differences

# What a table shows of a run, and how: name, key, factor, digits, unit.
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


def shown(value: float, factor: float, digits: int, unit: str) -> str:
    return "-" if math.isnan(value) else f"{value * factor:.{digits}f}{unit}"


def means(played: Sequence[Played], key: str) -> tuple[float, float, float]:
    return figures.interval([each.numbers.get(key, math.nan) for each in played])


def table(several: dict[str, Sequence[Played]], intervals: bool = True) -> list[list[str]]:
    """Head and rows: a column a policy; mean over seeds, with its interval of 95% where there are several."""
    rows = [["", *several]]
    for name, key, factor, digits, unit in ROWS:
        cells = []
        for played in several.values():
            mean, low, high = means(played, key)
            cell = shown(mean, factor, digits, unit)
            if intervals and len(played) > 1 and high > low:
                cell += f" ({shown(low, factor, digits, '')} to {shown(high, factor, digits, '')})"
            cells.append(cell)
        rows.append([name, *cells])
    return rows


def markdown_table(rows: Sequence[Sequence[str]]) -> str:
    head, *rest = rows
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rest)])


def beaten(several: dict[str, Sequence[Played]], ours: str = "foxspread") -> list[tuple[str, Difference]]:
    """Where another is better than ours beyond chance: the list of what to mend."""
    out = []
    for name, played in several.items():
        if name == ours or ours not in several:
            continue
        for each in differences(several[ours], played, ("benefit", "worst_10s", "done_share")):
            if each.high < 0:
                out.append((name, each))
    return out


def markdown(title: str, about: str, several: dict[str, Sequence[Played]], command: str = "") -> str:
    """Title, what was run, the table, who beats us, what broke, parts by tenant and category."""
    first = next(iter(several.values()))
    lines = [f"# {title}", ""]
    if about:
        lines += [about, ""]
    seeds = ", ".join(str(each.seed) for each in first)
    lines += [f"Engine: {first[0].engine}. Seeds: {seeds}. All servers and clients are simulated."]
    lines += [f"Command: `{command}`"] if command else []
    lines += ["", markdown_table(table(several)), ""]
    if found := beaten(several):
        lines += ["Better than ours beyond chance (mean of paired differences, interval of 95%):", ""]
        lines += [
            f"- {name}: {each.key} {each.theirs:.3f} against {each.ours:.3f} "
            f"({each.difference:+.3f}, {each.low:+.3f} to {each.high:+.3f})"
            for name, each in found
        ]
        lines += [""]
    elif len(several) > 1 and "foxspread" in several:
        lines += ["No other is better than ours beyond chance in benefit, worst 10 s, or share done.", ""]
    lines += _broken(several)
    for what in ("by_tenant", "by_category"):
        names = sorted({name for each in first for name in getattr(each, what)})
        if len(names) > 1:
            rows = [[what.replace("_", " "), *several]]
            for name in names:
                rows.append(
                    [
                        name,
                        *(
                            shown(
                                figures.interval([getattr(p, what).get(name, math.nan) for p in played])[0],
                                100,
                                1,
                                "%",
                            )
                            for played in several.values()
                        ),
                    ]
                )
            lines += [markdown_table(rows), ""]
    return "\n".join(lines)


def _broken(several: dict[str, Sequence[Played]]) -> list[str]:
    lines = []
    for name, played in several.items():
        for each in played:
            for broken in each.violations:
                lines += [
                    f"**{name}, seed {each.seed}: {broken.rule}** at {broken.at:.3f} s, lookup "
                    f"{broken.lookup or '-'}: {broken.text}",
                    "",
                ]
                lines += ["```", broken.story, "```", ""] if broken.story else []
    return lines


def plots(several: dict[str, Sequence[Played]]) -> dict[str, bytes]:
    """PNGs by name. Of each policy's first seed, but for times, which are of all."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    out: dict[str, bytes] = {}

    def keep(name: str, figure) -> None:
        buffer = io.BytesIO()
        figure.tight_layout()
        figure.savefig(buffer, format="png", dpi=90, metadata={"Software": None})
        plt.close(figure)
        out[name] = buffer.getvalue()

    first = next(iter(several.values()))[0]

    def shade(axes) -> None:
        for at, lasts, what in first.faults:
            axes.axvspan(at, at + lasts, color="orange", alpha=0.12)
            axes.text(at, 1.01, what, fontsize=6, transform=axes.get_xaxis_transform())

    figure, axes = plt.subplots(figsize=(9, 3))
    for name, played in several.items():
        axes.plot(played[0].by_second["share"], label=name, lw=1.2)
    shade(axes)
    axes.set(xlabel="seconds", ylabel="share of benefit", ylim=(0, 1.05))
    axes.legend(fontsize=7)
    keep("share over time", figure)

    for name, played in list(several.items())[:2]:
        flights = played[0].in_flight
        figure, axes = plt.subplots(figsize=(9, min(8.0, 1.5 + 0.12 * len(flights))))
        image = axes.imshow([flights[server] for server in flights], aspect="auto", interpolation="nearest")
        axes.set(xlabel="seconds", ylabel=f"servers ({len(flights)})", title=f"in flight by server, {name}")
        figure.colorbar(image)
        keep(f"in flight, {name}", figure)

    if first.samples:
        figure, axes = plt.subplots(figsize=(9, 2.5))
        for name, played in several.items():
            axes.plot(
                [s["at"] for s in played[0].samples],
                [s["marks"] for s in played[0].samples],
                label=name,
                lw=1.2,
            )
        shade(axes)
        axes.set(xlabel="seconds", ylabel="marks, mean of instances")
        axes.legend(fontsize=7)
        keep("marks over time", figure)

    figure, axes = plt.subplots(figsize=(6, 3))
    keys = [f"p{each:g}" for each in figures.PERCENTILES]
    for name, played in several.items():
        axes.plot(keys, [1e3 * means(played, key)[0] for key in keys], marker="o", label=name)
    axes.set(ylabel="ms, of what was done", yscale="log")
    axes.legend(fontsize=7)
    keep("times", figure)

    figure, axes = plt.subplots(figsize=(6, 2.5))
    axes.bar(list(several), [means(played, "hand_offs")[0] for played in several.values()])
    axes.set(ylabel="hand-offs a lookup")
    keep("cost", figure)
    return out


def page(title: str, about: str, several: dict[str, Sequence[Played]], command: str = "") -> str:
    """One HTML page that needs nothing else."""

    def cell(tag: str, text: str) -> str:
        return f"<{tag}>{html.escape(text)}</{tag}>"

    head, *rest = table(several)
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
    if found := beaten(several):
        parts += ["<h2>Better than ours</h2><ul>"]
        parts += [
            f"<li>{html.escape(name)}: {each.key} {each.theirs:.3f} against {each.ours:.3f}</li>"
            for name, each in found
        ] + ["</ul>"]
    broken = "\n".join(_broken(several))
    parts += [f"<h2>Rules broken</h2><pre>{html.escape(broken)}</pre>"] if broken else []
    for name, data in plots(several).items():
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


def write(
    folder: str | pathlib.Path,
    name: str,
    title: str,
    about: str,
    several: dict[str, Sequence[Played]],
    command: str = "",
) -> list[pathlib.Path]:
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    paths = [folder / f"{name}.md", folder / f"{name}.html"]
    paths[0].write_text(markdown(title, about, several, command), encoding="utf-8")
    paths[1].write_text(page(title, about, several, command), encoding="utf-8")
    return paths
