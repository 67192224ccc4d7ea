"""The users' platform: translation between its wire and the product's own types.

Nothing is decided here. Each name of the wire is read once, into a type whose fields
say what they hold, and no such name is used outside of this package.
"""
