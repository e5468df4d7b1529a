"""History of the VM list, which readers see with a lag."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """One version of the VM list.

    Attributes:
        version: Version number, incremented by each change.
        vms: VM rows by id, each as a JSON object.
        since_s: The time of the change that created this version.
    """

    version: int
    vms: dict[str, dict]
    since_s: float


EMPTY = VmList(0, {}, float("-inf"))


def change(
    history: list[VmList],
    updated: list[dict],
    removed: list[str],
    now_s: float,
) -> list[VmList]:
    """Append a version with some rows set and some removed.

    Args:
        history: All versions, oldest first.
        updated: Rows to add or replace.
        removed: Ids of the VMs to remove.
        now_s: The time of the change.

    Returns:
        The new history.
    """
    last = history[-1]
    vms = last.vms | {vm["vm_id"]: vm for vm in updated}
    vms = {vm_id: vm for vm_id, vm in vms.items() if vm_id not in removed}
    return [*history, VmList(last.version + 1, vms, now_s)]


def find_visible(history: list[VmList], now_s: float, lag_s: float) -> VmList:
    """Return the version that readers see `lag_s` seconds late."""
    latest_s = now_s - lag_s
    return next(
        vm_list for vm_list in reversed(history) if vm_list.since_s <= latest_s
    )


def list_rows(vm_list: VmList, data_centres: tuple[str, ...]) -> list[dict]:
    """List the rows of a version.

    If `data_centres` is not empty, endpoints of other data centres are left
    out; VMs of other roles are always included.
    """
    return [
        vm
        for vm in vm_list.vms.values()
        if not data_centres
        or vm["role"] != "endpoint"
        or vm["data_centre"] in data_centres
    ]
