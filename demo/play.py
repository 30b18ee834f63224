"""Run the demo: stream a long answer and kill its engine half-way through."""

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
ROUTER_ADDRESSES = [f"127.0.0.1:1810{number}" for number in (1, 2, 3)]
OPERATOR_ADDRESSES = [f"127.0.0.1:1820{number}" for number in (1, 2, 3)]
ENGINE_ADDRESSES = {f"engine-{n}": f"127.0.0.1:1850{n}" for n in (1, 2, 3, 4)}
MESSAGES = [{"role": "user", "content": "Assess the balance wheel of watch 4711."}]
MAX_START_TRIES = 100
TRY_INTERVAL_S = 0.2
TOKENS_PER_LINE = 12


async def responds(url):
    """Return whether a request to `url` is answered with status 200."""
    try:
        response = await treq.get(url, timeout=1)
        await response.content()
    except Exception:
        return False
    return response.code == 200


async def wait_for(reactor, url):
    """Wait until `url` answers with status 200; exit if it never does."""
    for _ in range(MAX_START_TRIES):
        if await responds(url):
            return
        await deferLater(reactor, TRY_INTERVAL_S)
    sys.exit(f"demo: {url} did not answer with status 200 in time")


async def busy_engine():
    """Return the name of an engine that is running a generation, or None."""
    for name, address in ENGINE_ADDRESSES.items():
        try:
            response = await treq.get(f"http://{address}/v1/load", timeout=1)
            report = await response.json()
        except Exception:
            continue
        if report["running"]:
            return name
    return None


class DemoProgress:
    """Prints tokens as they arrive and kills the busy engine half-way through.

    Parameters
    ----------
    pid_folder : Path
        Folder with one file for each process, which holds its process ID.

    Attributes
    ----------
    killed_engine : str or None
        Name of the engine that was killed.
    """

    def __init__(self, pid_folder):
        self._pid_folder = pid_folder
        self.killed_engine = None

    def on_token(self, text, answer):
        """Print a token; kill the busy engine after half of the tokens."""
        print(text, end="", flush=True)
        if answer.tokens % TOKENS_PER_LINE == 0:
            print(f"   [{answer.tokens}/{TOKENS}]")
        if answer.tokens == TOKENS // 2:
            Deferred.fromCoroutine(self._kill_busy_engine())

    async def _kill_busy_engine(self):
        self.killed_engine = await busy_engine()
        if self.killed_engine:
            os.kill(
                int((self._pid_folder / self.killed_engine).read_text()), signal.SIGKILL
            )
            print(f"\n--- {self.killed_engine} killed (SIGKILL) ---")


def count_differences(answer):
    """Return the numbers of missing and of repeated tokens in an answer.

    If the text differs from the expected one, at least one token counts as missing.
    """
    digest = prompt_digest(MESSAGES)
    expected = [expected_token(answer.version, SEED, digest, i) for i in range(TOKENS)]
    if answer.text == "".join(expected):
        return 0, 0
    return max(1, TOKENS - answer.tokens), max(0, answer.tokens - TOKENS)


async def publish_services(reactor):
    """Publish the demo's service files to the store."""
    store = EtcdStore(reactor, StoreSettings(["127.0.0.1:18401"]))
    folder = Path(__file__).parent / "services"
    published = await publish(store, collect(folder).unwrap(), "demo")
    print(f"published revision {published.unwrap().revision}")


async def run_demo(reactor, pid_folder):
    """Run the demo and return its exit status."""
    print("starting 3 routers in 2 data centres, 4 engines, a service and a store")
    await wait_for(reactor, "http://127.0.0.1:18601/standin/runs")
    for address in ENGINE_ADDRESSES.values():
        await wait_for(reactor, f"http://{address}/v1/load")
    for address in OPERATOR_ADDRESSES:
        await wait_for(reactor, f"http://{address}/healthz")
    await publish_services(reactor)
    for address in OPERATOR_ADDRESSES:
        await wait_for(reactor, f"http://{address}/readyz")
    progress = DemoProgress(Path(pid_folder))
    completion_client = CompletionClient(
        reactor, ROUTER_ADDRESSES, API_KEY, progress.on_token
    )
    result = await completion_client.ask("bench-draft", MESSAGES, TOKENS, SEED)
    if result.is_err():
        print(f"\nfailed: {result.unwrap_err().to_text()}")
        return 1
    answer = result.unwrap()
    missing, repeated = count_differences(answer)
    print(
        f"\n\nanswer of version {answer.version},"
        f" {progress.killed_engine} killed half-way"
    )
    print(f"  tokens delivered  {answer.tokens}")
    print(f"  tokens missing    {missing}")
    print(f"  tokens repeated   {repeated}")
    print(f"  resume latency    {answer.longest_gap_s * 1000:.0f} ms")
    is_complete = progress.killed_engine is not None and missing == repeated == 0
    print("  the answer is complete" if is_complete else "  THE ANSWER IS NOT COMPLETE")
    return 0 if is_complete else 1


async def main(reactor, pid_folder):
    """Run the demo and exit with its status."""
    sys.exit(await run_demo(reactor, pid_folder))


if __name__ == "__main__":
    react(main, sys.argv[1:])
