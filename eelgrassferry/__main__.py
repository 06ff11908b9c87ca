"""Entry point of ``python -m eelgrassferry`` and of the one-file binary."""

import sys

from .cli import main

if __name__ == "__main__":
    sys.exit(main())
