"""Adapters for the users' platform: its names, formats and HTTP calls.

Each module decodes documents of the platform into types of ``protocol`` and
``state`` and encodes them on the way back. This package takes no scheduling
decisions, and no code outside it uses the platform's names.
"""
