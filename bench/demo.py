"""The demonstration: the whole path with the example declarations."""

import argparse
import dataclasses
import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time
from typing import Any

import json5

from bench import arrivals
from bench import callers
from bench import cluster
from bench import counters
from bench import layouts
from bench import measures
from bench import processes
from bench import requests
from bench import runs

EXAMPLES = (
    pathlib.Path("examples/red-andina"),
    pathlib.Path("examples/dalbit"),
)
TOKENS_FILE = "tokens.json"
DEADLINE_MS = 15_000
APPLY_TIMEOUT_S = 30.0
TOOL = pathlib.Path(sys.executable).parent / "pollenladder"


@dataclasses.dataclass(frozen=True)
class Access:
    """What a customer of the examples may use.

    Attributes:
        token: Its bearer token.
        choices: Pairs of a plan and the name of one of its kinds.
        needs_key: Names of the kinds that are not idempotent, by plan.
    """

    token: str
    choices: list[tuple[str, str]]
    needs_key: set[tuple[str, str]]


def read_accesses(folder: pathlib.Path) -> dict[str, Access]:
    """Return the access of each customer of an example."""
    customers, plans, tokens = (
        json5.loads((folder / name).read_text())
        for name in ("customers.json", "plans.json", TOKENS_FILE)
    )
    kinds = {
        (plan["id"], kind["name"]): kind["idempotent"]
        for plan in plans["plans"]
        for kind in plan["kinds"]
    }
    return {
        customer["id"]: Access(
            token=tokens["customers"][customer["id"]],
            choices=[pair for pair in kinds if pair[0] in customer["plans"]],
            needs_key={
                pair for pair, harmless in kinds.items() if not harmless
            },
        )
        for customer in customers["customers"]
    }


def read_operator_token(folder: pathlib.Path) -> str:
    """Return the token of an example's first operator."""
    tokens = json5.loads((folder / TOKENS_FILE).read_text())
    return next(iter(tokens["operators"].values()))


def build_requests(
    accesses: dict[str, Access], seconds: float, load: float, seed: int
) -> list[callers.Request]:
    """Return the jobs to submit, of all customers and kinds."""
    source = random.Random(seed)
    jobs = arrivals.draw(layouts.DEMO, load, seconds, seed)
    built = requests.build_all(
        jobs,
        run_id="demo",
        plan_id="",
        targets=layouts.DEMO.daemons,
        seed=seed,
        deadline_ms=DEADLINE_MS,
    )
    return [
        _dress(request, accesses[request.customer_id], source, number)
        for number, request in enumerate(built)
    ]


def _dress(
    request: callers.Request,
    access: Access,
    source: random.Random,
    number: int,
) -> callers.Request:
    """Give a request a plan, a kind, a token and, where needed, a key."""
    plan_id, kind = source.choice(access.choices)
    tasks = [task | {"kind": kind} for task in request.body["tasks"]]
    needs_key = (plan_id, kind) in access.needs_key
    return dataclasses.replace(
        request,
        token=access.token,
        body=request.body | {"plan": plan_id, "tasks": tasks},
        own_key=f"demo-{number}" if needs_key else "",
    )


def list_daemon_options(running: cluster.Cluster) -> list[str]:
    """Return the tool's options that name all daemons."""
    return [
        word
        for port in running.get_http_ports()
        for word in ("--daemon", f"127.0.0.1:{port}")
    ]


def list_platform_options(running: cluster.Cluster) -> list[str]:
    """Return the tool's options that name the platform."""
    return ["--platform", f"127.0.0.1:{running.platform_port}"]


