"""The simulated store of the platform: a machine of the network with rows."""

from pollenladder.platform import exceptions
from pollenladder.platform import store as stores
from tests.scheduling.overlaps import networks

STORE_ID = "store"


class Rows:
    """The rows of all tables.

    Attributes:
        version: The store's version.
        tables: The rows by table and key.
    """

    def __init__(self):
        self.version = 1
        self.tables: dict[str, dict[str, stores.Row]] = {}


class Store:
    """The store as one daemon uses it; see `stores.Store`."""

    def __init__(self, network: networks.Network, rows: Rows, own_id: str):
        self._network = network
        self._rows = rows
        self._own_id = own_id

    def check(self) -> int:
        """Return the store's version.

        Raises:
            exceptions.StoreError: The store can't be reached.
        """
        latency_s = self._network.draw_latency_s(self._own_id, STORE_ID)
        self._network.schedule.sleep(2 * latency_s)
        if not self._network.is_open(self._own_id, STORE_ID):
            raise exceptions.StoreError("no response")
        return self._rows.version

    def read_table(self, table: str) -> stores.Snapshot:
        """Read a whole table."""
        version = self.check()
        rows = self._rows.tables.get(table, {})
        return stores.Snapshot(version, tuple(rows.values()))

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row."""
        self.check()
        self._rows.version += 1
        rows = self._rows.tables.setdefault(table, {})
        rows[key] = stores.Row(key, value, self._rows.version)
