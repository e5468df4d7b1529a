"""Bearer tokens of callers and operators.

Tokens are looked up by their SHA-256 hash, which prevents timing attacks. The
time of a lookup may depend on how much of two hashes is equal. It does not show
how much of a guessed token is right, because the sender can't choose the hash
of a guess.
"""

from collections.abc import Callable
import hashlib
from typing import Any

from pollenladder.gateway import exceptions
from pollenladder.plans import declarations

SCHEME = "bearer"
# Longer tokens are truncated before they are hashed.
MAX_TOKEN_CHARS = 512


def _get_bearer_token(environ: dict[str, Any]) -> str:
    words = environ.get("HTTP_AUTHORIZATION", "").split()
    if len(words) != 2 or words[0].lower() != SCHEME:
        raise exceptions.RequestError(
            401, "token_missing", "Authorization", "a bearer token is needed"
        )
    return words[1][:MAX_TOKEN_CHARS]


def hash_token(token: str) -> str:
    """Return the hash of a token, as stored in the declarations.

    The encoding is Latin-1, as WSGI decodes header fields with it.
    """
    return hashlib.sha256(token.encode("latin-1", "replace")).hexdigest()


class TokenIndex:
    """Customers and operators by token hash, from the current declarations."""

    def __init__(
        self, get_declarations: Callable[[], declarations.Declarations]
    ):
        self._get_declarations = get_declarations
        self._indexed_declarations: declarations.Declarations | None = None
        self._customers: dict[str, declarations.Customer] = {}
        self._operators: dict[str, declarations.Operator] = {}

    def _refresh(self) -> None:
        """Rebuild the index if the declarations have changed."""
        current = self._get_declarations()
        if current is self._indexed_declarations:
            return
        customers = current.customers.values()
        operators = current.operators.values()
        self._customers = {c.token_sha256: c for c in customers}
        self._operators = {o.token_sha256: o for o in operators}
        self._indexed_declarations = current

    def find_customer(self, environ: dict[str, Any]) -> declarations.Customer:
        """Return the customer whose token a request carries.

        Raises:
            exceptions.RequestError: 401 for a missing or unknown token, 403
                for an operator's token.
        """
        digest = hash_token(_get_bearer_token(environ))
        self._refresh()
        return _find_holder(
            digest, self._customers, self._operators, "customer"
        )

    def find_operator(self, environ: dict[str, Any]) -> declarations.Operator:
        """Return the operator whose token a request carries.

        Raises:
            exceptions.RequestError: 401 for a missing or unknown token, 403
                for a customer's token.
        """
        digest = hash_token(_get_bearer_token(environ))
        self._refresh()
        return _find_holder(
            digest, self._operators, self._customers, "operator"
        )


def _find_holder(
    digest: str, wanted: dict[str, Any], others: dict[str, Any], role: str
) -> Any:
    """Return the holder of a token hash, who must have the wanted role."""
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
