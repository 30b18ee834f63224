"""Check that each broken promise is reported, and nothing else."""

import unittest

from soak.caller import Attempt, RequestKind
from soak.note import LimitedArrival, LimitNamed, RunBegan, RunEnded
from soak.promise import (
    Bounds,
    Disturbance,
    History,
    KeyValidity,
    ObservedRun,
    find_violations,
)

from tests.platform.world import KEY

EVENTS = 3
AT_S = 100.0


def events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


class PromiseTestCase(unittest.TestCase):
    def setUp(self):
        self.history = History(EVENTS)
        self.history.keys[KEY] = KeyValidity(-1.0, 0.0)

    def add_attempt(self, name="r", kind=RequestKind.POST, key=KEY, sent_s=AT_S):
        attempt = Attempt(name, kind, 0, key, sent_s)
        attempt.ended_s = sent_s + 0.1
        self.history.attempts[name] = attempt
        return attempt

    def add_response(self, status=200, endpoint="desk-1-1", **more):
        attempt = self.add_attempt(**more)
        attempt.status = status
        attempt.is_whole = True
        attempt.signature = f"sig.{endpoint}.{attempt.request_id}"
        attempt.body = f"answer of {endpoint} to {attempt.request_id}".encode()
        return attempt

    def add_run(self, attempt, endpoint="desk-1-1", at_s=AT_S, until_s=None, **more):
        kind = attempt.kind
        content = {
            "service": "models" if kind is RequestKind.DRAFT else "desk",
            "path": kind.path,
            "organisation": "bench",
            **more,
        }
        run = ObservedRun(
            RunBegan(
                endpoint=endpoint,
                number=1,
                request_id=attempt.request_id,
                body="",
                after_event=None,
                at_s=at_s,
                **content,
            )
        )
        if until_s is not None:
            run.ended = RunEnded(endpoint, 1, "whole", until_s)
        self.history.runs.setdefault(attempt.request_id, []).append(run)
        return run

    def broken_promises(self):
        return [
            violation.promise for violation in find_violations(self.history, Bounds())
        ]


class TestPromises(PromiseTestCase):
    def test_undisturbed_request_breaks_no_promise(self):
        self.add_run(self.add_response(), until_s=AT_S + 0.1)
        self.assertEqual(self.broken_promises(), [])
        self.assertEqual(self.history.checks["at most once"], 1)

    def test_response_to_another_request(self):
        self.add_response().body = b"answer of desk-1-1 to other"
        self.assertEqual(self.broken_promises(), ["own answer"])

    def test_status_not_sent_by_the_endpoint(self):
        self.add_response(status=502)
        self.assertEqual(self.broken_promises(), ["same status"])

    def test_response_cut_by_the_caller_is_not_checked_for_its_status(self):
        attempt = self.add_response()
        attempt.is_whole = False
        attempt.left_s = AT_S + 0.02
        self.assertEqual(self.broken_promises(), [])

    def test_second_run_of_an_at_most_once_request(self):
        attempt = self.add_response()
        self.add_run(attempt, until_s=AT_S)
        self.add_run(attempt, endpoint="desk-2-1", until_s=AT_S)
        self.assertEqual(self.broken_promises(), ["at most once"])

    def test_refusal_of_a_request_that_ran(self):
        attempt = self.add_response(status=503)
        attempt.signature = ""
        self.add_run(attempt, until_s=AT_S)
        self.assertEqual(self.broken_promises(), ["refused is not run"])

    def test_missing_or_duplicate_events(self):
        draft = self.add_response(kind=RequestKind.DRAFT, endpoint="models-3-1")
        draft.body = events(0, 2)
        self.assertEqual(self.broken_promises(), ["order", "complete"])
        draft.body = events(0, 1, 1, 2)
        self.assertIn("order", self.broken_promises())

    def test_stream_that_ends_before_its_last_event(self):
        draft = self.add_response(kind=RequestKind.DRAFT, endpoint="models-3-1")
        draft.body = events(0, 1)
        self.assertEqual(self.broken_promises(), ["complete"])

    def test_run_of_a_request_that_no_caller_sent(self):
        self.add_run(self.add_attempt("known"))
        del self.history.attempts["known"]
        self.assertEqual(self.broken_promises(), ["asked"])

    def test_run_with_wrong_organisation_path_or_service(self):
        for wrong, promise in (
            ({"organisation": "other"}, "as sent"),
            ({"path": "/post/2"}, "as sent"),
            ({"service": "models"}, "route"),
        ):
            self.history.runs.clear()
            self.add_run(self.add_response(), **wrong)
            self.assertEqual(self.broken_promises(), [promise])

    def test_run_with_a_key_that_was_never_issued(self):
        self.add_run(self.add_response(key="nobody"))
        self.assertEqual(self.broken_promises(), ["known key"])

    def test_denial_of_a_key_that_was_always_valid(self):
        self.add_response(status=401).signature = ""
        self.assertEqual(self.broken_promises(), ["not denied", "in force"])

    def test_revoked_key_served_too_late(self):
        self.history.keys["old"] = KeyValidity(0.0, 0.0, AT_S - 2.2, AT_S - 2.1)
        self.add_run(self.add_response(key="old"), until_s=AT_S)
        self.assertEqual(self.broken_promises(), ["revoked"])

    def test_time_bounds_do_not_apply_to_a_disturbed_router(self):
        self.history.keys["old"] = KeyValidity(0.0, 0.0, AT_S - 2.2, AT_S - 2.1)
        self.add_run(self.add_response(key="old"), until_s=AT_S)
        self.history.disturbances.append(Disturbance(AT_S - 4, AT_S - 2.5, router=0))
        self.assertEqual(self.broken_promises(), [])

    def test_request_to_a_draining_endpoint(self):
        self.history.drain_acknowledged_s["desk-1-1"] = AT_S - 2.1
        self.add_run(self.add_response(), until_s=AT_S)
        self.assertEqual(self.broken_promises(), ["drained"])

    def test_missing_final_response(self):
        self.add_attempt().left_s = AT_S + 1.301
        self.assertEqual(self.broken_promises(), ["final answer"])

    def test_run_that_continues_after_the_caller_disconnected(self):
        attempt = self.add_attempt()
        attempt.left_s = AT_S + 0.2
        self.add_run(attempt, until_s=AT_S + 0.8)
        self.assertEqual(self.broken_promises(), ["stopped"])

    def test_request_cut_by_planned_work(self):
        self.add_run(self.add_attempt(), until_s=AT_S)
        work = Disturbance(AT_S - 1, AT_S, router=0, is_planned_work=True)
        self.history.disturbances.append(work)
        self.assertEqual(self.broken_promises(), ["not cut"])
        self.history.disturbances.append(Disturbance(AT_S - 1, AT_S))
        self.assertEqual(self.broken_promises(), [])


