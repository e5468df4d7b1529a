"""A small plot of each slope, beside the page."""

import pathlib

from bench.capacity import target

Slopes = target.Slopes

SIZE_INCHES = (4.2, 2.8)
DPI = 72
# Bytes of messages are exact lines; only what was sampled is drawn.
DRAWN = ("_us", "_rss", "link_bytes")


def list_plotted(known: Slopes) -> list[str]:
    """Return the names of the slopes that are drawn, sorted."""
    return sorted(
        name
        for name in known
        if name.endswith(DRAWN) or name.startswith("memory")
    )


def format_links(known: Slopes) -> str:
    """Return the page's images of all plots."""
    names = list_plotted(known)
    return "\n".join(f"![{name}](capacity/{name}.png)" for name in names)


def draw_all(folder: pathlib.Path, known: Slopes) -> None:
    """Draw each slope's points and its line into a file of its own."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    for name in list_plotted(known):
        slope = known[name]
        figure, plane = pyplot.subplots(figsize=SIZE_INCHES)
        for points in slope.repeats:
            plane.plot(*zip(*points, strict=True), ".", color="tab:blue")
        sizes = [size for size, _ in slope.repeats[0]]
        line = [slope.compute(size) for size in sizes]
        plane.plot(sizes, line, color="tab:orange", linewidth=1)
        plane.set_title(name, fontsize=8)
        plane.set_xlabel(slope.size, fontsize=7)
        plane.set_ylabel(slope.unit, fontsize=7)
        plane.tick_params(labelsize=6)
        plane.set_ylim(bottom=0)
        figure.tight_layout()
        figure.savefig(folder / f"{name}.png", dpi=DPI)
        pyplot.close(figure)
