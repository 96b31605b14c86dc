"""Callers of a site of real processes, with the history of what they sent and saw."""

import asyncio
import json
from dataclasses import dataclass, field

import aiohttp

from bench.history import History, Run, SeenOutcome, SentRequest
from dotterelspread.outcome import (
    Completed,
    Failed,
    RefusalReason,
    Refused,
    Unknown,
)
from standins.site import get

KINDS = ("fault-call", "price-visit", "book-visit", "renew-contract")
KEYED_KINDS = {"book-visit", "renew-contract"}
MAX_CONCURRENT_CALLS = 12
DEADLINE = "8s"


@dataclass(slots=True)
class Callers:
    """Sends requests to a site and records the history for `bench.history`."""

    site: object
    history: History = field(default_factory=History)
    kinds_by_id: dict = field(default_factory=dict)
    count: int = 0
    #: Runs of each agent when they were last recorded.
    noted_runs_by_agent: dict = field(default_factory=dict)

    def send(self, count, entries, meanwhile=None):
        """Send ``count`` new requests; call ``meanwhile`` a third of the way."""
        numbers = range(self.count, self.count + count)
        self.count += count
        asyncio.run(self._send_all(numbers, entries, meanwhile))

    def repeat_unanswered(self, entry):
        """Retry each request with a key for which no caller saw a completed answer."""
        done = {
            s.request_id for s in self.history.seen if isinstance(s.outcome, Completed)
        }
        numbers = [
            int(request_id)
            for request_id in self.kinds_by_id
            if request_id not in done and self.history.key(request_id)
        ]
        asyncio.run(self._repeat_all(numbers, entry))

    def completed_kinds(self):
        return {
            self.kinds_by_id[seen.request_id]
            for seen in self.history.seen
            if isinstance(seen.outcome, Completed)
            and seen.request_id in self.kinds_by_id
        }

    def collect_runs(self, agents):
        """Return the runs recorded by the backend servers, by agent."""
        runs_by_agent = {}
        for name in agents:
            runs = get(self.site.url(f"{name}.backend") + "/history")["runs"]
            runs_by_agent[name] = [
                Run(
                    run["path"].rpartition("/")[2],
                    name,
                    0,
                    run["started"],
                    run["finished"],
                )
                for run in runs
            ]
        self.history.runs = [run for runs in runs_by_agent.values() for run in runs]
        self.history.slots_by_id = dict.fromkeys(agents, 8)
        return runs_by_agent

    async def _send_all(self, numbers, entries, meanwhile):
        limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        async with aiohttp.ClientSession() as session:

            async def send_one(number):
                async with limit:
                    turn = number % len(entries)
                    entries_in_order = (*entries[turn:], *entries[:turn])
                    entry = await self._ready_entry(session, entries_in_order)
                    await self._call(session, entry, number, str(number))

            calls = [asyncio.ensure_future(send_one(number)) for number in numbers]
            if meanwhile is not None:
                while sum(call.done() for call in calls) < len(calls) // 3:
                    await asyncio.sleep(0.01)
                await asyncio.to_thread(meanwhile)
            await asyncio.gather(*calls)

    async def _ready_entry(self, session, entries):
        """Choose like the load balancer: the first entry that reports ready."""
        for entry in entries:
            try:
                async with session.get(self.site.url(entry) + "/readyz") as response:
                    if response.status == 200:
                        return entry
            except aiohttp.ClientError:
                continue
        return entries[0]

    async def _repeat_all(self, numbers, entry):
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *(self._call(session, entry, n, f"{n}-again") for n in numbers)
            )

    async def _call(self, session, entry, number, call_id):
        kind = KINDS[number % len(KINDS)]
        body = f"body {number}".encode()
        key = f"key-{number}" if kind in KEYED_KINDS else None
        headers = {"Dotterelspread-Kind": kind, "Dotterelspread-Deadline": DEADLINE}
        if key:
            headers["Idempotency-Key"] = key
        if call_id == str(number):
            self.kinds_by_id[call_id] = kind
        now = asyncio.get_running_loop().time
        self.history.sent_by_id[call_id] = SentRequest(call_id, now(), key, body)
        url = f"{self.site.url(entry)}/v1/services/dispatch/tickets/{number}"
        try:
            async with session.post(url, data=body, headers=headers) as response:
                outcome = _outcome(response, await response.read())
        except aiohttp.ClientError:
            self.history.disconnected_ids.add(call_id)
            return
        self.history.seen.append(SeenOutcome(call_id, now(), outcome))


def _run(agent, run):
    number = run["path"].rpartition("/")[2]
    return Run(number, agent, 0, run["started"], run["finished"])


def _outcome(response, content):
    if response.content_type != "application/problem+json":
        # The stand-in backend server answers with its request id and the body.
        return Completed(response.status, (), content.partition(b":")[2])
    problem = json.loads(content)
    if problem["executed"] == "no":
        return Refused(RefusalReason(problem["reason"]), problem["detail"])
    if problem["executed"] == "yes":
        return Failed(problem["detail"])
    return Unknown(problem["detail"])
