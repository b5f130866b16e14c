"""One load process; reads its specification from stdin and writes its result to stdout."""

import json
import sys

from standins.load._sender import Sender
from standins.load._spec import load_spec_from_json


def main() -> None:
    """Run one load process."""
    sender = Sender(load_spec_from_json(sys.stdin.read()))
    summaries = sender.run()
    print(json.dumps({name: summary.to_dict() for name, summary in summaries.items()}))


if __name__ == "__main__":
    main()
