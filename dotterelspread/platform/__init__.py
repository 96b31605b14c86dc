"""Adapters between the platform's interfaces and the project's own types.

The platform's names of fields, paths and headers are used only in this package.
"""
