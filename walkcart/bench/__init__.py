"""Load, experiments and long randomised runs with the stand-ins.

They run the code of the real programs, in one process on a mocked or real clock or as
separate processes. It isn't a cluster simulator.
"""
