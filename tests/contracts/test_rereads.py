"""The contract of reads that are cheap while nothing has changed."""

import functools
import unittest

from pollenladder.table import exceptions
from tests.contracts import scripted
from tests.contracts import test_platform as contract


class RereadTest(unittest.TestCase):
    def setUp(self):
        self.world = contract.World()
        self.addCleanup(self.world.close)
        self.client = self.world.client

    def test_an_unchanged_row_is_not_read_again(self):
        read = functools.partial(self.client.reread_row, "k")
        self.assertIsNone(read())
        contract.write(self.world, 1)
        first = read()
        self.assertIs(read(), first)
        contract.write(self.world, 2)
        self.assertEqual(read().value, 2)
        contract.write(self.world, None)
        self.assertIsNone(read())
        self.assertIsNone(read())

    def test_an_unchanged_vm_list_is_not_read_again(self):
        elsewhere = contract.VM | {"vm_id": "w-2", "data_centre": "quito-sur"}
        entry = elsewhere | {"vm_id": "d-1", "role": "entry"}
        self.world.change_vms(set=[contract.VM, entry], at_once=True)
        first = self.client.list_vms(["ambato"])
        self.world.change_vms(set=[elsewhere], at_once=True)
        self.assertIs(self.client.list_vms(["ambato"]), first)
        self.assertEqual([vm.vm_id for vm in first.vms], ["w-1", "d-1"])
        for wanted in ([], ["ambato", "quito-sur"]):
            self.assertEqual(len(self.client.list_vms(wanted).vms), 3)
        self.world.change_vms(remove=["w-1"], at_once=True)
        second = self.client.list_vms(["ambato"])
        self.assertEqual([vm.vm_id for vm in second.vms], ["d-1"])

    def test_not_modified_without_an_earlier_answer_is_no_answer(self):
        peer = scripted.Peer(scripted.READ, scripted.build_response(304, b""))
        self.addCleanup(peer.stop)
        error = contract.catch(contract.build_client(peer.port).list_vms)
        self.assertIs(error, exceptions.NoReplyError)

    def test_a_platform_without_tags_answers_in_full(self):
        body = b'{"key": "k", "value": 1, "version": 3}'
        whole = scripted.build_response(200, body)
        peer = scripted.Peer(scripted.READ, whole, scripted.READ, whole)
        self.addCleanup(peer.stop)
        reader = contract.build_client(peer.port)
        self.assertEqual(reader.reread_row("k"), reader.reread_row("k"))
        self.assertFalse(reader._seen)
