"""The platform's VM list, which is seen with a lag."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """The list as it was from a moment on.

    Attributes:
        version: Grows by one with each change.
        vms: VM rows by id, each as JSON.
        since_s: When it became so.
    """

    version: int
    vms: dict[str, dict]
    since_s: float


EMPTY = VmList(0, {}, float("-inf"))


def change(
    history: list[VmList],
    put: list[dict],
    removed: list[str],
    now_s: float,
) -> list[VmList]:
    """Return the history with one more change at its end."""
    last = history[-1]
    vms = last.vms | {vm["vm_id"]: vm for vm in put}
    vms = {vm_id: vm for vm_id, vm in vms.items() if vm_id not in removed}
    return [*history, VmList(last.version + 1, vms, now_s)]


def find_visible(history: list[VmList], now_s: float, lag_s: float) -> VmList:
    """Return the list as a reader sees it, `lag_s` late."""
    seen_s = now_s - lag_s
    return next(seen for seen in reversed(history) if seen.since_s <= seen_s)


def list_rows(seen: VmList, data_centres: tuple[str, ...]) -> list[dict]:
    """Return the rows, without endpoints elsewhere if any are named."""
    return [
        vm
        for vm in seen.vms.values()
        if not data_centres
        or vm["role"] != "endpoint"
        or vm["data_centre"] in data_centres
    ]
