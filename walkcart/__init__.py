"""walkcart: a query tier over many shards.

One daemon, ``walkcartd``, stands between callers and backend servers: it fans
one question out over the shards of a service and gives one reply that reflects
one index version and states truly which shards it covers.
"""

__version__ = "0.2.0"
