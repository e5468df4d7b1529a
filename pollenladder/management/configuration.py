"""Configuration of the tool: platform address, daemon addresses and token.

A command-line option takes precedence over an environment variable, which takes
precedence over the configuration file.
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
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(frozen=True)
class CommandLineOptions:
    """Options of the command line; None or empty if an option is missing.

    Attributes:
        file: Path of the configuration file.
        platform: `ADDR:PORT` of the platform's service.
        daemons: `ADDR:PORT` of each daemon.
        token: The operator's token.
    """

    file: str | None = None
    platform: str | None = None
    daemons: tuple[str, ...] = ()
    token: str | None = None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Resolved configuration of a command.

    Attributes:
        platform: Address of the platform's service, or None.
        daemons: Addresses of the daemons to query; may be empty.
        token: The operator's token, or None.
    """

    platform: Address | None
    daemons: tuple[Address, ...]
    token: str | None

    def get_platform(self) -> Address:
        """Return the platform's address.

        Raises:
            exceptions.UsageError: No address is configured.
        """
        if self.platform is None:
            raise exceptions.UsageError("give --platform ADDR:PORT")
        return self.platform

    def get_daemons(self) -> tuple[Address, ...]:
        """Return the addresses of the daemons to query, at least one.

        Raises:
            exceptions.UsageError: No address is configured.
        """
        if not self.daemons:
            raise exceptions.UsageError("give --daemon ADDR:PORT")
        return self.daemons

    def get_token(self) -> str:
        """Return the operator's token.

        Raises:
            exceptions.ForbiddenError: No token is configured.
        """
        if not self.token:
            raise exceptions.ForbiddenError(
                f"set the operator's token in {TOKEN_VARIABLE} or by --token"
            )
        return self.token


def parse_address(text: str) -> Address:
    """Parse an address of the form `ADDR:PORT`.

    Raises:
        ValueError: The text is not an IP address and a port.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ValueError(f'"{text}" is not an IP address and a port') from None
    if not 0 < number < 65536:
        raise ValueError(f'"{text}" has no port from 1 to 65535')
    return Address(host, number)


def _check_address(text: str) -> str:
    parse_address(text)
    return text


_AddressText = Annotated[str, pydantic.AfterValidator(_check_address)]


class _ToolFile(documents.Border):
    """Model of the tool's configuration file."""

    platform: _AddressText | None = None
    daemons: list[_AddressText] = []
    token: str | None = None


def resolve(
    options: CommandLineOptions, variables: Mapping[str, str]
) -> Configuration:
    """Build the configuration from options, variables and the file.

    Args:
        options: Options of the command line.
        variables: Environment variables.

    Raises:
        exceptions.UsageError: An option is not a valid address.
        conf.exceptions.ConfError: The configuration file can't be loaded.
    """
    file = _read_file(options.file or variables.get(FILE_VARIABLE))
    platform = options.platform or file.platform
    try:
        return Configuration(
            platform=parse_address(platform) if platform else None,
            daemons=tuple(map(parse_address, options.daemons or file.daemons)),
            token=options.token or variables.get(TOKEN_VARIABLE) or file.token,
        )
    except ValueError as error:
        raise exceptions.UsageError(str(error)) from error


def _read_file(path: str | None) -> _ToolFile:
    if not path:
        return _ToolFile()
    document = documents.read_document(path)
    return documents.validate_document(_ToolFile, document)
