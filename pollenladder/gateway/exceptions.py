"""Errors of the gateway."""


class JobUnknownError(Exception):
    """No reachable daemon knows a job of this id and customer."""


class RequestError(Exception):
    """An error that is returned to the sender of a request.

    Attributes:
        status: The HTTP status code.
        code: The machine-readable error code.
        field: The path of the invalid field in the body, or the invalid part
            of the request, such as `Content-Type`.
        detail: The human-readable description.
        retry_after_s: Seconds after which the sender may retry, or None.
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
