"""Translation between catkintrail and the users' platform.

Nothing outside this package knows the platform's names.
"""
