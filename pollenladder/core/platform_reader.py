"""Reads of the declarations and the VM list from the platform."""

from pollenladder.conf import settings as conf
from pollenladder.core import entities
from pollenladder.core import polling
from pollenladder.membership import regions
from pollenladder.metrics import registry
from pollenladder.table import client


class PlatformReader:
    """Reads from the platform's service and counts each read."""

    def __init__(
        self,
        own: conf.Settings,
        layout: regions.Regions,
        metrics: registry.Metrics,
    ):
        self._region_centres = layout.list_region_data_centres(own.data_centre)
        self._metrics = metrics
        self._platform = client.PlatformClient(
            own.platform.address,
            own.platform.port,
            client.Limits(timeout_s=own.platform.timeout_s),
        )

    def read_row(self) -> polling.Row | None:
        """Read the row of the declarations; return None if there is none.

        Raises:
            exceptions.PlatformError: The platform gave no usable response.
        """
        self._metrics.count_message("platform")
        row = self._platform.get_row_conditionally(polling.CURRENT_KEY)
        if row is None:
            return None
        return polling.Row(int(row.value["version"]), row.value)

    def read_vms(self) -> list[entities.Vm]:
        """Read the VM list of the region.

        Raises:
            exceptions.PlatformError: The platform gave no usable response.
        """
        self._metrics.count_message("platform")
        return list(self._platform.list_vms(self._region_centres).vms)
