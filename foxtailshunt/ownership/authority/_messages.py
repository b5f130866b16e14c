"""Fences as messages of the inner protocol."""

from foxtailshunt.ownership._records import Fence
from foxtailshunt.protocol import FenceMessage


def fence_to_message(fence: Fence) -> FenceMessage:
    """Return a fence as a message.

    :param fence: the fence.
    """
    return FenceMessage(term=fence.term, version=fence.version)


def fence_from_message(message: FenceMessage) -> Fence:
    """Return the fence of a message.

    :param message: the message.
    """
    return Fence(message.term, message.version)
