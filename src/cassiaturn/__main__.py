"""``python -m cassiaturn``: the command line."""

from cassiaturn.cli import main

if __name__ == "__main__":
    main()
