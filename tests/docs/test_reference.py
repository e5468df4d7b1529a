"""Tests that the reference pages match the code.

They guard against settings, fields, defaults, exit codes, commands and finding
ids that are changed in the code only, and against broken links.
"""

import pathlib
import re
import unittest

import pydantic

from pollenladder.conf import checks
from pollenladder.conf import models
from pollenladder.management import application
from pollenladder.management import exit_codes
from pollenladder.plans import models as plan_models

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGES = sorted((ROOT / "docs").rglob("*.md")) + [ROOT / "README.md"]
ROW = re.compile(r"^\| `([^`]+)` \| ([^|]*?) ?\|", re.MULTILINE)
LINK = re.compile(r"\]\(([^)#:]+)\)")
FINDING = re.compile(r"\b(?:conf|plans|platform)\.[EW]\d{3}\b")


def read_page(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def list_fields(model: type[pydantic.BaseModel], prefix: str = "") -> dict:
    """Return the defaults by field path, in the notation of the pages.

    A required field has the default "". Fields of nested models are listed
    under "[]" for lists and ".<name>" for dicts.
    """
    found = {}
    for name, field in model.model_fields.items():
        text = str(field.annotation)
        inner = re.search(r"pollenladder\.(\S+?)\.models\.(\w+)", text)
        if inner is None:
            default = "" if field.is_required() else str(field.default)
            found[prefix + name] = default
            continue
        module = models if inner[1] == "conf" else plan_models
        suffix = "[]" if text.startswith("list") else ""
        suffix = ".<name>" if text.startswith("dict") else suffix
        nested = getattr(module, inner[2])
        found |= list_fields(nested, f"{prefix}{name}{suffix}.")
    return found


class ReferenceTest(unittest.TestCase):
    def test_settings_and_their_defaults(self):
        page = dict(ROW.findall(read_page("ref/settings.md")))
        rows = {k: v for k, v in page.items() if not FINDING.match(k)}
        self.assertEqual(rows, list_fields(models.SettingsFile))

    def test_fields_of_declarations(self):
        page = dict(ROW.findall(read_page("ref/declarations.md")))
        rows = {k for k in page if not FINDING.match(k)}
        plans = list_fields(plan_models.PlansFile)
        customers = list_fields(plan_models.CustomersFile)
        self.assertEqual(rows, plans.keys() | customers.keys())

    def test_exit_codes(self):
        rows = re.findall(
            r"^\| (\d+) \| (\w+) \|", read_page("ref/exit-codes.md"), re.M
        )
        codes = [(str(int(c)), c.name) for c in exit_codes.ExitCode]
        self.assertEqual(rows, codes)

    def test_commands(self):
        named = set(re.findall(r"^\| `([\w-]+)", read_page("ref/cli.md"), re.M))
        commands = {command.name for command in application.COMMANDS}
        self.assertEqual(named & commands, commands)

    def test_ids_of_findings(self):
        names = ("settings", "declarations", "platform-configuration")
        pages = "".join(read_page(f"ref/{name}.md") for name in names)
        sources = (ROOT / "pollenladder").rglob("*.py")
        code = "".join(path.read_text() for path in sources)
        used = set(FINDING.findall(code)) - {"conf.E100"}
        self.assertEqual(set(FINDING.findall(pages)), used)
        self.assertGreater(len(used), len(checks.REGISTRY))

    def test_links_lead_to_files(self):
        for page in PAGES:
            for link in LINK.findall(page.read_text()):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())

    def test_the_readme_is_short(self):
        lines = (ROOT / "README.md").read_text().splitlines()
        self.assertLess(len(lines), 120)
