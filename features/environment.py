"""Behave hooks that set up and tear down each scenario."""

import asyncio
import pathlib
import tempfile


def before_scenario(context, _scenario):
    """Create a temporary folder and an event loop for the scenario."""
    context.loop = asyncio.new_event_loop()
    context.folder = tempfile.TemporaryDirectory()
    context.path = pathlib.Path(context.folder.name)
    context.running = None


def after_scenario(context, _scenario):
    """Stop the scenario's deployment and remove its folder."""
    if context.running is not None:
        context.loop.run_until_complete(
            context.running.__aexit__(None, None, None)
        )
    context.loop.close()
    context.folder.cleanup()
