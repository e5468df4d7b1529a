"""Check that code imports modules of this repository, not names from them."""

import ast
import importlib.util
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("pollenladder", "standins", "bench", "models", "tests")
TYPING = {"typing", "collections.abc", "__future__"}


def find_imported_names(path: pathlib.Path) -> list[str]:
    """Return a message for each name imported from a package in `PACKAGES`."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module in TYPING:
            continue
        if node.module is None or node.module.split(".")[0] not in PACKAGES:
            continue
        for alias in node.names:
            module = f"{node.module}.{alias.name}"
            if importlib.util.find_spec(module) is None:
                relative_path = path.relative_to(ROOT)
                found.append(
                    f"{relative_path}:{node.lineno}: {module} is a name"
                )
    return found


def main() -> int:
    """Print each violation; return 1 if there is any, else 0."""
    sys.path.insert(0, str(ROOT))
    files = [p for name in PACKAGES for p in (ROOT / name).rglob("*.py")]
    violations = [line for path in files for line in find_imported_names(path)]
    print("\n".join(violations), end="\n" if violations else "")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
