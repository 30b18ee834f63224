"""Simulated processes and network links on a virtual clock."""

__all__ = ["Links", "Process"]


class _Timer:
    """A delayed call that can also be cancelled while its process is paused."""

    def __init__(self, function, arguments):
        self._function = function
        self._arguments = arguments
        self.delayed = None

    def fire(self):
        """Call the function, unless it was cancelled."""
        if self.active():
            function, self._function = self._function, None
            function(*self._arguments)

    def active(self):
        """Return whether the call is pending."""
        return self._function is not None

    def cancel(self):
        """Cancel the call."""
        self._function = None
        if self.delayed.active():
            self.delayed.cancel()


class Process:
    """A simulated process that can be paused and killed.

    Calls that are due while it is paused run when it resumes. Once it is dead, no
    call runs in it.

    Parameters
    ----------
    clock : twisted.internet.task.Clock
    name : str

    Attributes
    ----------
    is_silent : bool
        Whether the process died without a reset of its connections.
    on_reset : list of callable
        Called without arguments when the process dies and its connections are reset.
    """

    def __init__(self, clock, name):
        self._clock = clock
        self._held = []
        self.name = name
        self.is_alive = True
        self.is_paused = False
        self.is_silent = False
        self.on_reset = []

    def seconds(self):
        """Return the virtual time."""
        return self._clock.seconds()

    def callLater(self, delay_s, function, *arguments):
        """Run a function in this process after a delay."""
        timer = _Timer(function, arguments)
        timer.delayed = self._clock.callLater(delay_s, self.run, timer.fire)
        return timer

    def run(self, function, *arguments):
        """Run a function in this process, now or when it resumes."""
        if not self.is_alive:
            return
        if self.is_paused:
            self._held.append((function, arguments))
        else:
            function(*arguments)

    def pause(self):
        """Hold calls back until :meth:`resume`."""
        self.is_paused = True

    def resume(self):
        """Run the calls that were held back, then continue."""
        self.is_paused = False
        held, self._held = self._held, []
        for function, arguments in held:
            self.run(function, *arguments)

    def kill(self, silent):
        """Kill the process; unless `silent`, its connections are reset."""
        self.is_alive = False
        self.is_silent = silent
        listeners, self.on_reset = self.on_reset, []
        for listener in [] if silent else listeners:
            listener()


class Links:
    """Delivers calls between processes; a cut link delays them until it heals.

    Parameters
    ----------
    clock : twisted.internet.task.Clock
    latency_s : float
        One-way latency.
    """

    def __init__(self, clock, latency_s):
        self._clock = clock
        self._latency_s = latency_s
        self._cut = {}

    def send(self, source, target, function, *arguments):
        """Run a function in the process `target` after the latency."""
        self._clock.callLater(
            self._latency_s, self._arrive, source, target, function, arguments
        )

    def _arrive(self, source, target, function, arguments):
        held = self._cut.get(frozenset((source.name, target.name)))
        if held is None:
            target.run(function, *arguments)
        else:
            held.append((target, function, arguments))

    def is_cut(self, source, target):
        """Return whether the link between two processes is cut."""
        return frozenset((source.name, target.name)) in self._cut

    def cut(self, name, other):
        """Cut the link between two processes, given by name."""
        self._cut.setdefault(frozenset((name, other)), [])

    def heal(self, name, other):
        """Restore a link and deliver the calls that it held."""
        for target, function, arguments in self._cut.pop(frozenset((name, other)), ()):
            target.run(function, *arguments)
