"""``python -m cassiaturn.load``: run scenarios."""

from cassiaturn.load._commands import app

if __name__ == "__main__":
    app()
