"""``python -m eelgrassferry.bench``: measure the policies in virtual time."""

import sys

from .command import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
