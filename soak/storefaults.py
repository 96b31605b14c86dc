"""Faults of the store in the soak test, and changes that are made through it."""

import asyncio

__all__ = ["fail_store", "publish", "rebalance"]


async def fail_store(site):
    """Make the store fail for all processes in one of its failure modes."""
    site.store.mode = site.rng.choice(("busy", "silent", "lost", "slow"))
    await asyncio.sleep(site.rng.uniform(0.5, 5.0))
    site.store.mode = "serve"


async def rebalance(site):
    """Reassign the partition of the leaders' group."""
    site.store.rebalance()


async def publish(site):
    """Change the configuration a few times in a row."""
    for _ in range(site.rng.randint(1, 4)):
        site.publish()
        await asyncio.sleep(0.1)
