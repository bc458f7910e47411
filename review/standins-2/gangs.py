"""What the members of a gang know of each other: a run works from the moment when all its
members are present, and ends for all of them when it ends for one."""
import threading


class Gangs:
    def __init__(self, sizes):
        """sizes: number of members by "JOB.K.STEP"."""
        self.sizes = sizes
        self.lock = threading.Lock()
        self.present = {}   # (step, run) -> {index: (worker, run object)}
        self.whole = set()  # runs that had all members
        self.over = {}      # (step, run) -> how the members that are left end

    @staticmethod
    def key(run):
        return run.task.rsplit(".", 1)[0], run.run

    def is_member(self, run):
        return self.key(run)[0] in self.sizes

    def begin(self, worker, run):
        if not self.is_member(run):
            return
        with self.lock:
            members = self.present.setdefault(self.key(run), {})
            members[run.task] = (worker, run)
            if len(members) == self.sizes[self.key(run)[0]]:
                self.whole.add(self.key(run))

    def is_whole(self, run):
        with self.lock:
            return self.key(run) in self.whole

    def end(self, worker, run, how):
        if not self.is_member(run):
            return
        key = self.key(run)
        with self.lock:
            was_whole = key in self.whole
            self.present.get(key, {}).pop(run.task, None)
            if was_whole and key not in self.over:
                self.over[key] = "done" if how == "done" else "broken"

    def crash(self, worker):
        with self.lock:
            for key, members in self.present.items():
                for task, (owner, _) in list(members.items()):
                    if owner is worker:
                        del members[task]
                        if key in self.whole:
                            self.over.setdefault(key, "broken")

    def ending(self, run):
        """How the run has to end now, or None."""
        with self.lock:
            return self.over.get(self.key(run))
