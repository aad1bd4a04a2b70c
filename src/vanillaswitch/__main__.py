"""``python -m vanillaswitch`` is the command ``vanillaswitch``."""

from vanillaswitch.cli import main

if __name__ == "__main__":
    main.main()
