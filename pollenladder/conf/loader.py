"""Load the settings file."""

import pathlib

from pollenladder.conf import documents
from pollenladder.conf import models
from pollenladder.conf import settings


def load(path: str | pathlib.Path) -> settings.Settings:
    """Load a settings file and fill in the defaults.

    Raises:
        exceptions.ConfError: The file is unreadable, malformed or invalid.
    """
    document = documents.read_document(path)
    file = documents.validate_document(models.SettingsFile, document)
    return models.build_settings(file)
