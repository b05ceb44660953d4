"""Translates between catkintrail's types and the users' platform.

The platform's header, field and path names occur in this package only.
"""
