"""The users' platform: its names, formats and calls, and nothing else.

Each module decodes what comes from outside into types of ``protocol`` and
``state``; nothing here decides, and nothing outside knows these names.
"""
