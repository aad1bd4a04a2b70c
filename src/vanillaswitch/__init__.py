"""Fleet capacity and maintenance manager.

The public names are few: the daemons and the command line are thin programs
over this library, and most users only meet ``vanillaswitch`` as a command.
"""

__version__ = "0.1.0"
