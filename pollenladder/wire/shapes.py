"""Encoders and decoders of one type each, compiled from its annotations.

An encoder turns a value into what msgpack packs; None stands for "as it is". A
decoder checks what msgpack unpacked and raises `exceptions.MessageError`, with
the field's path, if it is not of the type.
"""

from collections.abc import Callable
import dataclasses
import enum
import math
import operator
import types
import typing
from typing import Any

from pollenladder.wire import exceptions

MAX_TEXT_CHARS = 4096
MAX_ITEMS = 65_536
INT64_MIN = -(2**63)
UINT64_MAX = 2**64 - 1

Encoder = Callable[[Any], Any]
Decoder = Callable[[Any], Any]


def _reject(path: str, value: Any) -> typing.NoReturn:
    raise exceptions.MessageError(f"{path}: unexpected {type(value).__name__}")


def _decode_any(value: Any) -> Any:
    return value


def _compile_text(path: str) -> Decoder:
    def decode(value: Any) -> str:
        if type(value) is str and len(value) <= MAX_TEXT_CHARS:
            return value
        return _reject(path, value)

    return decode


def _compile_float(path: str) -> Decoder:
    def decode(value: Any) -> float:
        if type(value) is float and math.isfinite(value):
            return value
        if type(value) is int:
            return float(value)
        return _reject(path, value)

    return decode


def _compile_exact(path: str, expected: type) -> Decoder:
    def decode(value: Any) -> Any:
        if type(value) is expected:
            return value
        return _reject(path, value)

    return decode


def _compile_enum(path: str, cls: type[enum.Enum]) -> Decoder:
    members = {member.value: member for member in cls}

    def decode(value: Any) -> enum.Enum:
        if type(value) in (str, int) and value in members:
            return members[value]
        return _reject(path, value)

    return decode


def _compile_sequence(path: str, item: Any, make: type) -> tuple:
    encode_item, decode_item = compile_type(item, f"{path}[]")

    def encode(values: Any) -> list:
        return [encode_item(value) for value in values]

    def decode(values: Any) -> Any:
        if type(values) is not list or len(values) > MAX_ITEMS:
            _reject(path, values)
        return make([decode_item(value) for value in values])

    return (encode if encode_item else None), decode


def _compile_map(path: str, value_type: Any) -> tuple:
    encode_value, decode_value = compile_type(value_type, f"{path}{{}}")
    decode_key = _compile_text(f"{path} key")

    def encode(values: dict) -> dict:
        return {key: encode_value(value) for key, value in values.items()}

    def decode(values: Any) -> dict:
        if type(values) is not dict or len(values) > MAX_ITEMS:
            _reject(path, values)
        pairs = values.items()
        return {decode_key(k): decode_value(v) for k, v in pairs}

    return (encode if encode_value else None), decode


def _compile_optional(path: str, inner: Any) -> tuple:
    encode_inner, decode_inner = compile_type(inner, path)

    def encode(value: Any) -> Any:
        return None if value is None else encode_inner(value)

    def decode(value: Any) -> Any:
        return None if value is None else decode_inner(value)

    return (encode if encode_inner else None), decode


def _compile_choice(path: str, choices: tuple) -> tuple:
    """Compile a union of dataclasses, sent as `[index, fields]`."""
    pairs = [compile_record(choice) for choice in choices]
    indices = {choice: index for index, choice in enumerate(choices)}

    def encode(value: Any) -> tuple:
        index = indices[type(value)]
        return index, pairs[index][0](value)

    def decode(value: Any) -> Any:
        if type(value) is not list or len(value) != 2:
            _reject(path, value)
        index, fields = value
        if type(index) is not int or not 0 <= index < len(pairs):
            _reject(path, index)
        return pairs[index][1](fields)

    return encode, decode


def _compile_union(path: str, members: tuple) -> tuple:
    others = tuple(m for m in members if m is not type(None))
    if len(others) > 1:
        if not all(dataclasses.is_dataclass(member) for member in others):
            raise TypeError(f"{path}: a union of other than dataclasses")
        pair = _compile_choice(path, others)
    else:
        return _compile_optional(path, others[0])
    if len(others) == len(members):
        return pair
    encode, decode = pair
    return (
        lambda value: None if value is None else encode(value),
        lambda value: None if value is None else decode(value),
    )


def _compile_generic(hint: Any, path: str) -> tuple:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        return _compile_union(path, arguments)
    if origin is list:
        return _compile_sequence(path, arguments[0], list)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _compile_sequence(path, arguments[0], tuple)
    if origin is dict and arguments[0] is str:
        return _compile_map(path, arguments[1])
    raise TypeError(f"{path}: can't be sent: {hint}")


def compile_type(hint: Any, path: str) -> tuple[Encoder | None, Decoder]:
    """Return the encoder, None for "as it is", and the decoder of a type.

    Args:
        hint: bool, int, float, str, bytes, Any, an enum, a dataclass, or a
            list, tuple of one type, dict with text keys, or union of them.
        path: The field's path, for errors.

    Raises:
        TypeError: Values of the type can't be sent.
    """
    if hint is Any:
        return None, _decode_any
    if hint is str:
        return None, _compile_text(path)
    if hint is float:
        return None, _compile_float(path)
    if hint in (bool, int, bytes):
        return None, _compile_exact(path, hint)
    if dataclasses.is_dataclass(hint):
        return compile_record(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return operator.attrgetter("value"), _compile_enum(path, hint)
    return _compile_generic(hint, path)


def _compile_reader(names: list[str]) -> Encoder:
    """Return a function that returns a record's fields as a tuple."""
    if not names:
        return lambda record: ()
    get = operator.attrgetter(*names)
    if len(names) == 1:
        return lambda record: (get(record),)
    return get


def compile_record(cls: type) -> tuple[Encoder, Decoder]:
    """Return the encoder and decoder of a dataclass, sent as its fields."""
    hints = typing.get_type_hints(cls)
    names = [field.name for field in dataclasses.fields(cls)]
    pairs = [compile_type(hints[n], f"{cls.__name__}.{n}") for n in names]
    decoders = [decode for _, decode in pairs]
    converted = [(i, pair[0]) for i, pair in enumerate(pairs) if pair[0]]
    read = _compile_reader(names)
    arity = len(names)
    name = cls.__name__

    def encode(record: Any) -> list:
        values = list(read(record))
        for index, convert in converted:
            values[index] = convert(values[index])
        return values

    def decode(values: Any) -> Any:
        if type(values) is not list or len(values) != arity:
            raise exceptions.MessageError(f"{name}: wrong number of fields")
        return cls(*[d(v) for d, v in zip(decoders, values, strict=True)])

    return (encode if converted else read), decode
