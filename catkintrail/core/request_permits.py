"""Issues permits for requests at targets that have named a limit.

For each such target one instance issues the permits of the whole fleet, so that
the limit is kept by all together however many they are; a share of the limit
for each would leave none a whole request. The issuer is the first coordinator
of the target's availability zone: whoever reaches the target usually reaches
its zone too. Times are in seconds of a clock that keeps running while the
machine is suspended.
"""

from catkintrail.core import target_limits

__all__ = ["PermitIssuer"]

# Permits that were not asked for are kept up to this much of the limit.
BURST_SECONDS = 0.25
# How long an unused schedule is kept.
RETENTION_SECONDS = 60.0


class PermitIssuer:
    """The schedules of targets: when the next permit of each may be issued.

    The generic cell rate algorithm (ITU-T I.371). A new issuer does not know
    what was sent before, so that its first permit comes after a whole interval.
    """

    def __init__(self) -> None:
        self._next_permits: dict[target_limits.TargetKey, float] = {}

    def issue(
        self,
        key: target_limits.TargetKey,
        requests_per_second: float,
        now: float,
    ) -> float:
        """Issues a permit, if one is due.

        Args:
            key: The target.
            requests_per_second: How many permits are issued a second.
            now: Time in seconds.

        Returns:
            0 if a permit was issued; otherwise the time until one is due, in
            seconds.
        """
        interval = 1.0 / requests_per_second
        # Permits that have accumulated, beyond the one that is due.
        credit = max(0.0, BURST_SECONDS - interval)
        due = min(
            self._next_permits.setdefault(key, now + interval), now + interval
        )
        due = max(due, now - credit)
        if due > now:
            self._next_permits[key] = due
            return due - now
        self._next_permits[key] = due + interval
        return 0.0

    def expire(self, now: float) -> None:
        """Drops the schedules of targets that were not asked for lately."""
        for key, due in list(self._next_permits.items()):
            if due < now - RETENTION_SECONDS:
                del self._next_permits[key]
