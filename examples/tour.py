"""Shows the quick start's fleet at work; each step says what came of it."""

import json
import sys
import time
from typing import Any, Callable

import urllib3

from catkintrail import admin_client
from catkintrail import checking
from catkintrail import errors
from catkintrail.core import publication

ENTRIES = [f"http://127.0.0.1:{port}" for port in range(8101, 8107)]
SERVICES = [f"http://127.0.0.1:{port}" for port in range(7201, 7204)]
OPERATOR_KEY = "example-operator-key"
CALLER_KEY = "example-key-falu-gille"
START_SECONDS = 40.0
CHANGE_SECONDS = 7.0

HTTP = urllib3.PoolManager(retries=False)


def main(example: str) -> int:
    """Runs the tour; returns the exit code."""
    client = admin_client.AdminClient(ENTRIES[0], OPERATOR_KEY)
    wait_until(lambda: all(map(is_ready, ENTRIES)), START_SECONDS, "ready")
    print("all six entry instances are ready")
    publish(client, f"{example}/objects.json")
    wait_until(sees_targets, START_SECONDS, "targets")
    print("every zone has its engines and its service")
    ask("a short question", "Which well is dressed first? " * 20, ENTRIES[1])
    ask("a prompt of 200,000 tokens", "flower " * 114_286, ENTRIES[2])
    ask(
        "a prompt of 950,000 tokens, over two engines' memory",
        "petal " * 633_334,
        ENTRIES[4],
    )
    book_twice()
    change_limit(client)
    print("done")
    return 0


def publish(client: admin_client.AdminClient, path: str) -> None:
    """Publishes the example's objects."""
    data = checking.read_document(path)
    planned = client.plan(data, path, False)
    if planned:
        client.change([edit for edit, _ in planned])
    generation = client.read_objects()["generation"]
    wait_until(lambda: in_force(generation), CHANGE_SECONDS, "objects")
    print(f"objects published: generation {generation} on all instances")


def ask(what: str, prompt: str, url: str) -> None:
    """Streams one completion."""
    began = time.monotonic()
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
        raise SystemExit(f"{what}: {response.status} {response.read()!r}")
    first = 0.0
    tokens = 0
    is_whole = False
    for line in response:
        if not line.startswith(b"data: "):
            continue
        first = first or time.monotonic() - began
        if line.startswith(b"data: [DONE]"):
            is_whole = True
            break
        data = json.loads(line[6:])
        if "error" in data:
            raise SystemExit(f"{what}: {data['error']['message']}")
        tokens = data.get("usage", {}).get("completion_tokens", tokens)
    if not is_whole:
        raise SystemExit(f"{what}: the answer was cut")
    print(f"{what}: first token after {first:.2f} s, {tokens} tokens, whole")


def book_twice() -> None:
    """Sends a booking through two instances with one idempotency key."""
    key = f"booking-{time.time_ns()}"
    numbers = []
    for url in (ENTRIES[0], ENTRIES[5]):
        response = HTTP.request(
            "POST",
            f"{url}/services/rota/bookings",
            body=json.dumps({"well": "Stora brunnen", "day": "2027-05-06"}),
            headers={
                "Authorization": f"Bearer {CALLER_KEY}",
                "Idempotency-Key": key,
            },
            timeout=20.0,
        )
        if response.status != 200:
            raise SystemExit(f"booking: {response.status} {response.data!r}")
        numbers.append(response.json()["number"])
    runs = sum(
        HTTP.request("GET", f"{url}/standin/executions").json().get(key, 0)
        for url in SERVICES
    )
    if runs != 1:
        raise SystemExit(f"the booking ran {runs} times")
    print("a booking sent twice with one key: ran once, both got the answer")


def change_limit(client: admin_client.AdminClient) -> None:
    """Changes a limit and waits until all instances show it."""
    before = client.read_objects()["objects"]["organisations"]["orsa-gille"]
    limit = before["requests_per_second"] + 1.0
    after = {**before, "requests_per_second": limit}
    began = time.monotonic()
    base = publication.digest_of(before)
    edit = publication.Edit("organisations", "orsa-gille", after, base)
    generation = client.change([edit])["generation"]
    wait_until(lambda: in_force(generation), CHANGE_SECONDS, "the limit")
    seconds = time.monotonic() - began
    print(f"a changed limit: in force on all instances after {seconds:.2f} s")


def in_force(generation: int) -> bool:
    """Returns whether all instances have a generation."""
    return all(
        status(url).get("generation", 0) >= generation for url in ENTRIES
    )


def sees_targets() -> bool:
    """Returns whether each zone's pools have their targets."""
    counts: dict[tuple[str, str], int] = {}
    for url in ENTRIES:
        view = status(url)
        for pool in view.get("pools", ()):
            key = (view["availability_zone"], pool["serves"])
            counts[key] = max(counts.get(key, 0), len(pool["targets"]))
    return len(counts) == 6 and all(
        count >= (1 if serves == "rotatjanst" else 4)
        for (_, serves), count in counts.items()
    )


def status(url: str) -> dict[str, Any]:
    """Returns an instance's status; empty where it does not answer."""
    try:
        return admin_client.AdminClient(url, OPERATOR_KEY).read_status()
    except errors.CatkintrailError:
        return {}


def is_ready(url: str) -> bool:
    """Returns whether an instance says that it is ready."""
    try:
        return HTTP.request("GET", f"{url}/readyz", timeout=1.0).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def wait_until(holds: Callable[[], bool], seconds: float, what: str) -> None:
    """Waits for a condition, or ends the tour."""
    end = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end:
            raise SystemExit(f"waited {seconds} s in vain: {what}")
        time.sleep(0.1)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
