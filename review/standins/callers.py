"""Callers of a machine that keep connections, and callers that come in crowds.

The first place orders: each opens a connection, sends some orders on it, one
after the other, and closes it. The others ask questions: each opens a
connection for its question, and leaves when it has the answer or has lost
patience; it then asks once more on a new connection.
"""

import asyncio
import random
import time
from typing import NamedTuple

from standins import fleet as fleets

DEADLINE_SECONDS = 1.5


class Plan(NamedTuple):
    """What the callers of a machine do.

    Attributes:
        seconds: How long they go on.
        order_path: Path of the orders.
        order_callers: Number of callers that place orders.
        orders_per_connection: How many orders a caller sends on a connection.
        order_pause_seconds: Between two orders on a connection.
        connection_pause_seconds: Mean pause between two connections.
        question_path: Path of the questions.
        crowd: Number of callers in a crowd.
        crowd_interval_seconds: Time between crowds.
        patience_seconds: How long a caller of a crowd waits for its answer.
        tries: How often a caller of a crowd asks if it gets no answer.
    """

    seconds: float
    order_path: str
    order_callers: int
    orders_per_connection: int
    order_pause_seconds: float
    connection_pause_seconds: float
    question_path: str
    crowd: int
    crowd_interval_seconds: float
    patience_seconds: float
    tries: int


class Line(NamedTuple):
    """One request.

    Attributes:
        kind: `order` or `question`.
        attempt: The `Attempt-Id`.
        machine: Name of the machine.
        place: Number of answers that the connection had carried before.
        sent_at: Monotonic time in seconds.
        seconds: Time until the end.
        status: Status; 0 if no head of an answer came.
        end: How the request ended.
    """

    kind: str
    attempt: str
    machine: str
    place: int
    sent_at: float
    seconds: float
    status: int
    end: str


class Callers:
    """The callers of one machine.

    Attributes:
        plan: What they do.
        instance: The machine.
        lines: The requests that have ended.
    """

    def __init__(
        self, plan: Plan, fleet: fleets.Fleet, instance: fleets.Instance
    ) -> None:
        self.plan = plan
        self.instance = instance
        self.lines: list[Line] = []
        self._fleet = fleet
        self._until = time.monotonic() + plan.seconds

    async def run(self) -> None:
        """Runs all callers to their end."""
        orders = [self._place_orders() for _ in range(self.plan.order_callers)]
        await asyncio.gather(self._come_in_crowds(), *orders)

    async def _place_orders(self) -> None:
        plan = self.plan
        while time.monotonic() < self._until:
            reader, writer = await asyncio.open_connection(*self.instance.front)
            for place in range(plan.orders_per_connection):
                line = await self._ask(
                    "order", place, reader, writer, DEADLINE_SECONDS
                )
                if line.end != "complete":
                    break
                await asyncio.sleep(plan.order_pause_seconds)
            writer.close()
            pause = random.expovariate(1.0 / plan.connection_pause_seconds)
            await asyncio.sleep(pause)

    async def _come_in_crowds(self) -> None:
        tasks = []
        loop = asyncio.get_running_loop()
        while time.monotonic() < self._until:
            tasks += [
                loop.create_task(self._visit()) for _ in range(self.plan.crowd)
            ]
            await asyncio.sleep(self.plan.crowd_interval_seconds)
        await asyncio.gather(*tasks)

    async def _visit(self) -> None:
        for _ in range(self.plan.tries):
            reader, writer = await asyncio.open_connection(*self.instance.front)
            line = await self._ask(
                "question", 0, reader, writer, self.plan.patience_seconds
            )
            writer.close()
            if line.end == "complete":
                return

    async def _ask(
        self,
        kind: str,
        place: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        patience_seconds: float,
    ) -> Line:
        """Sends one request and reads its answer."""
        attempt = self._fleet.new_attempt()
        headers = [
            ("Host", fleets.HOST),
            ("Attempt-Id", attempt),
            ("Deadline-Ms", str(round(DEADLINE_SECONDS * 1000))),
            ("Authorization", f"Token {fleets.API_KEY}"),
        ]
        request = fleets.encode_head(
            f"GET {self.plan.question_path} HTTP/1.1", headers
        )
        if kind == "order":
            headers.append(("Content-Length", "600"))
            request = fleets.encode_head(
                f"POST {self.plan.order_path} HTTP/1.1", headers
            )
            request += b"x" * 600
        sent_at = time.monotonic()
        status, end = 0, "complete"
        try:
            writer.write(request)
            async with asyncio.timeout(patience_seconds):
                answer = await fleets.read_head(reader)
                status = int(answer.start.split(" ")[1])
                await fleets.read_body(reader, answer)
            if answer.headers.get("connection", "").lower() == "close":
                end = "complete, and the machine closes"
        except TimeoutError:
            end = "the caller left"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            end = f"closed: {type(error).__name__}"
        seconds = round(time.monotonic() - sent_at, 4)
        machine = self.instance.name
        line = Line(
            kind, attempt, machine, place, sent_at, seconds, status, end
        )
        self.lines.append(line)
        return line
