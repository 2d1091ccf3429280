"""Command line application, which imports only the module of the command it runs."""

from __future__ import annotations

import sys
from collections.abc import Callable, Coroutine
from importlib import import_module
from typing import Any, Protocol, TypeVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.input import Input
from cleo.io.outputs.output import Output, Type
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from cicadatrail.utils.exit_codes import ExitCode

T = TypeVar("T")

VERSION = "0.1.0"

HELP_ARGUMENTS = (["--help"], ["-h"])
"""Argument lists that print the list of commands."""

COMMANDS = (
    "patch apply",
    "patch verdict",
    "config show",
    "config history",
    "team put",
    "team remove",
    "team list",
    "key grant",
    "key withdraw",
    "key list",
    "pool put",
    "pool remove",
    "pool list",
    "move start",
    "move abort",
    "move list",
    "wave start",
    "wave pause",
    "wave resume",
    "wave abort",
    "wave list",
    "wave watch",
    "status",
    "job show",
    "job explain",
)


class CoroutineRunner(Protocol):
    """Callable that runs a coroutine until it completes and returns its result."""

    def __call__(self, coroutine: Coroutine[Any, Any, T], /) -> T:
        """Return the result of ``coroutine``."""


class OperatorApplication(Application):
    """Application that runs the coroutines of its commands with ``run_coroutine``."""

    def __init__(self, run_coroutine: CoroutineRunner) -> None:
        super().__init__("cicadatrail", VERSION)
        self.run_coroutine = run_coroutine
        self.auto_exits(False)
        self.catch_exceptions(False)
        factories = {name: _command_factory(name) for name in COMMANDS}
        self.set_command_loader(FactoryCommandLoader(factories))

    def run(
        self,
        input: Input | None = None,
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Run a command and return its exit code.

        An invalid command line gives ``BAD_INPUT``, an unexpected exception
        ``UNKNOWN``.
        """
        io = self.create_io(input, output, error_output)
        try:
            return super().run(io.input, io.output, io.error_output)
        except CleoError as error:
            io.error_output.write_line(str(error), type=Type.RAW)
            return ExitCode.BAD_INPUT
        except Exception as error:
            # A patch sent before the exception may have been applied, so the outcome
            # is unknown rather than refused.
            io.error_output.write_line(f"internal fault: {error!r}", type=Type.RAW)
            return ExitCode.UNKNOWN


def _command_factory(name: str) -> Callable[[], Command]:
    """Return a function that imports the command ``name`` and instantiates it."""
    module_name = name.replace(" ", "_")
    class_name = name.title().replace(" ", "") + "Command"

    def make() -> Command:
        module = import_module(f"cicadatrail.commands.{module_name}")
        command: Command = getattr(module, class_name)()
        return command

    return make


def _run_coroutine(coroutine: Coroutine[Any, Any, T]) -> T:
    import asyncio

    return asyncio.run(coroutine)


def main() -> int:
    """Run the command given by ``sys.argv`` and return its exit code."""
    application = OperatorApplication(_run_coroutine)
    if sys.argv[1:] in HELP_ARGUMENTS:
        return application.run(ArgvInput([sys.argv[0], "list"]))
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
