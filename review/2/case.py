"""Requests that wait for a permit while their machine stands still hang.

All servers of a service name a limit, so that each request needs a permit, for
which another machine is asked. A machine freezes while it serves a crowd.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from standins import fleet as fleets

ZONES = ["zone-a", "zone-a", "zone-b", "zone-b"]
SERVER_ZONES = ["zone-a", "zone-b", "zone-a"]
# Requests a second, of each server.
LIMIT = 400
TIMEOUT_SECONDS = 8.0
DEADLINE_SECONDS = 10.0
WARM_UP_REQUESTS = 60
# Twice as many come in two waves.
CROWD = 80
CROWD_GAP_SECONDS = 0.06
ROUNDS = 9
ROUND_SECONDS = 10.0
# The machine freezes this long after the second wave has begun to come.
FREEZE_AFTER_SECONDS = (0.09, 0.12)
FREEZE_SECONDS = 3.5
METRICS_PORT = 9464
IN_FLIGHT = "catkintrail_requests_in_flight"

ROUTE = {
    "name": "order-lookup",
    "path-prefix": "/lookup/",
    "kind": "idempotent",
    "service": "desk",
    "timeout-ms": round(TIMEOUT_SECONDS * 1000),
    "goal-ms": 300,
    "priority": 2,
}


async def play(fleet: fleets.Fleet, has_trouble: bool) -> str:
    """Plays the case; returns how the rule was broken, or ""."""
    spec = fleets.make_spec(7, [ROUTE], ["desk"])
    await fleet.start(ZONES, [("desk", zone) for zone in SERVER_ZONES], spec)
    for engine in fleet.engines:
        engine.limit = str(LIMIT)
    asks: list[asyncio.Task] = []

    def send(instance: fleets.Instance) -> None:
        asks.append(
            asyncio.get_running_loop().create_task(
                fleet.ask(
                    instance,
                    "/lookup/status",
                    method="GET",
                    deadline_ms=round(DEADLINE_SECONDS * 1000),
                    wait_seconds=DEADLINE_SECONDS,
                )
            )
        )

    for _ in range(WARM_UP_REQUESTS):
        send(random.choice(fleet.instances))
        await asyncio.sleep(0.02)
    await asyncio.sleep(fleets.CONTACT_SECONDS)
    crowded = fleet.instances[1]
    woken_at: list[float] = []
    for _ in range(ROUNDS):
        round_at = time.monotonic()
        for _ in range(CROWD):
            send(crowded)
        await asyncio.sleep(CROWD_GAP_SECONDS)
        for _ in range(CROWD):
            send(crowded)
        await asyncio.sleep(random.uniform(*FREEZE_AFTER_SECONDS))
        if has_trouble:
            fleet.record.write("frozen", machine=crowded.name)
            crowded.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_SECONDS)
            crowded.signal(signal.SIGCONT)
            fleet.record.write("woken", machine=crowded.name)
            woken_at.append(time.monotonic())
        left = round_at + ROUND_SECONDS - time.monotonic()
        await asyncio.sleep(max(0.0, left))
    await asyncio.gather(*asks)
    await _record_in_flight(fleet, crowded)
    return _judge(fleet, woken_at)


async def _record_in_flight(
    fleet: fleets.Fleet, instance: fleets.Instance
) -> None:
    """Records how many requests a machine still serves after all have ended."""
    reader, writer = await asyncio.open_connection(instance.ip, METRICS_PORT)
    headers = [("Host", instance.ip), ("Connection", "close")]
    writer.write(fleets.encode_head("GET /metrics HTTP/1.1", headers))
    text = (await reader.read()).decode("utf-8")
    writer.close()
    lines = [line for line in text.splitlines() if IN_FLIGHT in line]
    fleet.record.write("in_flight", machine=instance.name, metrics=lines)
    print("\n".join(line for line in lines if not line.startswith("#")))


def _judge(fleet: fleets.Fleet, woken_at: list[float]) -> str:
    """Applies the rule CONFIG on requests that outlast their time-out."""
    unanswered = [a for a in fleet.answers if a.seconds > TIMEOUT_SECONDS]
    late = [
        answer
        for answer in unanswered
        if answer.seconds > TIMEOUT_SECONDS + 0.5
        and _is_in_touch(answer.sent_at + TIMEOUT_SECONDS + 0.5, woken_at)
    ]
    for answer in late:
        fleet.record.write("never_answered", **answer._asdict())
    text = (
        f"{len(fleet.answers)} requests; {len(unanswered)} unanswered at their"
        f" time-out, {len(late)} of these still so half a second later, at a"
        " machine in touch"
    )
    fleet.record.write("summary", text=text)
    print(text)
    if late and 2 * len(late) > len(unanswered):
        return f"CONFIG: {len(late)} of {len(unanswered)} requests"
    return ""


def _is_in_touch(at: float, woken_at: list[float]) -> bool:
    """Returns whether the machine was in touch at a time."""
    return not any(
        end - FREEZE_SECONDS - 0.5 <= at <= end + fleets.CONTACT_SECONDS
        for end in woken_at
    )


if __name__ == "__main__":
    sys.exit(fleets.run_case(pathlib.Path(__file__).resolve().parent, play))
