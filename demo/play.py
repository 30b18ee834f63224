"""Play the demonstration: one long answer, its engine killed half-way."""

import os
import signal
import sys
from pathlib import Path

import treq
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater, react

from sesamearch.callers.client import CompletionClient
from sesamearch.configuration.configuration import collect
from sesamearch.configuration.publisher import publish
from sesamearch.configuration.settings import StoreSettings
from sesamearch.standin.engine import expected_token, prompt_digest
from sesamearch.store.etcd import EtcdStore

TOKENS = 120
SEED = 7
API_KEY = "demo-key"
ROUTERS = [f"127.0.0.1:1810{number}" for number in (1, 2, 3)]
OPERATORS = [f"127.0.0.1:1820{number}" for number in (1, 2, 3)]
ENGINES = {f"engine-{n}": f"127.0.0.1:1850{n}" for n in (1, 2, 3, 4)}
MESSAGES = [{"role": "user", "content": "Assess the balance wheel of watch 4711."}]
START_TRIES = 100
TRY_INTERVAL_S = 0.2
WIDTH_TOKENS = 12


async def answers(url):
    """Return whether `url` answers 200."""
    try:
        response = await treq.get(url, timeout=1)
        await response.content()
    except Exception:
        return False
    return response.code == 200


async def wait_for(reactor, url):
    """Wait until `url` answers 200."""
    for _ in range(START_TRIES):
        if await answers(url):
            return
        await deferLater(reactor, TRY_INTERVAL_S)
    sys.exit(f"demo: {url} did not answer")


async def busy_engine():
    """Return the name of the engine that has a stream."""
    for name, address in ENGINES.items():
        try:
            response = await treq.get(f"http://{address}/v1/load", timeout=1)
            report = await response.json()
        except Exception:
            continue
        if report["running"]:
            return name
    return None


class Show:
    """Print progress and kill the engine at half of the answer."""

    def __init__(self, pids):
        self._pids = pids
        self.killed = None

    def token(self, text, answer):
        """Print one token."""
        print(text, end="", flush=True)
        if answer.tokens % WIDTH_TOKENS == 0:
            print(f"   [{answer.tokens}/{TOKENS}]")
        if answer.tokens == TOKENS // 2:
            Deferred.fromCoroutine(self._kill())

    async def _kill(self):
        self.killed = await busy_engine()
        if self.killed:
            os.kill(int((self._pids / self.killed).read_text()), signal.SIGKILL)
            print(f"\n--- {self.killed} killed (SIGKILL) ---")


def compare(answer):
    """Return how many tokens are missing and repeated."""
    digest = prompt_digest(MESSAGES)
    expected = [expected_token(answer.version, SEED, digest, i) for i in range(TOKENS)]
    if answer.text == "".join(expected):
        return 0, 0
    return max(1, TOKENS - answer.tokens), max(0, answer.tokens - TOKENS)


async def publish_services(reactor):
    """Publish the demonstration's service files."""
    store = EtcdStore(reactor, StoreSettings(["127.0.0.1:18401"]))
    folder = Path(__file__).parent / "services"
    published = await publish(store, collect(folder).unwrap(), "demo")
    print(f"published revision {published.unwrap().revision}")


async def play(reactor, pids):
    """Play and return the exit status."""
    print("starting 3 routers in 2 data centres, 4 engines, a service and the store")
    await wait_for(reactor, "http://127.0.0.1:18601/standin/runs")
    for address in ENGINES.values():
        await wait_for(reactor, f"http://{address}/v1/load")
    for address in OPERATORS:
        await wait_for(reactor, f"http://{address}/healthz")
    await publish_services(reactor)
    for address in OPERATORS:
        await wait_for(reactor, f"http://{address}/readyz")
    show = Show(Path(pids))
    completion_client = CompletionClient(reactor, ROUTERS, API_KEY, show.token)
    result = await completion_client.ask("bench-draft", MESSAGES, TOKENS, SEED)
    if result.is_err():
        print(f"\nfailed: {result.unwrap_err().show()}")
        return 1
    answer = result.unwrap()
    missing, repeated = compare(answer)
    print(f"\n\nanswer of version {answer.version}, {show.killed} killed half-way")
    print(f"  tokens delivered  {answer.tokens}")
    print(f"  tokens missing    {missing}")
    print(f"  tokens repeated   {repeated}")
    print(f"  resume latency    {answer.longest_gap_s * 1000:.0f} ms")
    is_whole = show.killed is not None and missing == repeated == 0
    print("  the answer is whole" if is_whole else "  THE ANSWER IS NOT WHOLE")
    return 0 if is_whole else 1


async def main(reactor, pids):
    """Exit with the status of :func:`play`."""
    sys.exit(await play(reactor, pids))


if __name__ == "__main__":
    react(main, sys.argv[1:])
