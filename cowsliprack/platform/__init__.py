"""Adapter to the platform: translates its settings, objects and headers.

Nothing outside this package knows a name of the platform's protocol.
"""
