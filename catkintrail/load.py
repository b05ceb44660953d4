"""A mixed load against running instances, and its measures."""

import concurrent.futures
import json
import random
import threading
import time
from typing import Any, NamedTuple

from hdrh import histogram
import urllib3

__all__ = ["LoadPlan", "LoadResult", "format_result", "run_load"]

MAX_LATENCY_MS = 3_600_000
BUCKETS = (2_000, 8_000, 32_000, 100_000, 1_000_000)
BYTES_PER_TOKEN = 4
MAX_REQUESTS = 20_000


class LoadPlan(NamedTuple):
    """What to send.

    Attributes:
        urls: Base URLs of instances; requests go to them in turn.
        key: API key.
        route: Route to a model.
        requests: How many requests.
        per_second: Arrivals a second.
        long_fraction: Part of the prompts over 100,000 tokens.
        output_tokens: The most tokens of output.
        deadline_seconds: Deadline of each request.
        seed: Seed of lengths and arrivals.
        short_only: Whether long prompts are left out.
    """

    urls: tuple[str, ...]
    key: str
    route: str
    requests: int
    per_second: float
    long_fraction: float = 0.02
    output_tokens: int = 32
    deadline_seconds: float = 60.0
    seed: int = 1
    short_only: bool = False


class LoadResult:
    """Measures of one run.

    Attributes:
        first_token: Histogram of milliseconds to the first token, by the
            upper end of the prompt-length bucket.
        between: Histogram of milliseconds between tokens.
        outcomes: Number of requests by outcome.
        seconds: Length of the run.
    """

    def __init__(self) -> None:
        self.first_token = {
            bucket: histogram.HdrHistogram(1, MAX_LATENCY_MS, 3)
            for bucket in BUCKETS
        }
        self.between = histogram.HdrHistogram(1, MAX_LATENCY_MS, 3)
        self.outcomes: dict[str, int] = {}
        self.seconds = 0.0
        self.lock = threading.Lock()

    def count(self, outcome: str) -> None:
        """Counts an ended request."""
        with self.lock:
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def run_load(plan: LoadPlan) -> LoadResult:
    """Sends a load and waits for all answers."""
    rng = random.Random(plan.seed)
    result = LoadResult()
    http = urllib3.PoolManager(maxsize=256, retries=False)
    began = time.monotonic()
    due = began
    with concurrent.futures.ThreadPoolExecutor(256) as executor:
        for number in range(min(plan.requests, MAX_REQUESTS)):
            due += rng.expovariate(plan.per_second)
            tokens = _prompt_tokens(rng, plan)
            prompt = _prompt(rng, tokens)
            time.sleep(max(0.0, due - time.monotonic()))
            url = plan.urls[number % len(plan.urls)]
            executor.submit(_send, http, plan, url, prompt, tokens, result)
    result.seconds = time.monotonic() - began
    return result


def format_result(result: LoadResult) -> str:
    """Returns the measures as a table."""
    lines = ["prompt tokens up to   requests   p50 ms   p95 ms   p99 ms"]
    for bucket, counts in result.first_token.items():
        if not counts.get_total_count():
            continue
        values = [counts.get_value_at_percentile(p) for p in (50, 95, 99)]
        lines.append(
            f"{bucket:>19}   {counts.get_total_count():>8}"
            + "".join(f"   {value:>6}" for value in values)
        )
    between = result.between.get_value_at_percentile(95)
    lines.append(f"between tokens, p95: {between} ms")
    total = sum(result.outcomes.values())
    for outcome, count in sorted(result.outcomes.items()):
        lines.append(f"{outcome}: {count} of {total}")
    lines.append(f"seconds: {result.seconds:.1f}")
    return "\n".join(lines)


def _prompt_tokens(rng: random.Random, plan: LoadPlan) -> int:
    if not plan.short_only and rng.random() < plan.long_fraction:
        return int(min(1_000_000, 100_000 / (1.0 - 0.9 * rng.random())))
    return int(min(100_000, max(1_000, rng.lognormvariate(8.0, 0.9))))


def _prompt(rng: random.Random, tokens: int) -> str:
    shared = f"organisation {rng.randrange(10)} " * 100
    word = f"{rng.getrandbits(32):08x} "
    text = shared + word * (tokens * BYTES_PER_TOKEN // len(word))
    return text[: tokens * BYTES_PER_TOKEN]


def _send(
    http: urllib3.PoolManager,
    plan: LoadPlan,
    url: str,
    prompt: str,
    tokens: int,
    result: LoadResult,
) -> None:
    body = {
        "model": plan.route,
        "prompt": prompt,
        "max_tokens": plan.output_tokens,
        "stream": True,
    }
    headers = {
        "Authorization": f"Bearer {plan.key}",
        "X-Deadline-Seconds": str(plan.deadline_seconds),
    }
    began = time.monotonic()
    try:
        response = http.request(
            "POST",
            f"{url}/v1/completions",
            body=json.dumps(body).encode(),
            headers=headers,
            timeout=plan.deadline_seconds + 5.0,
            preload_content=False,
        )
        if response.status != 200:
            error = json.loads(response.read())["error"]
            result.count(f"refused ({error['type']})")
            return
        outcome = _read_stream(response, began, tokens, result)
        late = time.monotonic() - began > plan.deadline_seconds
        result.count("late" if late and outcome == "answered" else outcome)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        result.count(f"failed ({type(error).__name__})")


def _read_stream(
    response: Any, began: float, tokens: int, result: LoadResult
) -> str:
    bucket = next(b for b in BUCKETS if tokens <= b)
    previous = 0.0
    outcome = "cut"
    for line in response:
        if not line.startswith(b"data: "):
            continue
        now = time.monotonic()
        if line.startswith(b"data: [DONE]"):
            return "answered"
        if b'"error"' in line:
            outcome = "error event"
            continue
        with result.lock:
            if not previous:
                counts = result.first_token[bucket]
                counts.record_value(max(1, int((now - began) * 1_000)))
            else:
                gap = max(1, int((now - previous) * 1_000))
                result.between.record_value(gap)
        previous = now
    return outcome
