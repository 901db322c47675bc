"""Options that several commands of the mesh share."""

import click


def parse_seeds(context: click.Context, option: click.Option, text: str) -> range:
    """Returns the range of seeds of an option `A-B`, or `A`."""
    try:
        first, _, last = text.partition("-")
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise click.BadParameter(f"{text!r} is not a range A-B") from error
