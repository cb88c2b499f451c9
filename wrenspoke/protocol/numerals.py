"""Parse numbers of untrusted input, in ASCII digits only.

``str.isdigit`` accepts characters that ``int`` rejects, such as superscripts.
"""

import re

DIGITS_LIMIT = 18
_WHOLE = re.compile(rf'[0-9]{{1,{DIGITS_LIMIT}}}\Z')
_DECIMAL = re.compile(r'([0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12})\Z')


def parse_whole(text: str) -> int | None:
    """Return a non-negative integer, None if the text is not one."""
    return int(text) if _WHOLE.match(text) else None


def parse_decimal(text: str) -> float | None:
    """Return a non-negative decimal number, None if the text is not one."""
    return float(text) if _DECIMAL.match(text) else None
