"""Demonstrates the fleet that quickstart.sh starts, step by step."""

import json
import sys
import time
from typing import Any, Callable

import urllib3

from catkintrail import admin_client
from catkintrail import checking
from catkintrail import errors
from catkintrail.core import publication

ENTRY_URLS = [f"http://127.0.0.1:{port}" for port in range(8101, 8107)]
SERVICE_URLS = [f"http://127.0.0.1:{port}" for port in range(7201, 7204)]
OPERATOR_KEY = "example-operator-key"
CALLER_KEY = "example-key-falu-gille"
START_TIMEOUT_SECONDS = 40.0
CHANGE_TIMEOUT_SECONDS = 7.0

HTTP = urllib3.PoolManager(retries=False)


def main(example_path: str) -> int:
    """Runs all steps and prints their results.

    Args:
        example_path: Directory with the example's objects.json.

    Returns:
        The exit code.

    Raises:
        SystemExit: A step failed.
    """
    client = admin_client.AdminClient(ENTRY_URLS[0], OPERATOR_KEY)
    wait_until(
        lambda: all(map(is_ready, ENTRY_URLS)), START_TIMEOUT_SECONDS, "ready"
    )
    print("all six entry instances are ready")
    publish(client, f"{example_path}/objects.json")
    wait_until(have_all_targets, START_TIMEOUT_SECONDS, "targets")
    print("every zone has its engines and its service")
    stream_completion(
        "a short question", "Which well is dressed first? " * 20, ENTRY_URLS[1]
    )
    stream_completion(
        "a prompt of 200,000 tokens", "flower " * 114_286, ENTRY_URLS[2]
    )
    stream_completion(
        "a prompt of 950,000 tokens, over two engines' memory",
        "petal " * 633_334,
        ENTRY_URLS[4],
    )
    send_booking_twice()
    change_limit(client)
    print("done")
    return 0


def publish(client: admin_client.AdminClient, path: str) -> None:
    """Publishes a document of objects and waits until all instances use it."""
    data = checking.read_document(path)
    planned_edits = client.plan_edits(data, path, False)
    if planned_edits:
        client.publish_edits([edit for edit, _ in planned_edits])
    generation = client.read_objects()["generation"]
    wait_until(
        lambda: have_generation(generation), CHANGE_TIMEOUT_SECONDS, "objects"
    )
    print(f"objects published: generation {generation} on all instances")


def stream_completion(description: str, prompt: str, url: str) -> None:
    """Streams a completion and prints its time to first token."""
    start = time.monotonic()
    response = HTTP.request(
        "POST",
        f"{url}/v1/completions",
        body=json.dumps(
            {
                "model": "design",
                "prompt": prompt,
                "max_tokens": 32,
                "stream": True,
            }
        ),
        headers={"Authorization": f"Bearer {CALLER_KEY}"},
        preload_content=False,
        timeout=120.0,
    )
    if response.status != 200:
        raise SystemExit(
            f"{description}: {response.status} {response.read()!r}"
        )
    first_event_seconds = 0.0
    completion_tokens = 0
    is_complete = False
    for line in response:
        if not line.startswith(b"data: "):
            continue
        first_event_seconds = first_event_seconds or time.monotonic() - start
        if line.startswith(b"data: [DONE]"):
            is_complete = True
            break
        data = json.loads(line[6:])
        if "error" in data:
            raise SystemExit(f"{description}: {data['error']['message']}")
        completion_tokens = data.get("usage", {}).get(
            "completion_tokens", completion_tokens
        )
    if not is_complete:
        raise SystemExit(f"{description}: the stream ended early")
    print(
        f"{description}: first token after {first_event_seconds:.2f} s, "
        f"{completion_tokens} tokens, complete"
    )


def send_booking_twice() -> None:
    """Sends one booking through two instances with the same idempotency key.

    Checks that a service executed the booking once.
    """
    idempotency_key = f"booking-{time.time_ns()}"
    booking_numbers = []
    for url in (ENTRY_URLS[0], ENTRY_URLS[5]):
        response = HTTP.request(
            "POST",
            f"{url}/services/rota/bookings",
            body=json.dumps({"well": "Stora brunnen", "day": "2027-05-06"}),
            headers={
                "Authorization": f"Bearer {CALLER_KEY}",
                "Idempotency-Key": idempotency_key,
            },
            timeout=20.0,
        )
        if response.status != 200:
            raise SystemExit(f"booking: {response.status} {response.data!r}")
        booking_numbers.append(response.json()["number"])
    executions = sum(
        HTTP.request("GET", f"{url}/standin/executions")
        .json()
        .get(idempotency_key, 0)
        for url in SERVICE_URLS
    )
    if executions != 1:
        raise SystemExit(f"the booking was executed {executions} times")
    print("a booking sent twice with one key: executed once, both answered")


def change_limit(client: admin_client.AdminClient) -> None:
    """Changes a rate limit and waits until all instances apply it."""
    current = client.read_objects()["objects"]["organisations"]["orsa-gille"]
    limit = current["requests_per_second"] + 1.0
    changed = {**current, "requests_per_second": limit}
    start = time.monotonic()
    base = publication.object_digest(current)
    edit = publication.Edit("organisations", "orsa-gille", changed, base)
    generation = client.publish_edits([edit])["generation"]
    wait_until(
        lambda: have_generation(generation), CHANGE_TIMEOUT_SECONDS, "the limit"
    )
    seconds = time.monotonic() - start
    print(f"a changed limit: applied by all instances after {seconds:.2f} s")


def have_generation(generation: int) -> bool:
    """Returns whether all instances have at least a given generation."""
    return all(
        read_status(url).get("generation", 0) >= generation
        for url in ENTRY_URLS
    )


def have_all_targets() -> bool:
    """Returns whether all pools have their targets.

    Each of the three zones has a pool of four engines and a pool of one
    service target.
    """
    counts: dict[tuple[str, str], int] = {}
    for url in ENTRY_URLS:
        instance_status = read_status(url)
        for pool in instance_status.get("pools", ()):
            pool_key = (instance_status["availability_zone"], pool["serves"])
            counts[pool_key] = max(
                counts.get(pool_key, 0), len(pool["targets"])
            )
    return len(counts) == 6 and all(
        count >= (1 if serves == "rotatjanst" else 4)
        for (_, serves), count in counts.items()
    )


def read_status(url: str) -> dict[str, Any]:
    """Returns the status of an instance; {} if the call fails."""
    try:
        return admin_client.AdminClient(url, OPERATOR_KEY).read_status()
    except errors.CatkintrailError:
        return {}


def is_ready(url: str) -> bool:
    """Returns whether an instance reports that it is ready."""
    try:
        return HTTP.request("GET", f"{url}/readyz", timeout=1.0).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def wait_until(
    condition: Callable[[], bool], seconds: float, description: str
) -> None:
    """Waits until a condition holds.

    Raises:
        SystemExit: The condition does not hold after the given seconds.
    """
    timeout_at = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > timeout_at:
            raise SystemExit(f"not reached within {seconds} s: {description}")
        time.sleep(0.1)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
