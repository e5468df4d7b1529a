"""Converters between typed values and msgpack, compiled from annotations.

Each type has an encoder and a decoder. The encoder converts a value to a type
that msgpack packs; it is None if the value needs no conversion. The decoder
checks an unpacked value and raises `exceptions.MessageError`, with the path of
the field, if the value does not match the type.
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

# Limits on a decoded string and on a decoded array or map.
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


def _compile_exact_type(path: str, expected: type) -> Decoder:
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


def _compile_dataclass_union(path: str, classes: tuple) -> tuple:
    """Compile a union of dataclasses, encoded as `[index, fields]`.

    The index is the position of the class in the union.
    """
    pairs = [compile_record(cls) for cls in classes]
    indices = {cls: index for index, cls in enumerate(classes)}

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
            raise TypeError(
                f"{path}: a union may contain only dataclasses and None"
            )
        pair = _compile_dataclass_union(path, others)
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
    raise TypeError(f"{path}: type has no encoding: {hint}")


def compile_type(hint: Any, path: str) -> tuple[Encoder | None, Decoder]:
    """Return the encoder and the decoder of a type.

    The encoder is None if values need no conversion.

    Args:
        hint: bool, int, float, str, bytes, Any, an enum, a dataclass, or a
            list, tuple[T, ...], dict with str keys, optional, or union of
            dataclasses.
        path: The path of the field, for error messages.

    Raises:
        TypeError: The type has no encoding.
    """
    if hint is Any:
        return None, _decode_any
    if hint is str:
        return None, _compile_text(path)
    if hint is float:
        return None, _compile_float(path)
    if hint in (bool, int, bytes):
        return None, _compile_exact_type(path, hint)
    if dataclasses.is_dataclass(hint):
        return compile_record(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return operator.attrgetter("value"), _compile_enum(path, hint)
    return _compile_generic(hint, path)


def _compile_field_getter(names: list[str]) -> Encoder:
    """Return a function that returns the fields of a dataclass as a tuple."""
    if not names:
        return lambda record: ()
    get = operator.attrgetter(*names)
    if len(names) == 1:
        return lambda record: (get(record),)
    return get


def compile_record(cls: type) -> tuple[Encoder, Decoder]:
    """Return the encoder and decoder of a dataclass.

    An instance is encoded as an array of its fields, in order of definition.
    """
    hints = typing.get_type_hints(cls)
    names = [field.name for field in dataclasses.fields(cls)]
    pairs = [compile_type(hints[n], f"{cls.__name__}.{n}") for n in names]
    decoders = [decode for _, decode in pairs]
    field_encoders = [(i, pair[0]) for i, pair in enumerate(pairs) if pair[0]]
    read = _compile_field_getter(names)
    arity = len(names)
    name = cls.__name__

    def encode(record: Any) -> list:
        values = list(read(record))
        for index, convert in field_encoders:
            values[index] = convert(values[index])
        return values

    def decode(values: Any) -> Any:
        if type(values) is not list or len(values) != arity:
            raise exceptions.MessageError(f"{name}: wrong number of fields")
        return cls(*[d(v) for d, v in zip(decoders, values, strict=True)])

    return (encode if field_encoders else read), decode
