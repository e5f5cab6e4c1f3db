"""``python -m cassiaturn``: the command line."""

import sys


def _run() -> None:
    if sys.argv[1:] == ["serve"]:
        # The start of a host's own service, where every tenth of a second counts: the
        # parser of the command line takes 0.09 s to import and has nothing to parse.
        from cassiaturn.serving import default_settings, open_port_and_serve

        path = default_settings()
        if path is not None:
            sys.exit(open_port_and_serve(path))
    from cassiaturn.cli import main

    main()


if __name__ == "__main__":
    _run()
