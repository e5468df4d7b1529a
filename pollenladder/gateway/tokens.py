"""Bearer tokens of callers and operators.

A token is looked up by its SHA-256, so no comparison runs in a time that
depends on how much of a guessed token is right: a guess gives a hash that its
sender does not choose.
"""

from collections.abc import Callable
import hashlib
from typing import Any

from pollenladder.gateway import exceptions
from pollenladder.plans import declarations

SCHEME = "bearer"
MAX_TOKEN_CHARS = 512


def _read_token(environ: dict[str, Any]) -> str:
    words = environ.get("HTTP_AUTHORIZATION", "").split()
    if len(words) != 2 or words[0].lower() != SCHEME:
        raise exceptions.RequestError(
            401, "token_missing", "Authorization", "a bearer token is needed"
        )
    return words[1][:MAX_TOKEN_CHARS]


def hash_token(token: str) -> str:
    """Return the hash under which declarations hold a token."""
    return hashlib.sha256(token.encode("latin-1", "replace")).hexdigest()


class TokenIndex:
    """Holders of tokens by hash, for the declarations now in force."""

    def __init__(
        self, get_declarations: Callable[[], declarations.Declarations]
    ):
        self._get_declarations = get_declarations
        self._indexed: declarations.Declarations | None = None
        self._customers: dict[str, declarations.Customer] = {}
        self._operators: dict[str, declarations.Operator] = {}

    def _refresh(self) -> None:
        current = self._get_declarations()
        if current is self._indexed:
            return
        customers = current.customers.values()
        operators = current.operators.values()
        self._customers = {c.token_sha256: c for c in customers}
        self._operators = {o.token_sha256: o for o in operators}
        self._indexed = current

    def find_customer(self, environ: dict[str, Any]) -> declarations.Customer:
        """Return the customer whose token a request carries.

        Raises:
            exceptions.RequestError: 401 for no known token, 403 for an
                operator's.
        """
        digest = hash_token(_read_token(environ))
        self._refresh()
        return _find(digest, self._customers, self._operators, "customer")

    def find_operator(self, environ: dict[str, Any]) -> declarations.Operator:
        """Return the operator whose token a request carries.

        Raises:
            exceptions.RequestError: 401 for no known token, 403 for a
                customer's.
        """
        digest = hash_token(_read_token(environ))
        self._refresh()
        return _find(digest, self._operators, self._customers, "operator")


def _find(
    digest: str, wanted: dict[str, Any], others: dict[str, Any], role: str
) -> Any:
    holder = wanted.get(digest)
    if holder is not None:
        return holder
    if digest in others:
        raise exceptions.RequestError(
            403, "wrong_role", "Authorization", f"the token is no {role}'s"
        )
    raise exceptions.RequestError(
        401, "token_unknown", "Authorization", "the token is not known"
    )
