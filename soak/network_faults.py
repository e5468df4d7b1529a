"""Faults of the network: data centres that are cut off, and reset connections."""

from soak import clusters
from soak import faults
from soak import networks


def list_kinds(
    cluster: clusters.Cluster, network: networks.Network
) -> dict[str, faults.Kind]:
    """Return the kinds of faults by name."""
    kinds = {
        f"cut_{mode.value}": _make_cut(cluster, network, mode)
        for mode in networks.Mode
    }
    names = list(cluster.daemons)

    def reset_pair(target: int) -> None:
        first = target % len(names)
        distance = 1 + target // len(names) % (len(names) - 1)
        second = (first + distance) % len(names)
        network.reset_pair(names[first], names[second])

    return kinds | {"pair_reset": faults.Kind(reset_pair, lambda target: None)}


def _make_cut(
    cluster: clusters.Cluster, network: networks.Network, mode: networks.Mode
) -> faults.Kind:
    data_centres = sorted({d.data_centre for d in cluster.daemons.values()})
    cuts: dict[int, networks.Cut] = {}

    def begin(target: int) -> None:
        data_centre = data_centres[target % len(data_centres)]
        spares_store = target // len(data_centres) % 2 == 0
        cuts[target] = networks.Cut(data_centre, mode, spares_store)
        network.begin_cut(cuts[target])

    def end(target: int) -> None:
        network.end_cut(cuts.pop(target))

    return faults.Kind(begin, end)
