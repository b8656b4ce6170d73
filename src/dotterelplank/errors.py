"""The exception tree, with one public base that an embedder can catch."""

import typing as t


class DotterelplankError(Exception):
    """Base of every error that this package raises on purpose."""


class InputError(DotterelplankError):
    """Input from outside was refused; it names the place, what was met and expected.

    :param path: the place of the fault, such as ``teams[3].share``.
    :param actual: what was found there.
    :param expected: what would have been accepted.
    """

    def __init__(self, path: str, actual: str, expected: str) -> None:
        super().__init__(f"{path}: met {actual}, expected {expected}")
        self.path = path
        self.actual = actual
        self.expected = expected


class SettingsError(InputError):
    """The settings of a process can't be used."""


class ConfigurationError(InputError):
    """A configuration text is refused as a whole.

    :param faults: every fault found, one :class:`InputError` each.
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
    """A peer sent bytes that are no valid frame, or a frame out of place."""


class PeerRefusedError(ProtocolError):
    """A peer did not prove that it belongs to this system."""


class LinkClosedError(DotterelplankError):
    """A stream to a peer ended.

    :param written: whether any byte of the frame in hand may have left.
    """

    def __init__(self, message: str, written: bool) -> None:
        super().__init__(message)
        self.written = written


class UpstreamError(DotterelplankError):
    """A system outside (platform, engine, plain service) failed a call.

    :param sent: whether the call may have been received.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class InvariantError(DotterelplankError):
    """A promise that must always hold was found broken; the process stops the act."""


class StandinRefusalError(DotterelplankError):
    """A stand-in of an outside system refuses a call.

    :param status: HTTP status of the answer.
    :param code: numbered result code; ``docs/STANDINS.md`` lists them.
    :param fields: further members of the answer's JSON body.
    """

    def __init__(self, status: int, code: int, message: str, **fields: t.Any) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.fields = fields
