"""Errors of the gateway."""


class JobUnknownError(Exception):
    """No daemon within reach knows the job for this customer."""


class RequestError(Exception):
    """A request that is answered with an error.

    Attributes:
        status: The HTTP status.
        code: A word for programs.
        field: The path of the field at fault, or the part of the request.
        detail: A sentence for people.
        retry_after_s: When to come back, or None.
    """

    def __init__(
        self,
        status: int,
        code: str,
        field: str,
        detail: str,
        retry_after_s: float | None = None,
    ):
        super().__init__(detail)
        self.status = status
        self.code = code
        self.field = field
        self.detail = detail
        self.retry_after_s = retry_after_s
