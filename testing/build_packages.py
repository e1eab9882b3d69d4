"""Checks that `build` of deploy/system.toml uses only the Debian packages listed beside it.

    testing/build_packages.py [--list]    # --list prints each package with the files used of it

Runs the command under strace in a copy of the work tree without tests, as an unprivileged user, and
maps each file that was read, linked or executed to its package. The verdict comes from this list,
not from whether the build passes: a package that is missing from `packages` is reported also where
it is installed. Exit codes: 0 only listed packages were used, 1 a rule is broken, 2 the build failed
or could not be traced.

Rules:
- Packages of included headers, linked libraries and executed programs are listed, or built from the
  source of a listed one, or belong to the compiler, or are essential on every Debian machine.
- Packages of other files read are dependencies of listed ones.
- Nothing outside `target/` is written, and no network address is contacted.
"""

import argparse
import os
import pathlib
import pwd
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMPILER = "g++"
BUILD_TIMEOUT_S = 900
TEST_PATHS = re.compile(r"^(testing|platform/testing|platform/fuzz|spec|journal|docs)/"
                        r"|_(test|bench)\.cpp$|/test_[^/]*$")
# Kernel interfaces, caches and settings of the machine. binutils loads each plugin that it finds.
MACHINE_PATHS = ("/dev/", "/etc/", "/proc/", "/sys/", "/run/", "/tmp/", "/usr/lib/bfd-plugins/",
                 "/usr/lib/locale/", "/usr/share/locale/", "/var/")
SCRATCH_PATHS = ("/dev/", "/proc/", "/tmp/")
SYSCALL = re.compile(r"^(\d+) +(\w+)\((.*)\) += (-?\d+)(?:<(.*)>)?")


class CheckError(Exception):
    """The list could not be made."""


@dataclass(frozen=True)
class Package:
    """Installed package: names it answers to, and its dependencies as alternatives."""
    name: str
    source: str = ""
    provides: tuple[str, ...] = ()
    depends: tuple[tuple[str, ...], ...] = ()
    essential: bool = False


@dataclass
class Trace:
    """Files and addresses used by a command. Paths are as named, mapped to the real path."""
    read: dict[str, str] = field(default_factory=dict)
    linked: dict[str, str] = field(default_factory=dict)
    executed: dict[str, str] = field(default_factory=dict)
    written: set[str] = field(default_factory=set)
    contacted: set[str] = field(default_factory=set)


def parse_trace(lines):
    """Returns the Trace of strace's output, made with -f -y. Failed calls count for connect alone:
    a connection that does not block is under way when the call returns."""
    trace, programs, linkers = Trace(), {}, set()
    for line in lines:
        match = SYSCALL.match(line)
        if not match:
            continue
        pid, call, arguments, result, real = match.groups()
        if call == "execve" and result == "0":
            path = arguments.split('"')[1]
            trace.executed[path] = os.path.realpath(path)
            programs[pid] = os.path.basename(path)
            linkers.discard(pid)
        elif call == "connect" and "AF_INET" in arguments:
            trace.contacted.add(arguments)
        elif call == "openat" and real and "O_DIRECTORY" not in arguments:
            folder, path = re.match(r'(?:AT_FDCWD|\d+)<(.*?)>, "(.*?)"', arguments).groups()
            if re.search(r"O_WRONLY|O_RDWR|O_CREAT", arguments):
                trace.written.add(real)
                continue
            # Before its first object file, the linker's process loads its own libraries.
            if path.endswith(".o") and programs.get(pid, "").startswith(("lld", "ld")):
                linkers.add(pid)
            named = os.path.normpath(os.path.join(folder, path))
            (trace.linked if pid in linkers else trace.read)[named] = real
    return trace


def split_dependencies(text):
    """Returns the alternatives of each dependency of a `Depends` line, without versions."""
    return tuple(tuple(re.sub(r"[ :(].*", "", name.strip()) for name in one.split("|"))
                 for one in text.split(",") if one.strip())


def installed_packages():
    form = "${Package}\t${source:Package}\t${Provides}\t${Pre-Depends}\t${Depends}\t${Essential}\t${Status}\n"
    output = subprocess.run(["dpkg-query", "-W", "-f", form], check=True, text=True,
                            capture_output=True).stdout
    packages = []
    for line in output.splitlines():
        name, source, provides, pre, depends, essential, status = line.split("\t")
        if status.endswith(" installed"):
            packages.append(Package(name, source,
                                    tuple(p[0] for p in split_dependencies(provides)),
                                    split_dependencies(pre) + split_dependencies(depends),
                                    essential == "yes"))
    return packages


def closure(names, packages):
    """Returns names and all packages that they depend on, taking the first installed alternative."""
    providers = {}
    for package in packages:
        providers.setdefault(package.name, []).insert(0, package)
        for name in package.provides:
            providers.setdefault(name, []).append(package)
    found, waiting = set(), list(names)
    while waiting:
        package = next(iter(providers.get(waiting.pop(), [])), None)
        if package is None or package.name in found:
            continue
        found.add(package.name)
        for alternatives in package.depends:
            waiting += [name for name in alternatives if name in providers][:1]
    return found


def owners(paths):
    """Maps each path to the package that owns it, or else its real path; others are left out."""
    found = owners_as_named({*paths, *paths.values()})
    named = {path: found.get(path, found.get(real)) for path, real in paths.items()}
    return {path: package for path, package in named.items() if package}


