"""Failure tests with real processes and SIGKILL, SIGSTOP and SIGTERM."""

import signal
import time
import uuid

from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater
from twisted.trial import unittest

from tests.deployment import Deployment, expected_answer

TOKENS = 60


def new_key(number):
    """Return an idempotency key, a UUID of version 7."""
    created_ms = int(time.time() * 1000)
    return str(uuid.UUID(int=created_ms << 80 | 7 << 76 | 2 << 62 | number))


class ProcessCase:
    timeout = 110

    async def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        await self.deployment.start()

    def start_later(self, work):
        """Return a function that starts `work` and stores its Deferred in ``acted``."""

        def act():
            self.acted = Deferred.fromCoroutine(work())

        return act

    def assert_whole(self, result):
        answer = result.unwrap()
        self.assertEqual(answer.text, expected_answer(TOKENS))
        self.assertEqual(answer.tokens, TOKENS)
        return answer


class EngineFailureTest(ProcessCase, unittest.TestCase):
    async def test_paused_then_killed_engine(self):
        async def pause():
            name = await self.deployment.busy_engine()
            self.deployment.signal(name, signal.SIGSTOP)
            await deferLater(reactor, 2)
            self.deployment.signal(name, signal.SIGCONT)

        self.assert_whole(
            await self.deployment.ask(TOKENS, 20, self.start_later(pause))
        )
        await self.acted

        async def kill():
            name = await self.deployment.busy_engine()
            self.deployment.signal(name, signal.SIGKILL)

        self.assert_whole(await self.deployment.ask(TOKENS, 30, self.start_later(kill)))
        await self.acted


class RouterFailureTest(ProcessCase, unittest.TestCase):
    async def test_killed_router_and_engine(self):
        async def kill():
            name = await self.deployment.busy_engine()
            self.deployment.signal("r1", signal.SIGKILL)
            self.deployment.signal(name, signal.SIGKILL)

        result = await self.deployment.ask(TOKENS, 20, self.start_later(kill))
        await self.acted
        self.assertGreater(self.assert_whole(result).reconnects, 0)

    async def test_shutdown_interrupts_no_request(self):
        deployment = self.deployment
        await deployment.post_to_standin("s1", "switch", {"delay_ms": 1000})
        completion = deployment.ask(
            TOKENS, 10, lambda: deployment.signal("r1", signal.SIGTERM)
        )
        receipts = [
            Deferred.fromCoroutine(deployment.post_receipt("r1", new_key(number)))
            for number in range(5)
        ]
        answer = self.assert_whole(await completion)
        self.assertEqual(answer.reconnects, 0)
        codes = [code for code, _ in await gatherResults(receipts)]
        self.assertEqual(codes, [200] * 5)
        self.assertEqual(len(set(await deployment.executed_keys())), 5)
        while deployment.processes["r1"].poll() is None:
            await deferLater(reactor, 0.1)
        self.assertEqual(deployment.processes["r1"].returncode, 0)


class OperationFailureTest(ProcessCase, unittest.TestCase):
    async def post_to_all_routers(self, key):
        """Post the operation to both routers, concurrently and then in sequence."""
        deployment = self.deployment
        concurrent = [
            Deferred.fromCoroutine(deployment.post_receipt(router, key))
            for router in ("r1", "r2", "r1", "r2")
        ]
        answers = await gatherResults(concurrent)
        for router in ("r1", "r2"):
            answers.append(await deployment.post_receipt(router, key))
        return answers

    async def test_receipt_runs_at_most_once_despite_lost_answers_and_outage(self):
        deployment = self.deployment
        plain, lost, outage = new_key(1), new_key(2), new_key(3)
        answers = await self.post_to_all_routers(plain)
        self.assertEqual(answers[-1][0], 200)
        await deployment.post_to_standin("s1", "switch", {"lose_answers": True})
        answers = await self.post_to_all_routers(lost)
        self.assertTrue(all(code != 200 for code, _ in answers))
        self.assertTrue(all('"ran":"unknown"' in body for _, body in answers))
        await deployment.post_to_standin("s1", "switch", {"lose_answers": False})
        await deployment.post_to_standin("store", "lost-answers", 2)
        await self.post_to_all_routers(lost)
        await deployment.post_to_standin("store", "outage", True)
        answers = await self.post_to_all_routers(outage)
        self.assertTrue(all('"ran":"not_run"' in body for _, body in answers))
        self.assertEqual(
            sorted(await deployment.executed_keys()), sorted([plain, lost])
        )
