"""Batch job commands: submit, list, show, cancel and results."""

from __future__ import annotations

import argparse
import pathlib
import sys
import time
import typing

import tqdm

from endivevane import utils
from endivevane.ctl import client, daemon_commands, exits, output, settings

_COLUMNS = ("id", "status", "total", "completed", "failed", "created_at")
_FINAL_STATES = frozenset({"completed", "failed", "expired", "cancelled"})
_POLL_S = 1.0


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the parser of ``jobs`` and its subcommands."""
    jobs = commands.add_parser("jobs", help="submit and monitor batch jobs")
    actions = jobs.add_subparsers(dest="action", required=True, metavar="ACTION")
    submit = actions.add_parser("submit", help="submit a file of items as a job")
    submit.add_argument("file", type=pathlib.Path)
    submit.add_argument("--window", default="24h", help="completion window")
    submit.add_argument("--deadline-s", type=float, help="deadline from now")
    submit.add_argument("--key", help="idempotency key; default: the file's digest")
    submit.add_argument("--wait", action="store_true", help="wait until the job ends")
    submit.set_defaults(run=run_submit)
    listing = actions.add_parser("list", help="list the organisation's jobs")
    listing.set_defaults(run=run_list)
    for name, run, text in (
        ("show", run_show, "show one job"),
        ("cancel", run_cancel, "cancel one job"),
        ("results", run_results, "print the results as JSON lines"),
    ):
        parser = actions.add_parser(name, help=text)
        parser.add_argument("job_id")
        parser.set_defaults(run=run)
    parser.add_argument("--errors", action="store_true", help="failed items instead")


def run_submit(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Upload a file and create a job; idempotent, by default for the same file."""
    try:
        data = arguments.file.read_bytes()
    except OSError as error:
        output.print_error(f"{arguments.file}: {error.strerror}")
        return exits.Exit.INVALID_INPUT
    key = arguments.key or utils.digest_text(data.decode(errors="replace"))
    daemon_client = _open_client(ctl_settings)
    uploaded = daemon_client.call("POST", "/v1/files", *_encode_upload(data, key))
    body = utils.encode_json(
        {
            "input_file_id": uploaded["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": arguments.window,
        }
    )
    headers = {"Content-Type": "application/json", "Idempotency-Key": key}
    if arguments.deadline_s is not None:
        headers["X-Deadline-Ms"] = str(int(arguments.deadline_s * 1000))
    job = daemon_client.call("POST", "/v1/batches", body, headers)
    if arguments.wait:
        job = _await_end(daemon_client, job, arguments.output == "json")
    return _print_job(arguments, job)


def run_list(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Print the organisation's jobs."""
    value = _open_client(ctl_settings).call("GET", "/v1/batches?limit=100")
    if arguments.output == "json":
        output.print_json(value)
        return exits.Exit.OK
    rows = [{**job, **job["request_counts"]} for job in value["data"]]
    output.print_table(_COLUMNS, rows)
    return exits.Exit.OK


def run_show(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Print one job."""
    path = f"/v1/batches/{arguments.job_id}"
    return _print_job(arguments, _open_client(ctl_settings).call("GET", path))


def run_cancel(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Cancel one job."""
    path = f"/v1/batches/{arguments.job_id}/cancel"
    return _print_job(arguments, _open_client(ctl_settings).call("POST", path))


def run_results(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Write the committed results to standard output."""
    daemon_client = _open_client(ctl_settings)
    job = daemon_client.call("GET", f"/v1/batches/{arguments.job_id}")
    file_id = job["error_file_id" if arguments.errors else "output_file_id"]
    if file_id is None:
        output.print_note("no results yet")
        return exits.Exit.OK
    for part in daemon_client.stream("GET", f"/v1/files/{file_id}/content"):
        sys.stdout.buffer.write(part)
    sys.stdout.buffer.flush()
    return exits.Exit.OK


def _open_client(ctl_settings: settings.CtlSettings) -> client.DaemonClient:
    if ctl_settings.caller_key is None:
        raise daemon_commands.MissingKey(settings.CALLER_KEY_VARIABLE)
    return client.DaemonClient(ctl_settings, ctl_settings.caller_key.get_secret_value())


def _encode_upload(data: bytes, key: str) -> tuple[bytes, dict[str, str]]:
    """Return the body and the headers of a multipart upload."""
    boundary = utils.make_id("boundary")
    head = (
        f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch'
        f'\r\n--{boundary}\r\nContent-Disposition: form-data; name="file"; '
        'filename="items.jsonl"\r\nContent-Type: application/jsonl\r\n\r\n'
    )
    body = head.encode() + data + f"\r\n--{boundary}--\r\n".encode()
    content_type = f"multipart/form-data; boundary={boundary}"
    return body, {"Content-Type": content_type, "Idempotency-Key": key}


def _await_end(
    daemon_client: client.DaemonClient, job: dict[str, typing.Any], is_quiet: bool
) -> dict[str, typing.Any]:
    is_quiet = is_quiet or not sys.stderr.isatty()
    with tqdm.tqdm(unit="item", disable=is_quiet) as progress:
        while job["status"] not in _FINAL_STATES:
            time.sleep(_POLL_S)
            job = daemon_client.call("GET", f"/v1/batches/{job['id']}")
            counts = job["request_counts"]
            progress.total = counts["total"]
            progress.update(counts["completed"] + counts["failed"] - progress.n)
    return job


def _print_job(arguments: argparse.Namespace, job: dict[str, typing.Any]) -> exits.Exit:
    if arguments.output == "json":
        output.print_json(job)
    else:
        output.print_fields(job)
    return exits.Exit.OK
