"""Scheduling of jobs on a fleet: a leader makes the decisions, agents execute them.

The leader of a cell persists its decisions in a stream of the platform's log store and
calls the agents directly; see ``docs/SYSTEM.md``.
"""
