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
CLI_PATH = pathlib.Path(sys.executable).parent / "pollenladder"


@dataclasses.dataclass(frozen=True)
class Access:
    """Access rights of a customer of the examples.

    Attributes:
        token: The customer's bearer token.
        choices: Allowed pairs of a plan and the name of one of its kinds.
        needs_key: Pairs of a plan and a kind that is not idempotent.
    """

    token: str
    choices: list[tuple[str, str]]
    needs_key: set[tuple[str, str]]


def read_accesses(folder: pathlib.Path) -> dict[str, Access]:
    """Read the access rights of each customer of an example."""
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
                pair
                for pair, is_idempotent in kinds.items()
                if not is_idempotent
            },
        )
        for customer in customers["customers"]
    }


def read_operator_token(folder: pathlib.Path) -> str:
    """Read the token of an example's first operator."""
    tokens = json5.loads((folder / TOKENS_FILE).read_text())
    return next(iter(tokens["operators"].values()))


def build_requests(
    accesses: dict[str, Access], seconds: float, load: float, seed: int
) -> list[callers.Request]:
    """Build requests for random jobs of all customers and kinds."""
    generator = random.Random(seed)
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
        _complete_request(
            request, accesses[request.customer_id], generator, number
        )
        for number, request in enumerate(built)
    ]


def _complete_request(
    request: callers.Request,
    access: Access,
    generator: random.Random,
    number: int,
) -> callers.Request:
    """Add a plan, a kind, a token and, if the kind needs one, a key."""
    plan_id, kind = generator.choice(access.choices)
    tasks = [task | {"kind": kind} for task in request.body["tasks"]]
    needs_key = (plan_id, kind) in access.needs_key
    return dataclasses.replace(
        request,
        token=access.token,
        body=request.body | {"plan": plan_id, "tasks": tasks},
        own_key=f"demo-{number}" if needs_key else "",
    )


def list_daemon_options(running: cluster.Cluster) -> list[str]:
    """Return the options of the `pollenladder` command for all daemons."""
    return [
        word
        for port in running.get_http_ports()
        for word in ("--daemon", f"127.0.0.1:{port}")
    ]


def list_platform_options(running: cluster.Cluster) -> list[str]:
    """Return the options of the `pollenladder` command for the platform."""
    return ["--platform", f"127.0.0.1:{running.platform_port}"]


def apply_examples(running: cluster.Cluster) -> None:
    """Apply the declarations of both examples with `pollenladder apply`.

    Raises:
        RuntimeError: The command failed.
    """
    command = [str(CLI_PATH), "apply", *map(str, EXAMPLES)]
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
    """Return the summary that is printed on the last line."""
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


def describe_next_steps(running: cluster.Cluster) -> str:
    """Return commands to try while the cluster is kept running."""
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
    """Print a progress line to stderr."""
    print(text, file=sys.stderr, flush=True)


def run(options: argparse.Namespace, group: processes.Group) -> dict[str, Any]:
    """Start the cluster, send the load and return the summary."""
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
    summary = summarize(group, running, result)
    for outcome in result.outcomes:
        if outcome.outcome != "complete":
            report_progress(f"{outcome.outcome}: {outcome.reason}")
    if options.keep:
        print(json.dumps(summary), flush=True)
        report_progress(describe_next_steps(running))
        while True:
            time.sleep(3600)
    return summary


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
        summary = run(options, group)
    print(json.dumps(summary))
    wrong = ("double_starts", "crossed_answers", "lost_jobs")
    return 1 if any(summary[name] for name in wrong) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
