"""Load generator: sends short and long prompts and measures latency."""

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
PROMPT_BUCKETS_TOKENS = (2_000, 8_000, 32_000, 100_000, 1_000_000)
BYTES_PER_TOKEN = 4
MAX_REQUESTS = 20_000


class LoadPlan(NamedTuple):
    """Parameters of a load.

    Attributes:
        urls: Base URLs of instances, used round-robin.
        key: API key.
        route: Name of a route to a model.
        requests: Number of requests; at most `MAX_REQUESTS` are sent.
        arrivals_per_second: Mean rate of the Poisson arrivals.
        long_prompt_fraction: Fraction of prompts with over 100,000 tokens.
        output_tokens: Maximum number of output tokens per request.
        deadline_seconds: Deadline of each request.
        seed: Random seed for prompts and arrival times.
        short_only: Whether to send short prompts only.
    """

    urls: tuple[str, ...]
    key: str
    route: str
    requests: int
    arrivals_per_second: float
    long_prompt_fraction: float = 0.02
    output_tokens: int = 32
    deadline_seconds: float = 60.0
    seed: int = 1
    short_only: bool = False


class LoadResult:
    """Measurements of one run.

    Attributes:
        first_token_ms: Histograms of the time to first token in milliseconds,
            by the upper limit of the prompt-length bucket in tokens.
        token_gap_ms: Histogram of the time between tokens in milliseconds.
        outcomes: Number of requests by outcome.
        duration_seconds: Duration of the run.
        lock: Guards the histograms and `outcomes`.
    """

    def __init__(self) -> None:
        self.first_token_ms = {
            bucket: histogram.HdrHistogram(1, MAX_LATENCY_MS, 3)
            for bucket in PROMPT_BUCKETS_TOKENS
        }
        self.token_gap_ms = histogram.HdrHistogram(1, MAX_LATENCY_MS, 3)
        self.outcomes: dict[str, int] = {}
        self.duration_seconds = 0.0
        self.lock = threading.Lock()

    def count_outcome(self, outcome: str) -> None:
        """Counts a finished request under its outcome."""
        with self.lock:
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def run_load(plan: LoadPlan) -> LoadResult:
    """Sends a load and waits until all requests have finished."""
    rng = random.Random(plan.seed)
    result = LoadResult()
    http = urllib3.PoolManager(maxsize=256, retries=False)
    start = time.monotonic()
    arrival_time = start
    with concurrent.futures.ThreadPoolExecutor(256) as executor:
        for number in range(min(plan.requests, MAX_REQUESTS)):
            arrival_time += rng.expovariate(plan.arrivals_per_second)
            prompt_tokens = _draw_prompt_tokens(rng, plan)
            prompt = _make_prompt(rng, prompt_tokens)
            time.sleep(max(0.0, arrival_time - time.monotonic()))
            url = plan.urls[number % len(plan.urls)]
            executor.submit(
                _send_request, http, plan, url, prompt, prompt_tokens, result
            )
    result.duration_seconds = time.monotonic() - start
    return result


def format_result(result: LoadResult) -> str:
    """Formats the measurements as a table."""
    lines = ["prompt tokens up to   requests   p50 ms   p95 ms   p99 ms"]
    for bucket, latencies in result.first_token_ms.items():
        if not latencies.get_total_count():
            continue
        values = [latencies.get_value_at_percentile(q) for q in (50, 95, 99)]
        lines.append(
            f"{bucket:>19}   {latencies.get_total_count():>8}"
            + "".join(f"   {value:>6}" for value in values)
        )
    token_gap_ms = result.token_gap_ms.get_value_at_percentile(95)
    lines.append(f"between tokens, p95: {token_gap_ms} ms")
    total = sum(result.outcomes.values())
    for outcome, request_count in sorted(result.outcomes.items()):
        lines.append(f"{outcome}: {request_count} of {total}")
    lines.append(f"seconds: {result.duration_seconds:.1f}")
    return "\n".join(lines)


def _draw_prompt_tokens(rng: random.Random, plan: LoadPlan) -> int:
    """Draws a prompt length in tokens.

    Lengths of long prompts follow a Pareto distribution from 100,000 to
    1,000,000 tokens, others a log-normal one from 1,000 to 100,000.
    """
    if not plan.short_only and rng.random() < plan.long_prompt_fraction:
        return int(min(1_000_000, 100_000 / (1.0 - 0.9 * rng.random())))
    return int(min(100_000, max(1_000, rng.lognormvariate(8.0, 0.9))))


def _make_prompt(rng: random.Random, prompt_tokens: int) -> str:
    """Returns a prompt that starts with one of ten shared prefixes."""
    shared_prefix = f"organisation {rng.randrange(10)} " * 100
    word = f"{rng.getrandbits(32):08x} "
    text = shared_prefix + word * (prompt_tokens * BYTES_PER_TOKEN // len(word))
    return text[: prompt_tokens * BYTES_PER_TOKEN]


def _send_request(
    http: urllib3.PoolManager,
    plan: LoadPlan,
    url: str,
    prompt: str,
    prompt_tokens: int,
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
    start = time.monotonic()
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
            result.count_outcome(f"refused ({error['type']})")
            return
        outcome = _read_stream(response, start, prompt_tokens, result)
        is_late = time.monotonic() - start > plan.deadline_seconds
        result.count_outcome(
            "late" if is_late and outcome == "answered" else outcome
        )
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        result.count_outcome(f"failed ({type(error).__name__})")


def _read_stream(
    response: Any, start: float, prompt_tokens: int, result: LoadResult
) -> str:
    bucket = next(
        limit for limit in PROMPT_BUCKETS_TOKENS if prompt_tokens <= limit
    )
    previous_time = 0.0
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
            if not previous_time:
                latencies = result.first_token_ms[bucket]
                latencies.record_value(max(1, int((now - start) * 1_000)))
            else:
                gap = max(1, int((now - previous_time) * 1_000))
                result.token_gap_ms.record_value(gap)
        previous_time = now
    return outcome
