"""Tests of reading the settings file."""

import pathlib
import tempfile
import unittest

from pollenladder.platform import exceptions
from pollenladder.platform import settings
from standins import site as sites


class SettingsTest(unittest.TestCase):
    """A valid file is read; an error names the invalid field."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        site = sites.Site()
        self.addCleanup(site.close)
        path = pathlib.Path(folder.name) / "settings.conf"
        site.write_settings(path, "front-1", [7001, 7002, 7003])
        self.path = path
        self.text = path.read_text()

    def test_valid_file(self):
        found = settings.load(str(self.path))
        self.assertEqual(found.daemon_id, "front-1")
        self.assertEqual(found.caller_address, ("127.0.0.1", 7001))
        self.assertEqual(found.peer_port, 7003)
        self.assertEqual(found.max_lease_s, 1.0)
        self.assertEqual(found.processor_cores, 1.0)

    def test_regions_of_data_centres(self):
        found = settings.load(str(self.path)).regions
        self.assertEqual(found.own, "andes")
        self.assertEqual(found.by_data_centre, {"sur": "costa"})
        without = self.text.replace("Region=andes\n", "")
        self.assertEqual(settings.parse(without).regions.own, "")

    def test_deadline_for_evacuations_may_be_missing(self):
        found = settings.load(str(self.path))
        self.assertEqual(found.evacuation_deadline_s, 5.0)
        line = "Bounds.EvacuateMs=5000\n"
        for text in ("", "Bounds.EvacuateMs=0\n"):
            found = settings.parse(self.text.replace(line, text))
            self.assertIsNone(found.evacuation_deadline_s)

    def test_error_names_the_invalid_field(self):
        cases = (
            ("Node=front-1", "", "Node"),
            ("Listen.Front=127.0.0.1:7001", "Listen.Front=x", "Listen.Front"),
            ("Bounds.GraceS=6", "Bounds.GraceS=soon", "Bounds.GraceS"),
            ("Bounds.MaxHoldMs=1000", "Bounds.MaxHoldMs=0", "MaxHoldMs"),
            ("platform.Addr=", "platform.Adr=", "platform.Addr"),
        )
        for before, after, field in cases:
            with self.subTest(field=field):
                text = self.text.replace(before, after)
                with self.assertRaisesRegex(exceptions.SettingsError, field):
                    settings.parse(text)

    def test_missing_file(self):
        with self.assertRaises(exceptions.SettingsError):
            settings.load("/nowhere/settings.conf")
