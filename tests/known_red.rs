//! Tests of `.ci/test` with a fake cargo: the verdict on a test run follows from its output and from the known failures
//! that `KNOWN-RED.txt` lists.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

const ONE: &str = "     Running tests/one.rs (target/debug/deps/one-0123)\n";
const TWO: &str = "   Doc-tests one\n";
const END: &str = "test result: over\n";

/// Runs the script with a cargo that prints `prints` and exits with `status`. Returns whether the script passes, and
/// its output.
fn played(known: Option<&str>, prints: &str, status: i32) -> (bool, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let root: PathBuf = std::env::temp_dir().join(format!("known-red-{}-{number}", std::process::id()));
    fs::create_dir_all(root.join("bin")).unwrap();
    fs::write(root.join("printed"), prints).unwrap();
    let cargo = root.join("bin/cargo");
    // The fake cargo prints its arguments first, so that a test can check them.
    fs::write(&cargo, format!("#!/bin/sh\necho \"asked: $*\"\ncat printed\nexit {status}\n")).unwrap();
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).unwrap();
    if let Some(known) = known {
        fs::write(root.join("KNOWN-RED.txt"), known).unwrap();
    }
    let path = format!("{}:{}", root.join("bin").display(), std::env::var("PATH").unwrap());
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/test");
    let out = Command::new("bash").arg(script).current_dir(&root).env("PATH", path).output().unwrap();
    fs::remove_dir_all(&root).unwrap();
    (out.status.success(), String::from_utf8(out.stdout).unwrap())
}

fn tests(lines: &[&str]) -> String {
    ONE.to_string() + &lines.concat() + END + TWO + END
}

const GOOD: &str = "test good ... ok\n";
const BAD: &str = "test deep::bad ... FAILED\n";
const OTHER: &str = "test other ... FAILED\n";
const LINE: &str = "deep::bad | the cause, in words | 28\n";

#[test]
fn without_a_list_the_tests_decide_alone() {
    for known in [None, Some(""), Some("\n  \n")] {
        let (passed, printed) = played(known, &tests(&[GOOD]), 0);
        assert!(passed && printed.starts_with("asked: test --workspace --locked\n"), "{printed}");
        assert!(!played(known, &tests(&[GOOD, BAD]), 101).0);
        assert!(!played(known, "", 101).0);
    }
}

#[test]
fn just_the_listed_ones_may_fail_and_they_are_printed() {
    let (passed, printed) = played(Some(LINE), &tests(&[GOOD, BAD]), 101);
    assert!(passed, "{printed}");
    assert!(
        printed.contains("--no-fail-fast") && printed.ends_with(&format!("Known to fail:\n{LINE}")),
        "{printed}"
    );
    // Two of three tests are listed, in any order, one of them with a `#` before the number of the issue.
    let two = format!("other|why|#29\n{LINE}");
    assert!(played(Some(&two), &tests(&[OTHER, GOOD, BAD]), 101).0);
}

#[test]
fn all_else_fails_and_says_why() {
    let three = "a | b | 1\nc | d | 2\ne | f | 3\n";
    for (known, lines, status, why) in [
        (LINE, vec![GOOD, BAD, OTHER], 101, "others failed: other"),
        (LINE, vec![GOOD, "test deep::bad ... ok\n"], 0, "deep::bad passes"),
        (LINE, vec![GOOD, "test deep::bad ... ok\n", OTHER], 101, "deep::bad passes"),
        (LINE, vec![GOOD, "test deep::bad ... ignored\n"], 0, "deep::bad was not run"),
        (LINE, vec![GOOD], 0, "deep::bad names no test"),
        ("bad | why | 28\n", vec![BAD], 101, "bad names no test"),
        (LINE, vec![BAD, BAD], 101, "names more than one test"),
        (LINE, vec![BAD], 0, "no test failed"),
        ("deep::bad\n", vec![BAD], 101, "not TEST | cause | issue"),
        ("deep::bad | 28\n", vec![BAD], 101, "not TEST | cause | issue"),
        ("deep::bad | | 28\n", vec![BAD], 101, "not TEST | cause | issue"),
        ("deep::bad | why | soon\n", vec![BAD], 101, "not TEST | cause | issue"),
        (&(three.to_string() + LINE), vec![BAD], 101, "more than three"),
    ] {
        let (passed, printed) = played(Some(known), &tests(&lines), status);
        assert!(!passed && printed.contains(why), "{known}: {why} wanted, not: {printed}");
    }
}

/// A test program that was killed or does not compile does not count as a listed failure.
#[test]
fn a_program_that_does_not_end_by_itself_fails() {
    for prints in
        ["error: could not compile\n".to_string(), ONE.to_string() + BAD, ONE.to_string() + BAD + END + TWO]
    {
        let (passed, printed) = played(Some(LINE), &prints, 101);
        assert!(!passed && printed.contains("ended by themselves"), "{printed}");
    }
}
