"""Faults of the processes in the soak test."""

import asyncio
import signal

from dotterelspread.h1client import H1Client, H1Error

from .site import FRONT_PORT
from .targets import choose_healthy, kill_processes, mark_faulty

__all__ = ["kill", "pause", "reload_settings", "stop"]

#: Number of requests in progress when an entry is stopped gracefully.
REQUESTS_IN_PROGRESS = 5


async def kill(site):
    """Kill some processes at the same time."""
    await kill_processes(choose_healthy(site, site.processes, len(site.processes)))


async def pause(site):
    """Suspend processes and resume them."""
    chosen = choose_healthy(site, site.processes, 2)
    with mark_faulty(chosen):
        for process in chosen:
            process.signal(signal.SIGSTOP)
        await asyncio.sleep(site.rng.uniform(0.5, 6.0))
        for process in chosen:
            process.signal(signal.SIGCONT)
        await asyncio.sleep(0.5)


async def stop(site):
    """Stop a process gracefully; an entry must answer the requests that it received."""
    for process in choose_healthy(site, site.processes):
        with mark_faulty([process]):
            replies = []
            if process.role == "entry":
                client = H1Client(f"{process.host}:{FRONT_PORT}")
                replies = [
                    asyncio.ensure_future(_request_state(client))
                    for _ in range(REQUESTS_IN_PROGRESS)
                ]
                await asyncio.sleep(0.02)
            await process.terminate()
            if "cut" in await asyncio.gather(*replies):
                site.checker.violations.append(f"{process.name} dropped a request")


async def _request_state(client):
    headers = {"Host": "nony24.example", "X-Deadline-Ms": "3000"}
    try:
        reply = await client.call("GET", "/lohu930/0" + "0" * 15, 4.0, headers=headers)
    except H1Error as error:
        # The entry does not listen yet, or the connection was lost after the request.
        return "cut" if "connection lost" in str(error) else "unsent"
    return reply.status


async def reload_settings(site):
    """Make some processes reload their settings."""
    for process in choose_healthy(site, site.processes, 3):
        process.write_settings(grace_s=site.rng.choice((5, 6)))
        process.signal(signal.SIGHUP)