def apply_examples(running: cluster.Cluster) -> None:
    """Apply the declarations of both examples with the tool.

    Raises:
        RuntimeError: The tool did not end well.
    """
    command = [str(TOOL), "apply", *map(str, EXAMPLES)]
    command += list_platform_options(running) + list_daemon_options(running)
    token = read_operator_token(EXAMPLES[0])
    done = subprocess.run(
        command,
        env=os.environ | {"POLLENLADDER_TOKEN": token},
        capture_output=True,
        text=True,
        timeout=APPLY_TIMEOUT_S,
        check=False,
    )
    print(done.stdout + done.stderr, end="", file=sys.stderr)
    if done.returncode:
        raise RuntimeError(f"apply ended with {done.returncode}")


def summarize(
    group: processes.Group, running: cluster.Cluster, result: runs.Result
) -> dict[str, Any]:
    """Return the last line of the demonstration."""
    counts = measures.count_outcomes(result.outcomes)
    lost = counts["lost"] + counts["closed"] + counts["error"]
    return {
        "processes": len(group.children),
        "jobs": counts["jobs"],
        "complete": counts["complete"],
        "failed": counts["failed"],
        "refused": counts["refused"],
        "tasks": counts["tasks"],
        "starts": result.endpoint_counters["starts"],
        "double_starts": counters.count_double_starts(running),
        "crossed_answers": counts["crossed"] + counts["partial"],
        "lost_jobs": lost,
    }


def describe_next(running: cluster.Cluster) -> str:
    """Return what to type while the cluster is kept running."""
    daemons = " ".join(list_daemon_options(running))
    platform = " ".join(list_platform_options(running))
    token = read_operator_token(EXAMPLES[0])
    customer = read_accesses(EXAMPLES[0])["centro-quito"]
    job = {
        "plan": "formacion",
        "tasks": [
            {"id": "a", "kind": "roster-lookup", "payload": {"run_ms": 200}}
        ],
    }
    port = running.get_http_ports()[0]
    return (
        f"Running; logs and settings are in {running.folder}.\n\n"
        f"  export POLLENLADDER_TOKEN={token}\n"
        f"  .venv/bin/pollenladder status {daemons}\n"
        f"  .venv/bin/pollenladder history {platform}\n"
        f"  curl -s -H 'Authorization: Bearer {customer.token}' \\\n"
        f"    -H 'Content-Type: application/json' \\\n"
        f"    -d '{json.dumps(job)}' http://127.0.0.1:{port}/v1/jobs\n"
        f"  curl -s http://127.0.0.1:{port}/metrics\n\n"
        "Ctrl-C stops everything."
    )


def report_progress(text: str) -> None:
    """Print a line for whoever watches."""
    print(text, file=sys.stderr, flush=True)


def run(options: argparse.Namespace, group: processes.Group) -> dict[str, Any]:
    """Start everything, send the load, and return the last line."""
    accesses: dict[str, Access] = {}
    for folder in EXAMPLES:
        accesses |= read_accesses(folder)
    report_progress("Starting the stand-ins and the daemons.")
    running = cluster.start(group, layouts.DEMO, declare=apply_examples)
    report_progress("Submitting jobs to all daemons.")
    built = build_requests(
        accesses, options.seconds, options.load, options.seed
    )
    result = runs.send(running, built, "demo")
    last = summarize(group, running, result)
    for outcome in result.outcomes:
        if outcome.outcome != "complete":
            report_progress(f"{outcome.outcome}: {outcome.reason}")
    if options.keep:
        print(json.dumps(last), flush=True)
        report_progress(describe_next(running))
        while True:
            time.sleep(3600)
    return last


def main(arguments: list[str]) -> int:
    """Run the demonstration; return 1 if an answer was wrong or missing."""
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__)
    parser.add_argument(
        "--keep", action="store_true", help="leave it running until Ctrl-C"
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--load", type=float, default=0.6)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    with (
        tempfile.TemporaryDirectory(prefix="demo-") as folder,
        processes.open_group(pathlib.Path(folder)) as group,
    ):
        last = run(options, group)
    print(json.dumps(last))
    wrong = ("double_starts", "crossed_answers", "lost_jobs")
    return 1 if any(last[name] for name in wrong) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
