"""Tests of a platform that is down or loses replies.

They guard against daemons that can't join or take over shards without the
platform, lost updates of racing operators, and versions that go backwards.
"""

import json
import os
import subprocess
import sys
import threading

from bench import cluster
from bench import declarations
from bench import http
from bench import ports
from tests.processes import clusters
from tests.processes import declared
from tests.processes import load

APPLY_TIMEOUT_S = 60
CLI_SCRIPT = (
    "import sys; from pollenladder.management import application; "
    "sys.exit(application.main())"
)


class PlatformTest(clusters.ClusterCase):
    def set_platform(self, **faults):
        cluster.set_platform_faults(self.test_cluster, faults)

    def read_versions(self):
        """Return the active declarations version by running daemon."""
        return {d: self.read_status(d)["version"] for d in self.list_running()}

    def wait_for_version(self, version):
        self.wait_until(
            lambda: set(self.read_versions().values()) == {version},
            f"version {version} everywhere",
        )

    def read_current(self):
        row = http.request_json(
            self.test_cluster.platform_port, "/v1/table/declarations/current"
        )
        return row["value"]["version"]

    def test_a_daemon_dies_and_another_joins_while_it_is_down(self):
        self.set_platform(down=True)
        self.addCleanup(self.set_platform, down=False)
        owner = self.wait_for_owner("north/0")
        others = self.list_ports(excluded_id=owner)
        with load.Load(others) as background:
            self.wait_for_more_jobs(background, others)
            self.group.kill(owner)
            self.wait_for_owner("north/0", excluded_id=owner)
            joined = self.join("north")
            self.wait_for_answers([joined["http_port"]])
            self.wait_for_more_jobs(background, others)
        self.check_answers(background.answers)
        self.assertEqual(len(set(self.read_versions().values())), 1)
        self.set_platform(down=False)
        self.restart(owner)
        self.group.terminate(joined["vm_id"], 60)
        self.test_cluster.daemons.remove(joined)

    def join(self, data_centre):
        """Start a daemon that finds its peers only through its settings."""
        port, http_port = ports.find_free_ports(2)
        row = self.test_cluster.daemons[0] | {
            "vm_id": f"{data_centre}-joins",
            "data_centre": data_centre,
            "port": port,
            "http_port": http_port,
        }
        hints = [
            {
                "daemon_id": daemon["vm_id"],
                "data_centre": daemon["data_centre"],
                "address": daemon["address"],
                "peer_port": daemon["port"],
            }
            for daemon in self.test_cluster.daemons
        ]
        settings = declarations.build_settings(
            declared.LAYOUT,
            row,
            self.test_cluster.platform_port,
            {"timings": declared.TIMINGS, "peers": hints},
        )
        path = self.group.folder / f"{row['vm_id']}.json"
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "pollenladder", "--settings"]
        self.group.start(row["vm_id"], [*command, str(path)])
        self.test_cluster.daemons.append(row)
        self.wait_until(
            lambda: http.answers_ok(http_port, "/readyz"), "the new daemon"
        )
        return row

    def test_operators_race_and_a_reply_is_lost(self):
        before = self.read_current()
        self.set_platform(lose_replies=1)
        codes = self.apply_all(range(3))
        won = codes.count(0)
        self.assertGreaterEqual(won, 1, codes)
        self.assertEqual(set(codes) - {0, 4}, set(), codes)
        self.assertEqual(self.read_current(), before + won)
        self.wait_for_version(before + won)

    def apply_all(self, numbers):
        """Run several `apply` commands concurrently; return the exit codes."""
        started = [self.start_apply(number) for number in numbers]
        return [one.wait(APPLY_TIMEOUT_S) for one in started]

    def start_apply(self, number):
        folder = self.group.folder / f"plans-{number}"
        folder.mkdir()
        plans = [
            declared.build_plan(declared.WIDE, 300 + number),
            declared.build_plan(declared.NARROW, declared.NARROW_RUNNING),
        ]
        files = {
            "customers.json": declared.build_customers(),
            "plans.json": {"plans": plans},
        }
        for name, value in files.items():
            (folder / name).write_text(json.dumps(value))
        command = [sys.executable, "-c", CLI_SCRIPT, "apply", str(folder)]
        command += ["--wait-s", "30", "--platform"]
        command.append(f"{ports.HOST}:{self.test_cluster.platform_port}")
        for port in self.list_ports():
            command += ["--daemon", f"{ports.HOST}:{port}"]
        token = {"POLLENLADDER_TOKEN": declared.OPERATOR_TOKEN}
        return subprocess.Popen(
            command,
            env=os.environ | token,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def test_a_version_never_reverts_through_restarts(self):
        first = self.read_current() + 1
        seen = []
        stopping = threading.Event()
        watcher = threading.Thread(
            target=self.record_versions, args=(seen, stopping)
        )
        watcher.start()
        try:
            for number, daemon_id in enumerate(self.list_running()):
                declared.declare(self.test_cluster, first + number)
                self.wait_for_version(first + number)
                self.restart(daemon_id)
                self.wait_for_version(first + number)
        finally:
            stopping.set()
            watcher.join()
        for daemon_id in self.list_running():
            versions = [one[daemon_id] for one in seen if daemon_id in one]
            self.assertEqual(versions, sorted(versions), daemon_id)

    def record_versions(self, seen, stopping):
        """Record the version of each ready daemon until stopped."""
        while not stopping.is_set():
            versions = {}
            for daemon in self.test_cluster.daemons:
                port = daemon["http_port"]
                if not http.answers_ok(port, "/readyz"):
                    continue
                try:
                    status = self.read_status(daemon["vm_id"])
                except OSError:
                    continue
                versions[daemon["vm_id"]] = status["version"]
            seen.append(versions)
            stopping.wait(0.02)
