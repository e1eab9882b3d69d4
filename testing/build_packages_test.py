"""Tests of build_packages.py. Usage: build_packages_test.py"""

import unittest
from unittest import mock

from build_packages import (Package, Trace, closure, owners_as_named, parse_trace, problems,
                            split_dependencies)

FOLDER = "/tmp/copy"
PACKAGES = (
    Package("base", depends=(("libc",),), essential=True),
    Package("libc"),
    Package("g++", depends=(("g++-12",),)),
    Package("g++-12", depends=(("libc-headers",),)),
    Package("libc-headers", provides=("libc-api",)),
    Package("libbook-dev", source="book", depends=(("libbook1",), ("libpaper-dev",))),
    Package("libbook1", source="book"),
    Package("libpaper-dev", source="paper"),
    Package("libwood-dev", source="wood"),
)
OWNERS = {
    "/usr/include/stdio.h": "libc-headers",
    "/usr/include/book.h": "libbook-dev",
    "/usr/lib/libbook.so.1": "libbook1",
    "/usr/include/paper.h": "libpaper-dev",
    "/usr/include/wood.h": "libwood-dev",
    "/usr/bin/sh": "base",
}


def same(*paths):
    return {path: path for path in paths}


class OwnersTest(unittest.TestCase):
    def test_two_spellings_of_a_file(self):
        """Guards against a file without an owner when a trace names it below /lib and /usr/lib."""
        spellings = ["/lib/libbook.so.1", "/usr/lib/libbook.so.1"]
        for listed in spellings:
            for paths in (spellings, spellings[::-1]):
                with self.subTest(listed=listed, paths=paths), mock.patch(
                        "subprocess.run", return_value=mock.Mock(stdout=f"libbook1:amd64: {listed}\n")):
                    self.assertEqual(owners_as_named(paths), dict.fromkeys(spellings, "libbook1"))


class ParseTraceTest(unittest.TestCase):
    def test_calls(self):
        """Guards against a file, program or address that is used but not seen."""
        link = "1 openat(AT_FDCWD</c>, "
        trace = parse_trace([
            '1 openat(AT_FDCWD</c>, "a.h", O_RDONLY|O_NOCTTY) = 3</c/a.h>',
            '1 openat(AT_FDCWD</c>, "/usr/lib/x/../b.h", O_RDONLY) = 3</usr/lib/b.h>',
            '1 openat(AT_FDCWD</c>, "/usr", O_RDONLY|O_DIRECTORY) = 3</usr>',
            '1 openat(AT_FDCWD</c>, "out", O_WRONLY|O_CREAT, 0666) = 4</c/out>',
            '2 execve("/none/ccache", ["ccache"], 0x1 /* 9 vars */) = 0',
            '1 connect(5<TCP:[1]>, {sa_family=AF_INET, sin_port=htons(80)}, 16) = 0',
            '1 connect(6<TCP:[2]>, {sa_family=AF_INET6, sin6_port=htons(443)}, 28) = -1 '
            "EINPROGRESS (Operation now in progress)",
            '1 connect(7<UNIX:[3]>, {sa_family=AF_UNIX, sun_path="/x"}, 110) = -1 ENOENT (No such)',
            '3 execve("/none/gone", ["gone"], 0x1 /* 9 vars */) = -1 ENOENT (No such file)',
            '3 openat(AT_FDCWD</c>, "gone.h", O_RDONLY) = -1 ENOENT (No such file)',
            '1 execve("/usr/bin/ld.lld", ["ld.lld"], 0x1 /* 9 vars */) = 0',
            link + '"/lib/libLLVM.so.1", O_RDONLY) = 3</lib/libLLVM.so.1>',
            link + '"/lib/crt1.o", O_RDONLY) = 3</lib/crt1.o>',
            link + '"/lib/libbook.so", O_RDONLY) = 3</lib/libbook.so.1>',
            "2 +++ exited with 0 +++",
        ])
        self.assertEqual(trace.read, {"/c/a.h": "/c/a.h", "/usr/lib/b.h": "/usr/lib/b.h",
                                      "/lib/libLLVM.so.1": "/lib/libLLVM.so.1"})
        self.assertEqual(trace.linked, {"/lib/crt1.o": "/lib/crt1.o",
                                        "/lib/libbook.so": "/lib/libbook.so.1"})
        self.assertEqual(set(trace.executed), {"/none/ccache", "/usr/bin/ld.lld"})
        self.assertEqual(trace.written, {"/c/out"})
        self.assertEqual(len(trace.contacted), 2)


class ClosureTest(unittest.TestCase):
    def test_split_dependencies(self):
        cases = [
            ("", ()),
            ("libc6 (>= 2.36), gcc:any", (("libc6",), ("gcc",))),
            ("debconf (>= 0.5) | debconf-2.0", (("debconf", "debconf-2.0"),)),
        ]
        for text, expected in cases:
            with self.subTest(text):
                self.assertEqual(split_dependencies(text), expected)

    def test_closure(self):
        packages = (Package("a", depends=(("b", "c"), ("virtual",), ("gone",))), Package("b"),
                    Package("c"), Package("d", provides=("virtual",)))
        self.assertEqual(closure(["a"], packages), {"a", "b", "d"})


class ProblemsTest(unittest.TestCase):
    def check(self, trace, direct=(), listed=("libbook-dev",)):
        return problems(trace, set(direct), OWNERS, listed, PACKAGES, FOLDER)

    def test_listed_packages_pass(self):
        trace = Trace(read=same("/usr/include/stdio.h", "/usr/include/book.h",
                                "/usr/include/paper.h", "/proc/cpuinfo", FOLDER + "/a.cpp"),
                      linked=same("/usr/lib/libbook.so.1"), executed=same("/usr/bin/sh"),
                      written={FOLDER + "/target/a.o", "/tmp/ccXX.s", "/dev/null"})
        direct = ["/usr/include/stdio.h", "/usr/include/book.h", "/usr/lib/libbook.so.1"]
        self.assertEqual(self.check(trace, direct), [])

    def test_each_broken_rule_is_reported(self):
        """Guards against a package that is installed here, but not on a clean machine."""
        cases = [
            ("not listed", Trace(read=same("/usr/include/wood.h")), (), "libwood-dev"),
            ("dependency that is included", Trace(read=same("/usr/include/paper.h")),
             ["/usr/include/paper.h"], "libpaper-dev"),
            ("dependency that is linked", Trace(linked=same("/usr/include/paper.h")),
             ["/usr/include/paper.h"], "libpaper-dev"),
            ("no package", Trace(read=same("/usr/local/include/x.h")), (), "no package"),
            ("outside target", Trace(written={FOLDER + "/a.o"}), (), "outside target/"),
            ("network", Trace(contacted={"AF_INET"}), (), "network"),
        ]
        for name, trace, direct, expected in cases:
            with self.subTest(name):
                found = self.check(trace, direct)
                self.assertEqual(len(found), 1)
                self.assertIn(expected, found[0])

    def test_listed_package_that_does_not_exist(self):
        found = self.check(Trace(), listed=("libbook-dev", "libmissing-dev"))
        self.assertEqual(found, ["package libmissing-dev is listed but not installed"])


if __name__ == "__main__":
    unittest.main()
