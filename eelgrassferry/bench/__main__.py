"""``python -m eelgrassferry.bench``: run the benchmark of routing policies."""

import sys

from .command import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
