"""Runs clang-tidy in parallel over every source of the build, skipping files unchanged since they last passed.

A file's key is the hash of its own content, of every project header it includes and of .clang-tidy.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "lagoonspoke-lint"


def project_dependencies():
    """Maps each object file to the project files it was built from, as ninja recorded them."""
    output = subprocess.run(["ninja", "-C", BUILD, "-t", "deps"], capture_output=True, text=True, check=True).stdout
    dependencies = {}
    current = None
    for line in output.splitlines():
        if line and not line.startswith(" "):
            current = dependencies.setdefault(line.split(":")[0], [])
        elif line.startswith("    "):
            path = (BUILD / line.strip()).resolve()
            if path.is_relative_to(ROOT):
                current.append(path)
    return dependencies


def content_key(paths):
    digest = hashlib.sha256()
    for path in sorted(set(paths)):
        digest.update(str(path.relative_to(ROOT)).encode())
        digest.update(path.read_bytes() if path.exists() else b"")
    return digest.hexdigest()


def check(source):
    result = subprocess.run(["clang-tidy", "--quiet", "-p", str(BUILD), str(source)], capture_output=True, text=True)
    return result.returncode, result.stdout + (result.stderr if result.returncode else "")


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    commands = json.loads((BUILD / "compile_commands.json").read_text())
    dependencies = project_dependencies()
    pending = {}
    for command in commands:
        source = pathlib.Path(command["file"]).resolve()
        if not source.exists() or "CatchMain" in source.name:
            continue
        built_from = dependencies.get(command.get("output", ""), [])
        key = content_key(built_from + [source, ROOT / ".clang-tidy"])
        if not (CACHE / key).exists():
            pending[source] = key
    failures = 0
    with concurrent.futures.ThreadPoolExecutor(max_workers=os.cpu_count()) as pool:
        futures = {pool.submit(check, source): source for source in pending}
        for future in concurrent.futures.as_completed(futures):
            status, output = future.result()
            if status:
                failures += 1
                print(output)
            else:
                (CACHE / pending[futures[future]]).touch()
    print(f"lint: {len(pending)} checked, {len(commands) - len(pending)} unchanged, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
