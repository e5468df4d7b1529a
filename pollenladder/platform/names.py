"""Checks of the names and numbers that other writers choose.

They end up in HTTP headers, in logs, and in messages to workers and other daemons.
The checks run for each row and each reply, so they avoid regular expressions.
"""

from pollenladder.platform import messages

# Stands for bytes that could not be read.
REPLACEMENT_CHARACTER = "\ufffd"


def check_name(value: object) -> str:
    """Return a name of a service, a data centre or a daemon.

    Raises:
        ValueError: It is no text, empty or too long, or contains control
            characters or unreadable ones.
    """
    text = check_text(value)
    if not text.isprintable() or REPLACEMENT_CHARACTER in text:
        raise ValueError(f"not a name: {text!a:.40}")
    return text


def check_id(value: object) -> str:
    """Return an id that is sent in HTTP headers: visible ASCII characters.

    Raises:
        ValueError: It is not such an id, or too long.
    """
    text = check_name(value)
    if not text.isascii() or " " in text:
        raise ValueError(f"not an id: {text!a:.40}")
    return text


def check_text(value: object) -> str:
    """Return a text that is sent only as a part of JSON documents.

    Raises:
        ValueError: It is no text, empty or too long.
    """
    if type(value) is not str:
        raise ValueError(f"not a text: {type(value).__name__}")
    if not 0 < len(value) <= messages.MAX_NAME_CHARS:
        raise ValueError(f"a text of {len(value)} characters")
    return value


def check_natural(value: object) -> int:
    """Return an integer that can be sent to workers and other daemons.

    Raises:
        ValueError: It is no integer, negative or too large.
    """
    if type(value) is not int:
        raise ValueError(f"not an integer: {type(value).__name__}")
    if not 0 <= value <= messages.MAX_INTEGER:
        raise ValueError("an integer out of range")
    return value