def owners_as_named(paths):
    spellings = {}  # path as dpkg may have it -> the given paths that it stands for
    for path in paths:
        spellings.setdefault(path, set()).add(path)
        if path.startswith(("/usr/lib", "/usr/bin", "/usr/sbin")):
            spellings.setdefault(path.removeprefix("/usr"), set()).add(path)
        elif path.startswith(("/lib", "/bin", "/sbin")):
            spellings.setdefault("/usr" + path, set()).add(path)
    found = {}
    names = sorted(spellings)
    for start in range(0, len(names), 200):
        output = subprocess.run(["dpkg", "-S", "--", *names[start:start + 200]], check=False,
                                text=True, capture_output=True).stdout
        for line in output.splitlines():
            package, _, path = line.partition(": ")
            if path in spellings and not package.startswith("diversion "):
                found.update(dict.fromkeys(spellings[path], package.split(",")[0].split(":")[0]))
    return found


def included_headers(sources, read):
    """Returns the files among `read` that the sources include by an #include <...> line."""
    names = set()
    for source in sources:
        text = source.read_text(encoding="utf-8")
        names.update(re.findall(r"^\s*#\s*include\s*<([^>]+)>", text, re.MULTILINE))
    return {path for path in read if any(path.endswith("/" + name) for name in names)}


def problems(trace, direct, owner, listed, packages, folder):
    """Returns a line for each broken rule. direct: files that need a listed package."""
    essential = closure([p.name for p in packages if p.essential], packages)
    sources = {p.source for p in packages if p.name in listed}
    reachable = essential | closure([COMPILER, *listed], packages)
    named = essential | closure([COMPILER], packages) | {
        p.name for p in packages if p.name in listed or p.name in reachable and p.source in sources}
    missing = sorted(set(listed) - {p.name for p in packages})
    lines = [f"package {name} is listed but not installed" for name in missing]
    for path in sorted({**trace.read, **trace.linked, **trace.executed}):
        if path.startswith(MACHINE_PATHS) or path.startswith(folder + "/"):
            continue
        package = owner.get(path)
        if package is None:
            lines.append(f"{path} belongs to no package")
        elif package not in (named if path in direct else reachable):
            lines.append(f"{path} is from {package}, which is not listed")
    for path in sorted(trace.written):
        scratch = path.startswith(SCRATCH_PATHS) and not path.startswith(folder + "/")
        if not scratch and not path.startswith(f"{folder}/target/"):
            lines.append(f"{path} was written, outside target/")
    return lines + [f"the network was used: {call}" for call in sorted(trace.contacted)]


def copy_without_tests(target):
    files = subprocess.run(["git", "ls-files", "--cached", "--others", "--exclude-standard"],
                           cwd=ROOT, check=True, text=True, capture_output=True).stdout
    for name in files.splitlines():
        if TEST_PATHS.search(name) or not (ROOT / name).is_file():
            continue
        (target / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / name, target / name)


def unprivileged_user(folder):
    """Returns arguments of subprocess.run that drop root, and gives the folder to that user."""
    if os.getuid() != 0:
        return {}
    nobody = pwd.getpwnam("nobody")
    for path in (folder, *folder.rglob("*")):
        os.chown(path, nobody.pw_uid, nobody.pw_gid)
    return {"user": nobody.pw_uid, "group": nobody.pw_gid, "extra_groups": []}


def run_traced(command, work, source):
    """Runs the command in source and returns its Trace. Files of its own go to work."""
    log = work / "trace"
    environment = {"PATH": os.environ["PATH"], "HOME": str(work), "LANG": "C.UTF-8"}
    strace = ["strace", "-f", "-y", "-qq", "--seccomp-bpf", "-s", "4096", "-o", str(log),
              "-e", "trace=open,openat,openat2,execve,connect", "-e", "status=successful,failed"]
    try:
        done = subprocess.run([*strace, "sh", "-c", command], cwd=source, env=environment,
                              stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
                              stderr=subprocess.STDOUT, text=True, check=False,
                              timeout=BUILD_TIMEOUT_S, **unprivileged_user(work))
    except (OSError, subprocess.TimeoutExpired) as error:
        raise CheckError(f"build could not be traced: {error}") from error
    if done.returncode != 0:
        raise CheckError(f"build ended with {done.returncode}:\n{done.stdout[-4000:]}")
    with open(log, encoding="utf-8", errors="replace") as lines:
        return parse_trace(lines)


def print_list(trace, owner, listed):
    used = {}
    for path, package in owner.items():
        used.setdefault(package, []).append(path)
    for package in sorted(used):
        note = " (listed)" if package in listed else ""
        print(f"{package}{note}: {len(used[package])} files")
        for path in sorted(used[package]):
            kind = ("linked" if path in trace.linked
                    else "executed" if path in trace.executed else "read")
            print(f"    {kind:8} {path}")


def check(show_list):
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    listed = deploy["packages"]
    with tempfile.TemporaryDirectory() as name:
        work = pathlib.Path(os.path.realpath(name))
        source = work / "source"
        source.mkdir()
        copy_without_tests(source)
        trace = run_traced(deploy["build"], work, source)
        sources = [path for path in map(pathlib.Path, trace.read) if path.is_file()
                   and path.is_relative_to(source) and path.suffix in (".h", ".cpp")
                   and not path.is_relative_to(source / "target")]
        direct = included_headers(sources, trace.read) | set(trace.linked) | set(trace.executed)
        owner = owners({**trace.read, **trace.linked, **trace.executed})
        found = problems(trace, direct, owner, listed, installed_packages(), str(source))
    if show_list:
        print_list(trace, owner, listed)
    unused = sorted(set(listed) - set(owner.values()) - {COMPILER})
    if unused:
        print(f"build_packages: listed, of no file used: {' '.join(unused)}")
    for line in found:
        print(f"build_packages: {line}")
    print(f"build_packages: {len(set(owner.values()))} packages used, {len(found)} problems")
    return 1 if found else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--list", action="store_true", help="print the packages and files used")
    try:
        return check(parser.parse_args().list)
    except CheckError as error:
        print(f"build_packages: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
