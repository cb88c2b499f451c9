"""Text of failures, for logs and for responses to callers."""

import aiohttp

TEXT_LIMIT_CHARACTERS = 300


def describe(error: BaseException) -> str:
    """Return an error's type and text, in one line of bounded length.

    A parser's error quotes what its peer sent, and that of a response holds
    the headers of its request, which are left out.
    """
    if isinstance(error, aiohttp.ClientResponseError):
        text = ' '.join(error.message.split())
        text = f'{type(error).__name__}({error.status}, {text!r})'
    else:
        text = repr(error)
    if len(text) <= TEXT_LIMIT_CHARACTERS:
        return text
    return f'{text[:TEXT_LIMIT_CHARACTERS]}... (cut, {len(text)} characters)'
