"""Witnesses that answer refusals as a test says."""

import threading

from foxtailshunt.errors import PeerUnreachableError, ResultCode
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import RefuseReply, RefuseRequest


class RefusingWitnesses:
    """Implements :class:`~foxtailshunt.assigner.RefuseClient`."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answers: dict[str, str] = {}
        self._asked: dict[str, int] = {}

    def set_answers(self, text: str) -> None:
        """Set answers from text such as ``a=yes b=lost``; other witnesses do not answer."""
        self._answers = dict(part.split("=") for part in text.split())

    def all_answered(self) -> bool:
        """Return whether each witness with an answer has been asked, and noted.

        A witness is asked again until its answer counts; one that counts is asked once, and its
        answer is noted before its asking thread ends.
        """
        with self._lock:
            asked = all(self._asked.get(name, 0) >= 1 for name in self._answers)
        threads = [thread.name for thread in threading.enumerate()]
        counting = [name for name, answer in self._answers.items() if answer in ("yes", "replaced")]
        return asked and not any(f"refuse-{name}" in threads for name in counting)

    def refuse(self, address: Address, req: RefuseRequest) -> RefuseReply:
        """Answer one request."""
        name = req.witness_boot_id
        with self._lock:
            self._asked[name] = self._asked.get(name, 0) + 1
        answer = self._answers.get(name, "lost")
        if answer == "lost":
            raise PeerUnreachableError("no answer", sent=True)
        if answer == "replaced":
            return RefuseReply(int(ResultCode.WRONG_BOOT_ID), f"next-{name}")
        code = ResultCode.ACCEPTED if answer == "yes" else ResultCode.STALE_FENCE
        return RefuseReply(int(code), name)
