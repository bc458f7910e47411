"""A long day with hundreds of changes of the manifest and little else; then the processes of the
core are killed at one moment and are started again."""
import os
import re
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from deployment import (CannotRun, HOST, PREFIX, Runs, SERVICE, Worker, follow,  # noqa: E402
                        play, wait_for)

CHANGES = 650
ROUTES = 520         # 110 (idle_routes) and one big_config of 410
MEMORY_MB = 256      # limits.memoryMb of a core machine
BACK_S = 0.8         # a killed process is started again
WATCH_S = 30.0
CONTROLS = ("control0", "control1", "control2")


def make_manifest(version):
    rows = [{"name": "r-%07x" % n, "host": "h%05x.example" % (n % 7),
             "pathPrefix": "/p%06x/" % n, "routeType": "non_idempotent",
             "timeoutMs": 3000 + version % 5, "targetLatencyMs": 1200, "priority": 0,
             "service": SERVICE, "attempts": 4, "stretch": 1.5} for n in range(ROUTES)]
    rows[0].update(host=HOST, pathPrefix=PREFIX)
    return {"version": version, "routes": rows,
            "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 64,
                          "protocol": "h1", "tls": False, "preconditions": True,
                          "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Platform:
    """Kills a process that uses more memory than its machine has, and starts what has ended."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.over = {name: 0 for name in CONTROLS}
        self.most = {name: 0.0 for name in CONTROLS}
        self.lock = threading.Lock()
        threading.Thread(target=self.watch, daemon=True).start()

    def used_mb(self, process):
        """Memory of the process itself, without pages of files."""
        try:
            with open("/proc/%d/status" % process.pid, encoding="ascii") as file:
                found = re.search(r"RssAnon:\s+(\d+) kB", file.read())
        except OSError:
            return 0.0
        return int(found.group(1)) / 1024.0 if found else 0.0

    def watch(self):
        while not self.deployment.stopping.is_set():
            time.sleep(0.005)
            with self.lock:
                for name in CONTROLS:
                    process = self.deployment.processes[name]
                    used = self.used_mb(process) if process.poll() is None else 0.0
                    self.most[name] = max(self.most[name], used)
                    if used > MEMORY_MB:
                        process.kill()
                        self.over[name] += 1
                        self.record("platform", "%s uses %.0f MB of %d: killed"
                                    % (name, used, MEMORY_MB))
                        threading.Timer(BACK_S, self.restart, (name,)).start()

    def restart(self, name):
        with self.lock:
            if self.deployment.stopping.is_set():
                return
            self.deployment.processes[name].wait()
            self.deployment.write_settings(name, False)
            self.deployment.start(name)

    def kill_core(self):
        with self.lock:
            for name in CONTROLS:
                self.deployment.processes[name].send_signal(signal.SIGKILL)
        self.record("platform", "all processes of the core are killed")
        for name in CONTROLS:
            threading.Timer(BACK_S, self.restart, (name,)).start()


class Case:
    killed = CONTROLS

    def run(self, deployment, record, trouble):
        runs = Runs()
        platform = Platform(deployment, record)
        deployment.put_manifest(version=1)
        for n in range(4):
            Worker(deployment, runs, "i-%08x" % (0x51a0 + n), "%s%d:8080" % (deployment.net, 200 + n))
        begin = time.monotonic()
        newest = 1
        for change in range(CHANGES):
            newest = 10 + change
            deployment.order("PUT", "/api/config", make_manifest(newest), 20)
            if time.monotonic() - begin > 55:
                raise CannotRun("the changes took too long: %d" % change)
        sizes = {}
        for name in CONTROLS:
            folder = os.path.join(deployment.folder, name)
            sizes[name] = round(sum(os.path.getsize(os.path.join(where, file))
                                    for where, _, files in os.walk(folder) for file in files) / 1e6)
        record("platform", "%d changes in %.0f s" % (CHANGES, time.monotonic() - begin),
               disk_mb=sizes, memory_mb={n: round(m) for n, m in platform.most.items()})
        deployment.submit("5c0e7a21d94b36f8", "ms=500",
                          [{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 500}])
        wait_for("the job", lambda: deployment.state("5c0e7a21d94b36f8") == "completed", 15)
        if trouble:
            platform.kill_core()
        # The operator reads the manifest back, at any daemon.
        end = time.monotonic() + (WATCH_S if trouble else 5.0)
        answers, n = [], 0
        while time.monotonic() < end:
            address = deployment.controls()[n % 3]
            n += 1
            try:
                status, _, text = follow(address, "GET", "/api/config")
            except OSError:
                status, text = 0, ""
            version = int(re.search(r'"version": ?(\d+)', text).group(1)) if status == 200 else 0
            answers.append((time.monotonic(), status, version))
            time.sleep(0.2)
        last = [a for a in answers if a[0] > end - 12]
        record("operator", "GET /api/config, last 12 s", statuses=sorted({(s, v) for _, s, v in last}))
        status, text = deployment.request("GET", PREFIX + "5c0e7a21d94b36f8")
        record("requester", "GET of the job -> %d %s" % (status, text))
        record("platform", "killed for memory", times=platform.over,
               most_mb={n: round(m) for n, m in platform.most.items()})
        breaks = []
        often = [name for name in CONTROLS if platform.over[name] >= 3]
        if 2 * len(often) >= len(CONTROLS):
            breaks.append("Fault: %s went over %d MB and ended three times or more by itself: %s"
                          % (", ".join(often), MEMORY_MB, platform.over))
        if not any(s == 200 and v == newest for _, s, v in last):
            breaks.append("LOST: the acknowledged manifest %d doesn't come, %.0f s after the core "
                          "was back" % (newest, WATCH_S))
        return breaks


sys.exit(play(HERE, Case()))
