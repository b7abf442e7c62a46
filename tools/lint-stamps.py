#!/usr/bin/env python3
"""Prints "KEY FILE" for each source file on standard input.

The key is a digest of all that the lint of the file depends on: the file, the
project's headers that it includes, the compile command, the lint's settings and
version, and the installed versions of the libraries.
"""
import functools
import hashlib
import json
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
INCLUDE = re.compile(rb'^\s*#\s*include\s+"([^"]+)"', re.M)


def output(*command):
    return subprocess.run(command, stdout=subprocess.PIPE, check=True).stdout


@functools.lru_cache(maxsize=None)
def read(path):
    with open(path, "rb") as file:
        return file.read()


@functools.lru_cache(maxsize=None)
def included(path, roots):
    """Paths of the project's headers that the file includes itself."""
    found = []
    for name in INCLUDE.findall(read(path)):
        for root in (os.path.dirname(path),) + roots:
            header = os.path.normpath(os.path.join(root, name.decode()))
            if os.path.isfile(header):
                found.append(header)
                break
    return tuple(found)


def closure(path, roots):
    seen, pending = {path}, [path]
    while pending:
        for header in included(pending.pop(), roots):
            if header not in seen:
                seen.add(header)
                pending.append(header)
    return sorted(seen)


def main(database):
    with open(database) as file:
        commands = {entry["file"]: entry["command"] for entry in json.load(file)}
    common = hashlib.sha256()
    common.update(output("clang-tidy", "--version"))
    common.update(output("dpkg-query", "-W", "-f", "${Package} ${Version}\n",
                         "lib*-dev", "g++*", "prometheus-cpp-dev", "nlohmann-json3-dev"))
    common.update(read(os.path.join(ROOT, ".clang-tidy")))
    for line in sys.stdin:
        path = os.path.join(ROOT, line.strip())
        command = commands.get(path, "")
        roots = tuple(r for r in re.findall(r"-I(\S+)", command) if r.startswith(ROOT))
        key = common.copy()
        key.update(command.replace(ROOT, "").encode())
        for part in closure(path, roots):
            key.update(part[len(ROOT):].encode() + b"\0")
            key.update(hashlib.sha256(read(part)).digest())
        print(key.hexdigest(), line.strip())


if __name__ == "__main__":
    main(sys.argv[1])
