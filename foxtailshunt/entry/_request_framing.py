"""How many bytes a caller's request still needs before a worker reads it."""

import re
from dataclasses import dataclass

from foxtailshunt.http import MAX_HEAD_BYTES

_END_OF_HEAD = b"\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length[ \t]*:[ \t]*([0-9]{1,12})[ \t]*\r\n", re.I)
_EXPECT = re.compile(rb"\r\nexpect[ \t]*:[ \t]*100-continue[ \t]*\r\n", re.I)


@dataclass(frozen=True, slots=True)
class Framing:
    """What the bytes received so far say of a request."""

    #: Bytes that must have arrived before a worker reads the request; those received or fewer if
    #: it is whole or will be refused.
    needed_bytes: int
    #: True if the caller waits for ``100 Continue`` before it sends the body.
    expects_continue: bool = False


def frame_request(received: bytes, max_body_bytes: int) -> Framing:
    """Return the framing of the request that the received bytes start with.

    A malformed or oversized request counts as whole, so that a worker refuses it.

    :param received: all bytes received of the request so far.
    :param max_body_bytes: largest body.
    """
    end = received.find(_END_OF_HEAD)
    if end < 0:
        return _frame_partial_head(received)
    head = received[: end + 2]
    found = _CONTENT_LENGTH.search(head)
    if found is None:
        return Framing(0)
    length = int(found[1])
    total = end + len(_END_OF_HEAD) + length
    if length > max_body_bytes:
        return Framing(0)
    return Framing(total, len(received) < total and _EXPECT.search(head) is not None)


def _frame_partial_head(received: bytes) -> Framing:
    if len(received) >= MAX_HEAD_BYTES or b"\n\n" in received:
        return Framing(0)
    return Framing(len(received) + 1)
