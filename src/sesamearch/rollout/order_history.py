"""Which orders are new: told from copies and repetitions after a store's restore."""

import enum

__all__ = ["OrderHistory", "OrderNews"]

# After a restore, operators write again what the store lost, and possibly what it did
# not lose. An equal order within this time is the same one.
REPETITION_TIMEOUT_S = 20.0
# Earlier orders of a service that are kept, to recognise them in a copy.
MAX_PAST_ORDERS = 8


class OrderNews(enum.Enum):
    """What an order means to a router that knows others of the service."""

    NEW = "new"
    REPEATED = "repeated"
    OLD = "old"


class OrderHistory:
    """The orders of one service that this router knows.

    Within an era of the store, a higher revision is a later order, even an equal one.
    Across eras, revisions say nothing. There, an order with the content of a known one
    is that one: it comes from the copy, or its operator wrote it again. To take a new
    order for a repetition only delays a rollout, while to take a repetition for a new
    order sends requests to a version that was found bad.

    Attributes
    ----------
    current : RolloutOrder or None
        The last order.
    """

    __slots__ = ("_copied", "_past", "_repeated_s", "current")

    def __init__(self):
        self.current = None
        self._past = []
        # Revision of the last order that was recognised in a copy as an earlier one.
        self._copied = None
        self._repeated_s = float("-inf")

    def judge(self, order, now_s, is_distinct=False):
        """Return the :class:`OrderNews` of an order, and record it.

        Parameters
        ----------
        order : RolloutOrder
        now_s : float
        is_distinct : bool
            Whether its sender knows that it repeats no order of an earlier era.
        """
        news = self._compare(order, now_s, is_distinct)
        if news is OrderNews.NEW:
            self._begin(order)
        elif news is OrderNews.REPEATED:
            self.repeat(order, now_s)
        elif order.revision.era > self.current.revision.era:
            self._copied = max(order.revision, self._copied or order.revision)
        return news

    def repeat(self, order, now_s):
        """Record the revision that the current order has since a restore."""
        if order.revision.era > self.current.revision.era:
            self._repeated_s = now_s
        self.current = order

    def _begin(self, order):
        if self.current is not None:
            self._past = [*self._past, self.current][-MAX_PAST_ORDERS:]
        self.current = order

    def _compare(self, order, now_s, is_distinct):
        current = self.current
        if current is None:
            return OrderNews.NEW
        if order.revision <= max(current.revision, self._copied or current.revision):
            return OrderNews.OLD
        if is_distinct:
            return OrderNews.NEW
        if order.revision.era == current.revision.era:
            is_repeated = now_s < self._repeated_s + REPETITION_TIMEOUT_S
            is_repeated = is_repeated and order.is_equal_to(current)
            return OrderNews.REPEATED if is_repeated else OrderNews.NEW
        return self._compare_across_eras(order)

    def _compare_across_eras(self, order):
        equal = [past for past in self._past if order.is_equal_to(past)]
        # The copy holds an earlier order of the same content, under its own revision.
        number = order.revision.number
        if any(past.revision.number == number for past in equal):
            return OrderNews.OLD
        if order.is_equal_to(self.current):
            return OrderNews.REPEATED
        return OrderNews.OLD if equal else OrderNews.NEW
