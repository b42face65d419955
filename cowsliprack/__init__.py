"""Serving system for rarely used models.

The coordination logic (leases, limits, placement, routing) consists of state
machines without I/O that can be embedded; ``cowsliprack serve`` runs them.
"""

__version__ = '0.1.0'
