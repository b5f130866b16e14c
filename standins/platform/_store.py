"""The key-value store: compare-and-swap, sessions that hold keys, and blocking reads."""

import threading
import time
import uuid
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class KvEntry:
    """The content of one key."""

    #: The value.
    value: bytes
    #: The store's index at the last change of the key.
    modify_index: int
    #: The session that holds the key.
    session_id: str | None


@dataclass(slots=True)
class _Session:
    ttl_s: float
    lapses_at: float


class KvStore:
    """Keys and sessions in memory; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._index = 0
        self._entries: dict[str, KvEntry] = {}
        self._sessions: dict[str, _Session] = {}
        self._watched: dict[str, threading.Condition] = {}
        self._session_opened = threading.Condition(self._lock)
        threading.Thread(target=self._run_lapses, name="sessions", daemon=True).start()

    @property
    def index(self) -> int:
        """Return the index of the last change."""
        return self._index

    def read(self, key: str) -> KvEntry | None:
        """Return the entry of a key.

        :param key: the key.
        """
        return self._entries.get(key)

    def wait(self, key: str, index: int, wait_s: float) -> KvEntry | None:
        """Return the entry once its index differs from the one given, or after a wait.

        A missing key is waited for, whatever the index.

        :param key: the key.
        :param index: the index known to the caller.
        :param wait_s: longest wait in seconds.
        """
        with self._lock:
            condition = self._watched.setdefault(key, threading.Condition(self._lock))
            condition.wait_for(lambda: self._differs(key, index), wait_s)
            return self._entries.get(key)

    def compare_and_swap(self, key: str, value: bytes, index: int) -> bool:
        """Write a key if it is at an index.

        :param key: the key.
        :param value: the new value.
        :param index: the expected index; 0 if the key must not exist.
        """
        with self._lock:
            entry = self._entries.get(key)
            if (entry.modify_index if entry else 0) != index:
                return False
            self._write(key, value, entry.session_id if entry else None)
            return True

    def acquire(self, key: str, value: bytes, session_id: str) -> bool:
        """Write a key and hold it by a session.

        :param key: the key.
        :param value: the value to write.
        :param session_id: the session.
        :returns: False if the session has lapsed or another one holds the key.
        """
        with self._lock:
            entry = self._entries.get(key)
            holder = entry.session_id if entry else None
            if session_id not in self._sessions or holder not in (None, session_id):
                return False
            self._write(key, value, session_id)
            return True

    def create_session(self, ttl_s: float) -> str:
        """Open a session and return its id.

        :param ttl_s: time to live without renewal, in seconds.
        """
        session_id = str(uuid.uuid4())
        with self._lock:
            self._sessions[session_id] = _Session(ttl_s, time.monotonic() + ttl_s)
            self._session_opened.notify()
        return session_id

    def renew_session(self, session_id: str) -> bool:
        """Renew a session; False if it has lapsed.

        :param session_id: the session.
        """
        with self._lock:
            session = self._sessions.get(session_id)
            if session is None:
                return False
            session.lapses_at = time.monotonic() + session.ttl_s
            return True

    def destroy_session(self, session_id: str) -> None:
        """End a session and release its keys.

        :param session_id: the session.
        """
        with self._lock:
            self._end_session(session_id)

    def _differs(self, key: str, index: int) -> bool:
        entry = self._entries.get(key)
        return entry is not None and entry.modify_index != index

    def _write(self, key: str, value: bytes, session_id: str | None) -> None:
        self._index += 1
        self._entries[key] = KvEntry(value, self._index, session_id)
        self._notify(key)

    def _notify(self, key: str) -> None:
        condition = self._watched.get(key)
        if condition is not None:
            condition.notify_all()

    def _end_session(self, session_id: str) -> None:
        self._sessions.pop(session_id, None)
        for key, entry in self._entries.items():
            if entry.session_id == session_id:
                self._index += 1
                released = replace(entry, session_id=None, modify_index=self._index)
                self._entries[key] = released
                self._notify(key)

    def _run_lapses(self) -> None:
        with self._lock:
            while True:
                now = time.monotonic()
                for session_id in self._lapsed_sessions(now):
                    self._end_session(session_id)
                ends = [session.lapses_at for session in self._sessions.values()]
                self._session_opened.wait(min(ends) - now if ends else None)

    def _lapsed_sessions(self, now: float) -> list[str]:
        return [
            session_id for session_id, session in self._sessions.items() if session.lapses_at <= now
        ]