class TestFatalPrompts(PromiseTestCase):
    def add_fatal_runs(self, arrivals_s, kind=RequestKind.DRAFT):
        """Add requests that each end an endpoint shortly after they arrive."""
        for number, at_s in enumerate(arrivals_s):
            attempt = self.add_attempt(f"f{number}", kind, sent_s=at_s)
            attempt.is_fatal = True
            attempt.status = 502
            attempt.is_whole = True
            run = self.add_run(attempt, f"models-{number}", at_s)
            run.ended = RunEnded(f"models-{number}", 1, "crashed", at_s + 0.1)

    def test_few_arrivals_after_the_fifth_end_are_allowed(self):
        self.add_fatal_runs([100, 101, 102, 103, 104, 110, 111, 112])
        self.assertEqual(self.broken_promises(), [])
        self.assertEqual(self.history.checks["few ends"], 1)

    def test_more_arrivals_after_the_fifth_end(self):
        self.add_fatal_runs([100, 101, 102, 103, 104, 110, 111, 112, 113])
        self.assertEqual(self.broken_promises(), ["few ends"])

    def test_arrivals_of_a_request_after_the_third_end(self):
        self.add_fatal_runs([100, 101, 102, 110, 111, 112], RequestKind.LOOK)
        self.assertEqual(self.broken_promises(), [])
        self.add_fatal_runs([100, 101, 102, 110, 111, 112, 113], RequestKind.LOOK)
        self.assertEqual(self.broken_promises(), ["few ends"])

    def test_arrivals_from_a_disturbed_router_do_not_count(self):
        self.add_fatal_runs([100, 101, 102, 103, 104, 110, 111, 112, 113])
        self.history.disturbances.append(Disturbance(112.5, 112.6, router=0))
        self.assertEqual(self.broken_promises(), [])


class TestLimits(PromiseTestCase):
    def add_arrivals(self, count, endpoint="desk-1-1"):
        """Add requests to an endpoint with a limit of two a second, 0.1 s apart."""
        self.history.limits.append(LimitNamed(endpoint, 2.0, AT_S - 10))
        arrivals = self.history.limited_arrivals.setdefault(endpoint, [])
        for number in range(count):
            at_s = AT_S + number / 10
            self.add_attempt(f"l{number}", sent_s=at_s).status = 429
            arrivals.append(LimitedArrival(endpoint, f"l{number}", at_s))

    def test_as_many_as_allowed(self):
        self.add_arrivals(17)
        self.assertEqual(self.broken_promises(), [])
        self.assertEqual(self.history.checks["limit"], 17)

    def test_more_than_allowed(self):
        self.add_arrivals(18)
        self.assertEqual(self.broken_promises(), ["limit"])

    def test_probes_count(self):
        self.add_arrivals(17)
        probe = LimitedArrival("desk-1-1", "", AT_S + 2)
        self.history.limited_arrivals["desk-1-1"].append(probe)
        self.assertEqual(self.broken_promises(), ["limit"])

    def test_arrivals_from_a_disturbed_router_do_not_count(self):
        self.add_arrivals(18)
        self.history.disturbances.append(Disturbance(AT_S + 1, AT_S + 1.1, router=0))
        self.assertEqual(self.broken_promises(), [])

    def test_disturbance_of_the_store_excuses_nothing(self):
        self.add_arrivals(18)
        self.history.disturbances.append(Disturbance(AT_S, AT_S + 5))
        self.assertEqual(self.broken_promises(), ["limit"])

    def test_arrivals_while_the_limit_becomes_known_do_not_count(self):
        self.add_arrivals(18)
        self.history.limits[0] = LimitNamed("desk-1-1", 2.0, AT_S - 1)
        self.assertEqual(self.broken_promises(), [])
