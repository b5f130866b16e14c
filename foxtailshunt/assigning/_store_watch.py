"""Watches keys of the store although the response of a watch may be lost."""

from foxtailshunt.platform import NoResponseError, StoreChange, StoreClient


class StoreWatch:
    """Waits for changes of the keys under a prefix; used by one thread.

    A watch without a response, or whose wait was ended by ``StoreClient.renew_watches``, is
    repeated at once without a wait: a response that was lost does not arrive later, but the store
    keeps its changes.

    :param store: the store.
    :param prefix: prefix of the keys.
    """

    def __init__(self, store: StoreClient, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    def wait(self, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        """Wait for changes; return them in order and the revision to continue from.

        :param after: revision of the last known change.
        :param wait_s: how long the store may wait for a change, in seconds.
        :raises HistoryLostError: the store no longer keeps the changes since the revision.
        :raises StoreError: the call failed, or the repetition did.
        """
        try:
            return self._store.watch(self._prefix, after, wait_s)
        except NoResponseError:
            return self._store.watch(self._prefix, after, 0.0)
