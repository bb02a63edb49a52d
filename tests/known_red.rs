//! The check of the list of known failures that `.ci/run` passes over.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A list of known failures and what the check makes of it.
struct Case {
    name: &'static str,
    list: &'static str,
    /// The tests that are passed over; `None` if the check fails.
    passed_over: Option<&'static str>,
}

const TESTS: &str = "module::first\nmodule::second\nthird\nfourth\n";

const CASES: [Case; 11] = [
    Case {
        name: "empty list",
        list: "",
        passed_over: Some(""),
    },
    Case {
        name: "test in a module",
        list: "module::first: seen once: refused, issue 44\n",
        passed_over: Some("module::first\n"),
    },
    Case {
        name: "script, not run as a test",
        list: ".ci/run: `.ci/run`, no seed, 5 of 5 runs, issue 44\n",
        passed_over: Some(""),
    },
    Case {
        name: "test and script, the last line without an end",
        list: "third: cause, issue 7\n\n.ci/run: cause, issue 44",
        passed_over: Some("third\n"),
    },
    Case {
        name: "three tests and a script",
        list: "third: c, issue 7\nfourth: c, issue 7\n.ci/run: c, issue 7\nmodule::first: c, issue 7\n",
        passed_over: Some("third\nfourth\nmodule::first\n"),
    },
    Case {
        name: "four tests",
        list: "third: c, issue 7\nfourth: c, issue 7\nmodule::first: c, issue 7\nmodule::second: c, issue 7\n",
        passed_over: None,
    },
    Case {
        name: "part of a test's name",
        list: "module::fir: cause, issue 7\n",
        passed_over: None,
    },
    Case {
        name: "no such script",
        list: ".ci/no-such-script: cause, issue 7\n",
        passed_over: None,
    },
    Case {
        name: "file that is no script",
        list: "Cargo.toml: cause, issue 7\n",
        passed_over: None,
    },
    Case {
        name: "script outside the repository",
        list: "/bin/sh: cause, issue 7\n",
        passed_over: None,
    },
    Case {
        name: "no issue",
        list: "third: cause\n",
        passed_over: None,
    },
];

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path
}

fn check(list: &Path, tests: &Path) -> Output {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let output = Command::new(script).arg(list).arg(tests).output();
    output.expect("the check runs")
}

/// Guards against failures that CI passes over although the list names nothing that exists, or no issue.
#[test]
fn only_tests_and_scripts_with_an_issue_are_passed_over() {
    let tests = write_file("known_red_tests.txt", TESTS);
    for Case {
        name,
        list,
        passed_over,
    } in CASES
    {
        let list_file = write_file("known_red_list.txt", list);
        let output = check(&list_file, &tests);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.success(),
            passed_over.is_some(),
            "{name}: {stderr}"
        );
        if let Some(expected) = passed_over {
            assert_eq!(String::from_utf8_lossy(&output.stdout), expected, "{name}");
            for line in list.lines().filter(|line| !line.is_empty()) {
                assert!(stderr.contains(line), "{name}: not printed: {line}");
            }
        }
    }
}
