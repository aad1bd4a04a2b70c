"""The one error of experiments: the file that describes one is wrong."""


class ExperimentError(Exception):
    """An experiment's file can't be used; the message names file and field."""
