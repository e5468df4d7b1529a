"""Optional decisions of the owner, which a deployment may switch off.

Each feature also needs something in the deployment that calls for it: workers of
different speed, or tasks that were seen to slow each other down. Without that, it
changes nothing.
"""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """The optional decisions, each on unless it is switched off.

    Attributes:
        speeds: Whether the speed of each worker is learned and used.
        interference: Whether tasks that slow each other down are kept on
            different workers.
    """

    speeds: bool = True
    interference: bool = True


ALL = Features()
NAMES = tuple(field.name for field in dataclasses.fields(Features))


def switch_off(names: Iterable[str]) -> Features:
    """Return all features except those with the given names.

    Raises:
        ValueError: A name is not one of `NAMES`.
    """
    names = tuple(names)
    unknown = set(names) - set(NAMES)
    if unknown:
        raise ValueError(f"unknown features: {', '.join(sorted(unknown))}")
    return Features(**dict.fromkeys(names, False))
