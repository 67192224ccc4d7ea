"""Load, experiments and long randomised runs over the stand-ins.

It drives the real programs' code, in one process on a mocked or the real clock,
or as separate processes; it is no cluster simulator.
"""
