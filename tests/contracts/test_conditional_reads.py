"""Tests of conditional reads, which reuse an unchanged response."""

import functools
import unittest

from pollenladder.table import exceptions
from tests.contracts import scripted
from tests.contracts import test_platform as contract


class ConditionalReadTest(unittest.TestCase):
    def setUp(self):
        self.fixture = contract.PlatformFixture()
        self.addCleanup(self.fixture.close)
        self.client = self.fixture.client

    def test_an_unchanged_row_is_not_parsed_again(self):
        read = functools.partial(self.client.get_row_conditionally, "k")
        self.assertIsNone(read())
        contract.write(self.fixture, 1)
        first = read()
        self.assertIs(read(), first)
        contract.write(self.fixture, 2)
        self.assertEqual(read().value, 2)
        contract.write(self.fixture, None)
        self.assertIsNone(read())
        self.assertIsNone(read())

    def test_an_unchanged_vm_list_is_not_parsed_again(self):
        other_vm = contract.VM | {"vm_id": "w-2", "data_centre": "quito-sur"}
        entry = other_vm | {"vm_id": "d-1", "role": "entry"}
        self.fixture.change_vms(set=[contract.VM, entry], at_once=True)
        first = self.client.list_vms(["ambato"])
        self.fixture.change_vms(set=[other_vm], at_once=True)
        self.assertIs(self.client.list_vms(["ambato"]), first)
        self.assertEqual([vm.vm_id for vm in first.vms], ["w-1", "d-1"])
        for wanted in ([], ["ambato", "quito-sur"]):
            self.assertEqual(len(self.client.list_vms(wanted).vms), 3)
        self.fixture.change_vms(remove=["w-1"], at_once=True)
        second = self.client.list_vms(["ambato"])
        self.assertEqual([vm.vm_id for vm in second.vms], ["d-1"])

    def test_not_modified_without_a_cached_response_is_an_error(self):
        peer = scripted.Peer(scripted.READ, scripted.build_response(304, b""))
        self.addCleanup(peer.stop)
        error = contract.catch_error(contract.build_client(peer.port).list_vms)
        self.assertIs(error, exceptions.NoReplyError)

    def test_responses_without_entity_tags_are_not_cached(self):
        body = b'{"key": "k", "value": 1, "version": 3}'
        full_response = scripted.build_response(200, body)
        peer = scripted.Peer(
            scripted.READ, full_response, scripted.READ, full_response
        )
        self.addCleanup(peer.stop)
        reader = contract.build_client(peer.port)
        self.assertEqual(
            reader.get_row_conditionally("k"), reader.get_row_conditionally("k")
        )
        self.assertFalse(reader._cache)
