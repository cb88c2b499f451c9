"""Start and stop the processes that scenarios need."""

import asyncio
import pathlib
import tempfile


def before_scenario(context, _scenario):
    """Give each scenario a folder and an event loop."""
    context.loop = asyncio.new_event_loop()
    context.folder = tempfile.TemporaryDirectory()
    context.path = pathlib.Path(context.folder.name)
    context.running = None


def after_scenario(context, _scenario):
    """End what the scenario started."""
    if context.running is not None:
        context.loop.run_until_complete(
            context.running.__aexit__(None, None, None)
        )
    context.loop.close()
    context.folder.cleanup()
