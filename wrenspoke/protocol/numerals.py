"""Read whole numbers that others wrote, in ASCII digits alone.

``str.isdigit`` takes more than ``int`` reads: superscripts, for one.
"""

import re

DIGITS_LIMIT = 18
_WHOLE = re.compile(rf'[0-9]{{1,{DIGITS_LIMIT}}}\Z')
_DECIMAL = re.compile(r'([0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12})\Z')


def parse_whole(text: str) -> int | None:
    """Return a whole number of 0 or more, None if the text is none."""
    return int(text) if _WHOLE.match(text) else None


def parse_decimal(text: str) -> float | None:
    """Return a decimal number of 0 or more, None if the text is none."""
    return float(text) if _DECIMAL.match(text) else None
