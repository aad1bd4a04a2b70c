"""Garbage collections of a process, in which no greenlet runs."""

import gc

from vanillaswitch.daemons import startup


class _Node:
    """Something that refers to itself, as steps and jobs do."""

    def __init__(self):
        self.itself = self


def test_full_collections_do_not_visit_modules():
    """Guards against a lease that is not renewed soon after a start."""
    startup.exclude_modules_from_collection()
    try:
        visited = len(gc.get_objects())
        assert visited < 1_000
        assert gc.get_freeze_count() > 10_000
    finally:
        gc.unfreeze()


def test_cycles_that_come_later_are_still_collected():
    """Guards against memory that ended jobs never give back."""
    startup.exclude_modules_from_collection()
    try:
        gc.collect()
        for _ in range(50):
            _Node()
        assert gc.collect() >= 50
    finally:
        gc.unfreeze()
