"""Kinds and variants in the listing that the users' bench prints."""

from collections.abc import Iterator
import re

from bench.disruptions import plans

# Words of the listing's sentences. A part of a list that has one isn't a list of
# variants.
OTHER_WORDS = frozenset(
    (
        *("a", "an", "and", "else", "for", "how", "log", "of", "on", "tables"),
        *("the", "them", "they", "those", "with"),
    )
)
KIND_LINE = re.compile(r"^([a-z_]+): (.*)$")
FINAL_LINE = re.compile(r"^closing = \{ kind = ([a-z_ |]+), [a-z_]+ \}(.*)$")
GENERAL_LISTS = re.compile(
    r"'how' may also hold ([^.]*)|may stand ([^.]*)|'how' holds ([^.]*)"
)
IN_BRACKETS = re.compile(r"\(([^()]*)\)")
LIST_HEAD = "how: "
SEPARATORS = re.compile(r"[,;|]| or | and ")
LEADING = re.compile(r"^(?:and |\+ )?")
# "(... with power also wipe)"
ADDED = re.compile(r"with [a-z_]+ also ([a-z_]+)")
# Variants outside of lists: "how once: ...", "; prompt: ...", "with reborn ..."
# and "busy 503".
NAMED = (
    re.compile(r"how ([a-z_]+)"),
    re.compile(r"; ([a-z_]+)[:,]"),
    re.compile(r"with ([a-z_]+)"),
    re.compile(r"\+ ([a-z_]+)"),
    re.compile(r"([a-z]{3,}) [45]\d\d\b"),
)


def parse(text: str) -> list[plans.Disruption]:
    """Return the kinds and variants of a listing, in its order.

    Each kind stands there once without a variant. Variants of several kinds have
    the kind `plans.ANY_KIND`.
    """
    return list(dict.fromkeys(_list_disruptions(text)))


def _list_disruptions(text: str) -> Iterator[plans.Disruption]:
    for line in text.splitlines():
        if final := FINAL_LINE.match(line):
            kinds, description = final[1].split(" | "), final[2]
        elif found := KIND_LINE.match(line):
            kinds, description = [found[1]], found[2]
        else:
            for variant in _list_general_variants(line):
                yield plans.Disruption(plans.ANY_KIND, variant)
            continue
        for kind in kinds:
            yield plans.Disruption(kind)
            for variant in _list_variants(description):
                yield plans.Disruption(kind, variant)


def _list_variants(description: str) -> list[str]:
    """Return the variants that the description of a kind names."""
    variants = [
        word
        for pattern in NAMED
        for word in pattern.findall(description)
        if word not in OTHER_WORDS
    ]
    for text in (
        _remove_brackets(description),
        *IN_BRACKETS.findall(description),
    ):
        for words in text.split(LIST_HEAD)[1:]:
            variants += _split(words)
    return variants


def _list_general_variants(line: str) -> list[str]:
    """Return the variants of several kinds that a line of the head names."""
    variants = [
        word
        for groups in GENERAL_LISTS.findall(_remove_brackets(line))
        for words in groups
        for word in _split(words.replace(" and, for roll_term,", ","))
    ]
    for brackets in IN_BRACKETS.findall(line):
        variants += ADDED.findall(brackets)
    return variants


def _remove_brackets(text: str) -> str:
    while IN_BRACKETS.search(text):
        text = IN_BRACKETS.sub("", text)
    return text


def _split(words: str) -> list[str]:
    """Return the variants of a list, without parts that are sentences."""
    variants: list[str] = []
    for part in SEPARATORS.split(words):
        found = re.findall(r"[a-z_]+", LEADING.sub("", part.strip()))
        if ":" not in part and OTHER_WORDS.isdisjoint(found):
            variants += found
    return variants
