import pathlib

_KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def _read_known_red():
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("scenario:").strip()
        for line in lines
        if line.startswith("scenario:")
    }


def before_all(context):
    context.known_red = _read_known_red()


def before_scenario(context, scenario):
    context.cleanups = []
    if scenario.name.strip() in context.known_red:
        print(f"known-red: {scenario.name}")
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context, scenario):
    for cleanup in reversed(context.cleanups):
        cleanup()
