"""Translates between the wire protocol of the users' platform and the product's types.

Nothing is decided here. Each wire name is read once, into a type with descriptive field
names, and no wire name is used outside this package.
"""
