"""Each promise of the soak is found broken where it is."""

import unittest

from soak.caller import Attempt, RequestKind
from soak.note import RunBegan, RunEnded
from soak.promise import Bounds, Disturbance, History, KeyLife, RunSeen, judge

from tests.platform.world import KEY

EVENTS = 3
AT_S = 100.0


def events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


class TestPromises(unittest.TestCase):
    def setUp(self):
        self.history = History(EVENTS)
        self.history.keys[KEY] = KeyLife(-1.0, 0.0)

    def attempt(self, name="r", kind=RequestKind.POST, key=KEY, sent_s=AT_S):
        attempt = Attempt(name, kind, 0, key, sent_s)
        attempt.ended_s = sent_s + 0.1
        self.history.attempts[name] = attempt
        return attempt

    def answered(self, status=200, endpoint="desk-1-1", **more):
        attempt = self.attempt(**more)
        attempt.status = status
        attempt.is_whole = True
        attempt.signature = f"sig.{endpoint}.{attempt.request_id}"
        attempt.body = f"answer of {endpoint} to {attempt.request_id}".encode()
        return attempt

    def run_at(self, attempt, endpoint="desk-1-1", at_s=AT_S, until_s=None, **more):
        kind = attempt.kind
        content = {
            "service": "models" if kind is RequestKind.DRAFT else "desk",
            "path": kind.path,
            "organisation": "bench",
            **more,
        }
        run = RunSeen(
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

    def broken(self):
        return [violation.promise for violation in judge(self.history, Bounds())]

    def test_calm_day_breaks_nothing(self):
        self.run_at(self.answered(), until_s=AT_S + 0.1)
        self.assertEqual(self.broken(), [])
        self.assertEqual(self.history.checks["at most once"], 1)

    def test_answer_of_another_request(self):
        self.answered().body = b"answer of desk-1-1 to other"
        self.assertEqual(self.broken(), ["own answer"])

    def test_status_that_the_endpoint_did_not_give(self):
        self.answered(status=502)
        self.assertEqual(self.broken(), ["same status"])

    def test_answer_whose_caller_left_in_its_middle_is_no_other_status(self):
        attempt = self.answered()
        attempt.is_whole = False
        attempt.left_s = AT_S + 0.02
        self.assertEqual(self.broken(), [])

    def test_second_run_of_what_runs_at_most_once(self):
        attempt = self.answered()
        self.run_at(attempt, until_s=AT_S)
        self.run_at(attempt, endpoint="desk-2-1", until_s=AT_S)
        self.assertEqual(self.broken(), ["at most once"])

    def test_refusal_of_a_request_that_ran(self):
        attempt = self.answered(status=503)
        attempt.signature = ""
        self.run_at(attempt, until_s=AT_S)
        self.assertEqual(self.broken(), ["refused is not run"])

    def test_events_missing_or_twice(self):
        draft = self.answered(kind=RequestKind.DRAFT, endpoint="models-3-1")
        draft.body = events(0, 2)
        self.assertEqual(self.broken(), ["order", "complete"])
        draft.body = events(0, 1, 1, 2)
        self.assertIn("order", self.broken())

    def test_stream_that_only_looks_complete(self):
        draft = self.answered(kind=RequestKind.DRAFT, endpoint="models-3-1")
        draft.body = events(0, 1)
        self.assertEqual(self.broken(), ["complete"])

    def test_request_that_no_caller_sent(self):
        self.run_at(self.attempt("known"))
        del self.history.attempts["known"]
        self.assertEqual(self.broken(), ["asked"])

    def test_request_of_another_organisation_path_or_service(self):
        for wrong, promise in (
            ({"organisation": "other"}, "as sent"),
            ({"path": "/post/2"}, "as sent"),
            ({"service": "models"}, "route"),
        ):
            self.history.runs.clear()
            self.run_at(self.answered(), **wrong)
            self.assertEqual(self.broken(), [promise])

    def test_key_that_was_never_given(self):
        self.run_at(self.answered(key="nobody"))
        self.assertEqual(self.broken(), ["known key"])

    def test_denial_of_a_key_that_always_held(self):
        self.answered(status=401).signature = ""
        self.assertEqual(self.broken(), ["not denied", "in force"])

    def test_revoked_key_served_too_late(self):
        self.history.keys["old"] = KeyLife(0.0, 0.0, AT_S - 2.2, AT_S - 2.1)
        self.run_at(self.answered(key="old"), until_s=AT_S)
        self.assertEqual(self.broken(), ["revoked"])

    def test_bounds_of_time_do_not_hold_for_a_disturbed_router(self):
        self.history.keys["old"] = KeyLife(0.0, 0.0, AT_S - 2.2, AT_S - 2.1)
        self.run_at(self.answered(key="old"), until_s=AT_S)
        self.history.disturbances.append(Disturbance(AT_S - 4, AT_S - 2.5, router=0))
        self.assertEqual(self.broken(), [])

    def test_request_to_an_endpoint_that_left(self):
        self.history.leavings["desk-1-1"] = AT_S - 2.1
        self.run_at(self.answered(), until_s=AT_S)
        self.assertEqual(self.broken(), ["drained"])

    def test_no_final_answer(self):
        self.attempt().left_s = AT_S + 1.301
        self.assertEqual(self.broken(), ["final answer"])

    def test_work_that_goes_on_after_the_caller_left(self):
        attempt = self.attempt()
        attempt.left_s = AT_S + 0.2
        self.run_at(attempt, until_s=AT_S + 0.8)
        self.assertEqual(self.broken(), ["stopped"])

    def test_request_cut_by_planned_work_alone(self):
        self.run_at(self.attempt(), until_s=AT_S)
        work = Disturbance(AT_S - 1, AT_S, router=0, is_planned_work=True)
        self.history.disturbances.append(work)
        self.assertEqual(self.broken(), ["not cut"])
        self.history.disturbances.append(Disturbance(AT_S - 1, AT_S))
        self.assertEqual(self.broken(), [])
