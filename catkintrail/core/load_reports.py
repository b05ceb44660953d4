"""Converts attempts to and from the load messages between instances.

Messages carry times relative to the time of sending.
"""

from catkintrail import messages
from catkintrail.core import fleet_load

__all__ = ["apply_message", "make_snapshot", "make_update"]


def make_update(
    sender: str,
    puts: tuple[fleet_load.Attempt, ...],
    drops: tuple[str, ...],
    now: float,
    outcomes: tuple[messages.AttemptOutcome, ...] = (),
) -> messages.LoadUpdate:
    """Returns a message with attempts that changed or ended.

    Args:
        sender: Name of this instance.
        puts: New or changed attempts.
        drops: Keys of attempts that ended.
        now: Time in seconds.
        outcomes: Results of the attempts that ended.
    """
    return messages.LoadUpdate(
        sender,
        tuple(_to_report(attempt, now) for attempt in puts),
        drops,
        outcomes,
    )


def make_snapshot(
    sender: str, load: fleet_load.FleetLoad, now: float
) -> messages.LoadSnapshot:
    """Returns a message with all attempts of the sender."""
    own = load.by_owner.get(sender, {})
    return messages.LoadSnapshot(
        sender, tuple(_to_report(attempt, now) for attempt in own.values())
    )


def apply_message(
    load: fleet_load.FleetLoad,
    message: messages.LoadUpdate | messages.LoadSnapshot,
    now: float,
) -> None:
    """Applies a peer's load message."""
    load.reported_at[message.sender] = now
    if isinstance(message, messages.LoadSnapshot):
        load.replace_all(
            message.sender,
            [_from_report(report, now) for report in message.attempts],
        )
        return
    for key in message.drops:
        load.drop(message.sender, key)
    for report in message.puts:
        load.put(message.sender, _from_report(report, now))


def _to_report(
    attempt: fleet_load.Attempt, now: float
) -> messages.AttemptReport:
    return messages.AttemptReport(
        attempt.key,
        attempt.targets,
        attempt.memory,
        attempt.gap_goal_ms,
        round(attempt.weight, 3),
        round((attempt.prefill_end - now) * 1000.0, 1),
        attempt.is_decoding,
        round((now - attempt.placed_at) * 1000.0, 1),
    )


def _from_report(
    report: messages.AttemptReport, now: float
) -> fleet_load.Attempt:
    return fleet_load.Attempt(
        report.key,
        report.targets,
        report.memory,
        report.gap_goal_ms,
        report.weight,
        now + report.prefill_left_ms / 1000.0,
        report.is_decoding,
        now - report.age_ms / 1000.0,
    )
