"""Check that modules are imported, not names."""

import ast
import importlib.util
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("pollenladder", "standins", "bench", "models", "tests")
TYPING = {"typing", "collections.abc", "__future__"}


def find_imported_names(path: pathlib.Path) -> list[str]:
    """Return "file:line: name" for each name imported from our packages."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module in TYPING:
            continue
        if node.module is None or node.module.split(".")[0] not in PACKAGES:
            continue
        for alias in node.names:
            module = f"{node.module}.{alias.name}"
            if importlib.util.find_spec(module) is None:
                place = path.relative_to(ROOT)
                found.append(f"{place}:{node.lineno}: {module} is a name")
    return found


def main() -> int:
    """Print each offence; return 1 if there is any."""
    sys.path.insert(0, str(ROOT))
    files = [p for name in PACKAGES for p in (ROOT / name).rglob("*.py")]
    offences = [line for path in files for line in find_imported_names(path)]
    print("\n".join(offences), end="\n" if offences else "")
    return 1 if offences else 0


if __name__ == "__main__":
    sys.exit(main())
