"""The exception hierarchy, with one public base class for embedders to catch."""

import typing as t


class DotterelplankError(Exception):
    """Base class of all exceptions that this package raises deliberately."""


class InputError(DotterelplankError):
    """External input is invalid.

    :param path: path of the invalid value, such as ``teams[3].share``.
    :param actual: description of the value found.
    :param expected: description of the values that are valid.
    """

    def __init__(self, path: str, actual: str, expected: str) -> None:
        super().__init__(f"{path}: met {actual}, expected {expected}")
        self.path = path
        self.actual = actual
        self.expected = expected


class SettingsError(InputError):
    """The settings of a process are missing or invalid."""


class ConfigurationError(InputError):
    """A configuration text is invalid and none of it is used.

    :param faults: all faults found, each as an :class:`InputError`.
    """

    def __init__(self, faults: t.Sequence[InputError]) -> None:
        first = faults[0]
        super().__init__(first.path, first.actual, first.expected)
        self.faults = tuple(faults)

    def __str__(self) -> str:
        return "; ".join(str(fault) for fault in self.faults)


class RequestError(InputError):
    """A caller's request is malformed and was not run."""


class ProtocolError(DotterelplankError):
    """A peer sent an invalid frame or message, or a frame that is not allowed now."""


class PeerRefusedError(ProtocolError):
    """A peer was refused because it did not prove that it belongs to this system."""


class LinkClosedError(DotterelplankError):
    """A stream to a peer ended.

    :param written: whether any byte of the current frame may have been sent.
    """

    def __init__(self, message: str, written: bool) -> None:
        super().__init__(message)
        self.written = written


class UpstreamError(DotterelplankError):
    """A call to an external system failed: the platform, an engine or a plain service.

    :param sent: whether the call may have been received.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class InvariantError(DotterelplankError):
    """An invariant was violated, so the operation is stopped."""


class StandinRefusalError(DotterelplankError):
    """A stand-in for an external system refused a call.

    :param status: HTTP status of the response.
    :param code: numbered result code; ``docs/STANDINS.md`` lists the codes.
    :param fields: additional members of the response's JSON body.
    """

    def __init__(self, status: int, code: int, message: str, **fields: t.Any) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.fields = fields
