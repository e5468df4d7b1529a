"""The command `pollenladder evacuate`."""

from cleo import helpers

from pollenladder.management import exceptions
from pollenladder.management import exit_codes
from pollenladder.management.commands import command
from pollenladder.platform import exceptions as platform_exceptions
from pollenladder.platform import rows
from pollenladder.platform import store as stores


class EvacuateCommand(command.Command):
    """Take a data centre out of use, or return it to use."""

    name = "evacuate"
    description = "Take a data centre out of use, or return it to use."
    arguments = [
        helpers.argument(
            "data-centre", "The data centre; lists them if missing.", True
        )
    ]
    options = [
        helpers.option("return", None, "Return the data centre to use."),
        helpers.option("force", None, "Accept one without listed workers."),
        command.JSON,
        command.PLATFORM,
        command.CONFIG,
    ]
    help = """The command returns when the store has accepted the request.
Daemons then start nothing new there; active runs end by themselves.

Examples:
  pollenladder evacuate --platform 10.0.0.5:7001
  pollenladder evacuate quito-norte --platform 10.0.0.5:7001
  pollenladder evacuate quito-norte --return --platform 10.0.0.5:7001
"""

    def run_command(self) -> exit_codes.ExitCode:
        """Write or delete the request, or list the requests."""
        address = self.configure_tool().get_platform()
        store = self.environment.open_store((address.host, address.port))
        name = self.argument("data-centre")
        if not name:
            if self.option("return"):
                raise exceptions.UsageError("name the data centre to return")
            return self._list(store)
        try:
            key = rows.encode_evacuation_key(name)
        except platform_exceptions.BadDocumentError as error:
            raise exceptions.UsageError(str(error)) from error
        if self.option("return"):
            _change(store.delete, rows.OPERATOR_TABLE, key)
            self.write(f"{name} is returned to use")
            return exit_codes.ExitCode.OK
        if not self.option("force"):
            _check_has_workers(store, name)
        _change(store.put, rows.OPERATOR_TABLE, key, rows.EVACUATION_VALUE)
        self.write(f"{name} is taken out of use")
        return exit_codes.ExitCode.OK

    def _list(self, store: stores.Store) -> exit_codes.ExitCode:
        names = []
        for row in _read(store, rows.OPERATOR_TABLE):
            try:
                name = rows.decode_evacuation(row.key)
            except platform_exceptions.BadDocumentError as error:
                self.write_error(f"{row.key:.80}: {error}")
                continue
            if name is not None:
                names.append(name)
        names.sort()
        if self.option("json"):
            self.write_json({"evacuated": names})
        else:
            self.write(*names)
        return exit_codes.ExitCode.OK


def _check_has_workers(store: stores.Store, name: str) -> None:
    """Reject a data centre without workers, which is most likely a typo."""
    known = set()
    for row in _read(store, rows.WORKERS_TABLE):
        try:
            known.add(rows.decode_worker(row.key, row.value).data_centre)
        except platform_exceptions.BadDocumentError:
            continue
    if name not in known:
        names = ", ".join(sorted(known)) or "none"
        raise exceptions.UnknownTargetError(
            f"no worker is listed in {name}; data centres with workers: "
            f"{names}; --force accepts it anyway"
        )


def _read(store: stores.Store, table: str) -> tuple[stores.Row, ...]:
    try:
        return store.read_table(table).rows
    except platform_exceptions.StoreError as error:
        raise exceptions.UnreachableError(f"store: {error}") from error


def _change(write, *arguments: object) -> None:
    """Call a writing function of the store."""
    try:
        write(*arguments)
    except platform_exceptions.StoreRefusedError as error:
        raise exceptions.UnreachableError(f"store: {error}") from error
    except platform_exceptions.StoreError as error:
        raise exceptions.UnsettledError(
            f"store: {error}; the request may have been accepted, repeat it"
        ) from error
