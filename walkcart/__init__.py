"""walkcart: a query tier over many shards.

The daemon ``walkcartd`` runs between callers and backend servers. It sends a query to
all shards of a service and merges their answers into one reply, which reflects a single
index version and states which shards it covers.
"""

__version__ = "0.2.0"
