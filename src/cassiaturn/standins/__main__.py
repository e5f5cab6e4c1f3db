"""``python -m cassiaturn.standins``: run stand-ins until SIGTERM."""

from cassiaturn.standins._commands import app

if __name__ == "__main__":
    app()
