"""The bytes that an instance holds for callers, and who has to give way.

One budget covers what was read from callers and what waits for them. A source
(a caller's address, or its organisation) may use a multiple of what is free, so
that one source alone leaves a fifth to others, and two leave a ninth each.
"""

from typing import Iterable

__all__ = ["Account", "ByteBudget", "budget_bytes", "connection_limit"]

# Memory of an instance without callers, with all its threads (66 MB measured
# with 160 threads) and what the interpreter does not return.
BASE_BYTES = 85 << 20
# Memory of a connection without bytes: objects of the connection, its socket
# and its registration.
CONNECTION_BYTES = 10 << 10
# A body exists twice when it becomes whole, and buffers grow by an eighth.
COPIES = 2.5
MIN_BUDGET_BYTES = 16 << 20
# Descriptors for files, as the platform states them.
FILE_DESCRIPTORS = 200
# The other descriptors are for targets, peers and the store.
CONNECTION_SHARE = 0.75
MIN_CONNECTIONS = 64
# A source may use this multiple of what is free.
SHARE_OF_FREE = 4.0
# An account without progress for this long gives way before newer ones do.
STALL_SECONDS = 0.5


def budget_bytes(memory_mb: float, connections: int) -> int:
    """Returns the budget of an instance.

    Args:
        memory_mb: Memory of its machine; 0 if unknown.
        connections: Maximum number of callers' connections.
    """
    if not memory_mb:
        return 1 << 62
    memory = int(memory_mb * (1 << 20))
    spare = memory - BASE_BYTES - connections * CONNECTION_BYTES
    return max(MIN_BUDGET_BYTES, int(spare / COPIES))


def connection_limit(descriptors: int) -> int:
    """Returns the maximum number of callers' connections.

    Args:
        descriptors: Descriptors that the process may have; 0 if unknown.
    """
    if not descriptors:
        return 1 << 62
    share = int((descriptors - FILE_DESCRIPTORS) * CONNECTION_SHARE)
    return max(MIN_CONNECTIONS, share)


class Account:
    """The bytes held for one connection.

    Attributes:
        sources: Caller address and organisation, as far as they are known.
        size: Bytes held.
        started_at: When the request in progress began, in seconds.
        progress_at: When its caller last sent or took bytes, in seconds.
        is_waiting: Whether the connection waits for its caller, so that it may
            be ended.
        is_ended: Whether the connection had to give way.
    """

    def __init__(self, sources: tuple[str, ...], now: float) -> None:
        self.sources = sources
        self.size = 0
        self.started_at = now
        self.progress_at = now
        self.is_waiting = False
        self.is_ended = False


class ByteBudget:
    """Grants bytes to accounts, and chooses which ones give way.

    Not thread-safe.

    Attributes:
        total: Bytes that all accounts together may hold.
        used: Bytes held.
        refused: Number of requests for bytes that were refused.
        ended: Number of accounts that had to give way.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.used = 0
        self.refused = 0
        self.ended = 0
        self._by_source: dict[str, int] = {}
        self._waiting: set[Account] = set()

    def set_waiting(self, account: Account, is_waiting: bool) -> None:
        """Records whether a connection waits for its caller."""
        account.is_waiting = is_waiting
        if is_waiting and not account.is_ended:
            self._waiting.add(account)
        else:
            self._waiting.discard(account)

    def set_sources(self, account: Account, sources: tuple[str, ...]) -> None:
        """Sets to whom an account counts."""
        self._count_sources(account, -account.size)
        account.sources = sources
        self._count_sources(account, account.size)

    def take(
        self, account: Account, size: int, now: float
    ) -> tuple[bool, list[Account]]:
        """Takes bytes for an account.

        Args:
            account: The account.
            size: Number of bytes.
            now: Time in seconds.

        Returns:
            Whether they are granted, and the accounts whose connections have to
            be ended; their bytes are released already.
        """
        ended: list[Account] = []
        if account.is_ended:
            return False, ended
        while (source := self._find_spent(account, size)) is not None:
            victim = self._choose(account, source, now)
            if victim is None:
                self.refused += 1
                return False, ended
            self.end(victim)
            ended.append(victim)
        self.used += size
        account.size += size
        self._count_sources(account, size)
        return True, ended

    def release(self, account: Account) -> None:
        """Releases all bytes of an account."""
        self.used -= account.size
        self._count_sources(account, -account.size)
        account.size = 0

    def end(self, account: Account) -> None:
        """Marks an account as one that gives way; releases its bytes."""
        self.release(account)
        account.is_ended = True
        self._waiting.discard(account)
        self.ended += 1

    def choose_stalled(
        self, accounts: Iterable[Account], count: int, before: float
    ) -> list[Account]:
        """Returns those that wait longest for their callers.

        Args:
            accounts: The accounts to choose from.
            count: The largest number of them.
            before: Their last progress has to be older; in seconds.
        """
        stalled = [
            account
            for account in accounts
            if account in self._waiting and account.progress_at < before
        ]
        stalled.sort(key=lambda account: account.progress_at)
        return stalled[:count]

    def _find_spent(self, account: Account, size: int) -> str | None:
        """Returns the source whose share is spent; "" for the budget."""
        free = self.total - self.used - size
        if free < 0:
            return ""
        for source in account.sources:
            if self._by_source.get(source, 0) + size > SHARE_OF_FREE * free:
                return source
        return None

    def _choose(
        self, account: Account, source: str, now: float
    ) -> Account | None:
        """Returns the account that gives way: the slowest, else the newest."""
        candidates = [
            other
            for other in self._waiting
            if other.size
            and other is not account
            and (not source or source in other.sources)
        ]
        stalled = [
            other
            for other in candidates
            if now - other.progress_at >= STALL_SECONDS
        ]
        if stalled:
            return min(stalled, key=lambda other: other.progress_at)
        newer = [
            other
            for other in candidates
            if other.started_at > account.started_at
        ]
        return max(newer, key=lambda other: other.started_at, default=None)

    def _count_sources(self, account: Account, size: int) -> None:
        for source in account.sources:
            count = self._by_source.get(source, 0) + size
            if count:
                self._by_source[source] = count
            else:
                self._by_source.pop(source, None)
