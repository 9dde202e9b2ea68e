"""Reserves ports, prints them and holds them until standard input ends."""

import sys

from tools import ports

if __name__ == "__main__":
    reserved = ports.Ports()
    print(*[reserved.reserve() for _ in range(int(sys.argv[1]))], flush=True)
    sys.stdin.read()
