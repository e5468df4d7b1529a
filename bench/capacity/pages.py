"""The page's tables."""

import dataclasses


@dataclasses.dataclass
class T:
    parts: dict
    over: list


def build_tables(a, b):
    return T({k: f"{v.fixed:.1f} {v.slope:.3f}" for k, v in a.items()}, [])
