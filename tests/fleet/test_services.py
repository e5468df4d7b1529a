"""Workers of services that the configuration does not name are not used."""

import unittest

from pollenladder.fleet import services
from pollenladder.platform import rows
from tests.scheduling import simulations

ROUTE = b'{"Name":"r","Host":"h","Prefix":"/","Service":"routed"}'


class ServicesTest(unittest.TestCase):
    """Guards against entries of other writers that count as workers."""

    def _list_names(self, declared: bytes) -> frozenset[str]:
        source = b'{"Version":7,"Routes":[%b],"Services":%b}'
        found = rows.decode_configuration(source % (ROUTE, declared))
        return services.list_names(found)

    def test_services_are_declared_or_used_by_a_queue(self):
        declared = b'[{"Name":"declared"}]'
        self.assertEqual(self._list_names(declared), {"declared", "routed"})
        # Services of an unexpected form must not cost the workers of queues.
        for declared in (b"null", b"{}", b'[{"Name":7}]', b"[]"):
            with self.subTest(declared=declared):
                self.assertEqual(self._list_names(declared), {"routed"})

    def test_workers_of_other_services_are_left_out(self):
        listing = simulations.build_listing("w0")
        for names, found in (({listing.service}, (listing,)), ({"other"}, ())):
            with self.subTest(names=names):
                selected = services.select_workers([listing], names)
                self.assertEqual(selected, found)
