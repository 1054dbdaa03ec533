"""Demonstrates a complete deployment: log service, backend servers, two entries, operator and caller."""

import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests" / "system"))

from fleet import BIN, Fleet, ask  # noqa: E402


def run_tool(*arguments):
    """Runs the command-line tool, prints the command line and passes its output through."""
    command = [str(BIN / "cardamomctl"), *arguments]
    print("$ cardamomctl", " ".join(arguments), flush=True)
    subprocess.run(command, check=True, timeout=20)


def main():
    with Fleet() as fleet:
        fleet.start_log()
        for number in (1, 2):
            fleet.start_backend(f"lots-{number}", port=9100 + number)
        fleet.start_backend("desk-1", port=9103)
        first = fleet.start_entry("entry-1", zone="north-a", extra=["--trace_percent=100"])
        second = fleet.start_entry("entry-2", zone="north-b", extra=["--trace_percent=100"])
        print(f"two entries are members: {first.traffic}, {second.traffic}")

        run_tool(f"--api={first.api}", "apply", "examples/mill.json")
        run_tool(f"--api={second.api}", "get", "services", "lot-registry")

        response = ask(first.traffic, "GET", "/.well-known/cardamomdeck/addresses?caller=demo")
        address = response.json["addresses"][0]["address"]
        print(f"the caller is told to use {address}")
        response = ask(address, "POST", "/lots/7/weighings", b"12.5 kg", {"x-request-id": "weighing-1"})
        print(f"POST /lots/7/weighings: {response.status} outcome={response.outcome} {response.body.decode()}")
        api = first.api if address == first.traffic else second.api
        run_tool(f"--api={api}", "explain", response.headers["x-trace-id"])


if __name__ == "__main__":
    main()
