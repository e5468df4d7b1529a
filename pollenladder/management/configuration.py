"""Where the tool finds the platform, the daemons and its token.

An option goes before an environment variable, which goes before the file.
"""

from collections.abc import Mapping
import dataclasses
import ipaddress
from typing import Annotated

import pydantic

from pollenladder.conf import documents
from pollenladder.management import exceptions

FILE_VARIABLE = "POLLENLADDER_CONFIG"
TOKEN_VARIABLE = "POLLENLADDER_TOKEN"


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(frozen=True)
class Given:
    """What the command line gave; None or empty where it gave nothing."""

    file: str | None = None
    platform: str | None = None
    daemons: tuple[str, ...] = ()
    token: str | None = None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """What the commands use."""

    platform: Address | None
    daemons: tuple[Address, ...]
    token: str | None

    def get_platform(self) -> Address:
        """Return the platform's address.

        Raises:
            exceptions.UsageError: None was given.
        """
        if self.platform is None:
            raise exceptions.UsageError("give --platform ADDR:PORT")
        return self.platform

    def get_daemons(self) -> tuple[Address, ...]:
        """Return the addresses of the daemons to ask, one or more.

        Raises:
            exceptions.UsageError: None was given.
        """
        if not self.daemons:
            raise exceptions.UsageError("give --daemon ADDR:PORT")
        return self.daemons

    def get_token(self) -> str:
        """Return the operator's token.

        Raises:
            exceptions.ForbiddenError: None was given.
        """
        if not self.token:
            raise exceptions.ForbiddenError(
                f"give the operator's token in {TOKEN_VARIABLE} or by --token"
            )
        return self.token


def parse_address(text: str) -> Address:
    """Return the address in `ADDR:PORT`, or raise ValueError."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ValueError(f'"{text}" is not an IP number and a port') from None
    if not 0 < number < 65536:
        raise ValueError(f'"{text}" has no port from 1 to 65535')
    return Address(host, number)


def _check_address(text: str) -> str:
    parse_address(text)
    return text


_AddressText = Annotated[str, pydantic.AfterValidator(_check_address)]


class _ToolFile(documents.Border):
    platform: _AddressText | None = None
    daemons: list[_AddressText] = []
    token: str | None = None


def resolve(given: Given, variables: Mapping[str, str]) -> Configuration:
    """Return the configuration from options, variables and the file.

    Raises:
        exceptions.UsageError: An option is no address.
        conf.exceptions.ConfError: The file can't be used.
    """
    file = _read_file(given.file or variables.get(FILE_VARIABLE))
    platform = given.platform or file.platform
    try:
        return Configuration(
            platform=parse_address(platform) if platform else None,
            daemons=tuple(map(parse_address, given.daemons or file.daemons)),
            token=given.token or variables.get(TOKEN_VARIABLE) or file.token,
        )
    except ValueError as error:
        raise exceptions.UsageError(str(error)) from error


def _read_file(path: str | None) -> _ToolFile:
    if not path:
        return _ToolFile()
    document = documents.read_document(path)
    return documents.validate_document(_ToolFile, document)
