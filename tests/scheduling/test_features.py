"""Tests of the switches for optional decisions."""

import unittest

from pollenladder.platform import exceptions
from pollenladder.platform import settings
from pollenladder.scheduling import features
from pollenladder.scheduling import recovery
from pollenladder.scheduling import tables


class FeaturesTest(unittest.TestCase):
    """A listed feature is off, all others are on."""

    def test_without_a_list_every_feature_is_on(self):
        found = settings.parse_disabled_features("")
        self.assertEqual(found, features.Features())

    def test_listed_features_are_off(self):
        found = settings.parse_disabled_features("speeds, interference")
        expected = features.Features(speeds=False, interference=False)
        self.assertEqual(found, expected)

    def test_an_unknown_name_is_an_error(self):
        # A misspelt name must not leave a feature on without notice.
        with self.assertRaisesRegex(exceptions.SettingsError, "sped"):
            settings.parse_disabled_features("sped")

    def test_features_stay_off_after_a_second_claim(self):
        off = features.switch_off(["speeds"])
        region = tables.Region(1, 0.0, 1.0, off)
        rebuilt = recovery.rebuild_region(region, 2, 1.0)
        self.assertEqual(rebuilt.features, off)
