"""Who counts as down: NGINX's max_fails and fail_timeout, trials, and Envoy's panic floor. What is marked is
a server, or a server for one category (a pair): some serve one kind of lookup and leave another unanswered.
Ids may be anything hashable; where they are plain tuples themselves, `pairs` has to be off."""

from collections import Counter, defaultdict
from collections.abc import Container, Hashable, Iterable

from foxspread.model import Mark
from foxspread.sums import Latest, Mean

Marked = Hashable   # a server, or (server, category)


class Marks:
    def __init__(self, max_fails: int = 3, fail_timeout: float = 10.0, spell: float = 4.0, trials: int = 2,
                 panic: float = 0.4, pairs: bool = True) -> None:
        self.max_fails, self.fail_timeout, self.spell, self.trials = max_fails, fail_timeout, spell, trials
        self.panic, self.pairs = panic, pairs
        self.of: dict[Marked, Mark] = {}
        self.marked, self.verdicts = set(), Mean(10.0, 0.0)   # 1 for each failure, over all servers
        self.recent = defaultdict(lambda: Latest(64))   # by category: the verdicts on those judged last

    def met(self, server: Hashable, categories: Iterable[str] = ()) -> None:
        for what in (server, *((server, category) for category in categories)):
            self.marked.discard(what)
            self.of.pop(what, None)   # a pair has none before its first verdict: most servers are met by few
        self.of[server] = Mark()

    def category(self, what: Marked) -> str:
        return what[1] if self.pairs and type(what) is tuple else ""

    def down(self, what: Marked) -> bool:
        return what in self.marked

    def trial_due(self, now: float, what: Marked) -> bool:
        return what in self.marked and now >= self.of[what].until and not self.of[what].trial_out

    def in_panic(self, ready: set[Hashable]) -> bool:
        return len(ready) - sum(s in ready for s in self.marked) < self.panic * len(ready)

    def in_panic_for(self, sound: Container[Hashable], size: int) -> set[str]:
        """The floor for categories: those that too few of these servers would serve."""
        marked = Counter(self.category(w) for w in self.marked if self.category(w) and w[0] in sound)
        return {category for category, count in marked.items() if size - count < self.panic * size}

    def record(self, now: float, what: Marked, failure: bool | None, trial: bool, weight: int = 1) -> None:
        """Notes a verdict; None where there is none, as from a full server."""
        mark = self.of.get(what) or self.of.setdefault(what, Mark())
        if trial and what in self.marked:
            self._trial_ended(now, what, mark, failure)
        if trial or failure is None or what in self.marked:
            return
        if not (category := self.category(what)):
            self.verdicts.add(now, float(failure))
        (recent := self.recent[category]).put(what, mark.verdicts)
        many = mark.note(now, failure, weight, self.fail_timeout) >= self.max_fails
        # A dead server must not pass for one of many that fail: several failed connections are its own doing.
        if many and (weight > 1 and mark.streak >= 2 * self.max_fails or self._worse(now, what, recent)):
            seldom = 500.0 * (1 + len(self.marked)) / max(1.0, self.verdicts.sums(now)[1])
            spell = max(self.spell / 8, min(self.spell, seldom))   # trials may take one lookup of fifty
            again = now - mark.readmitted < 3 * self.fail_timeout   # flapping: away for longer each time
            mark.spell = min(mark.spell * 2, 4 * spell) if again else spell
            mark.until, mark.passes = now + mark.spell, 0
            self.marked.add(what)

    def _worse(self, now: float, what: Marked, recent: Latest) -> bool:
        """Than the better half of the rest: failures that belong to lookups strike all servers alike."""
        failed, ended = recent[what].sums(now)
        all_failed, all_ended = Mean.better_half(now, [each for key, each in recent.items() if key != what])
        return failed / ended > min(0.9, 0.15 + 2 * (all_failed + 0.1) / (all_ended + 1.0))

    def _trial_ended(self, now: float, what: Marked, mark: Mark, failure: bool | None) -> None:
        mark.trial_out = False
        mark.passes = mark.passes + 1 if failure is False else 0
        if mark.passes >= self.trials:
            self.marked.discard(what)
            self.of[what] = Mark(spell=mark.spell, readmitted=now)
        elif not mark.passes:   # also after none: a hung server stays full, and each lookup would be the next
            mark.until = now + mark.spell
