//! Tests that operators can replace the upstream endpoints while calls are in flight, and of the endpoint table.

mod helper;

use helper::*;
use ochrewalk_lab::ledger::{Act, Ledger};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const IDLE: Duration = Duration::from_secs(30);

/// An upstream that holds each call until its action is set, and then performs that action.
struct ControlledUpstream {
    ledger: Ledger,
    act: Arc<(Mutex<Option<Act>>, Condvar)>,
}

impl ControlledUpstream {
    fn start() -> ControlledUpstream {
        let act: Arc<(Mutex<Option<Act>>, Condvar)> = Arc::default();
        let shared = act.clone();
        let ledger = Ledger::start("127.0.0.26:0".parse().unwrap(), IDLE, move |_| {
            let mut act = shared.0.lock().unwrap();
            while act.is_none() {
                act = shared.1.wait(act).unwrap();
            }
            act.clone().unwrap()
        });
        ControlledUpstream { ledger: ledger.unwrap(), act }
    }

    fn set_action(&self, act: Act) {
        *self.act.0.lock().unwrap() = Some(act);
        self.act.1.notify_all();
    }
}

fn status_socket() -> PathBuf {
    file("").with_extension("sock")
}

fn operators_file(status: &Path, upstream: &ControlledUpstream) -> String {
    format!(
        "below ajp {}\nbelow uri /a\nbelow reply 5s\nbelow status {}\n",
        upstream.ledger.at,
        status.display()
    )
}

/// Polls the endpoint table until one of its lines contains all of these words, and returns it.
fn wait_for_table(status: &Path, words: &[&str]) -> String {
    let mut table = String::new();
    for _ in 0..1_000 {
        let output = program(&["places", "--control", status.to_str().unwrap()]).output().unwrap();
        table = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        if table.lines().any(|line| words.iter().all(|word| line.contains(word))) {
            return table;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("no line with {words:?}: {table}");
}

#[test]
fn new_endpoints_take_new_calls_and_calls_in_flight_finish_where_they_are() {
    // The reply arrives, or the connection closes without one; then the call may have run, and is not repeated.
    for (act, code) in [(Act::good(b"A"), "RETURN"), (Act::Cut(0), "aborted")] {
        let (before, after, status) =
            (ControlledUpstream::start(), ControlledUpstream::start(), status_socket());
        let (stand, mut executor, mut caller) = Stand::up_with(|_| (), &operators_file(&status, &before));
        caller.say(&rpc(2, "once"));
        executor.hear_of(&exec(2, "once"));
        executor.say(&callout(1, 2));
        let (old, new) = (before.ledger.at.to_string(), after.ledger.at.to_string());
        wait_for_table(&status, &[&old, " in ", " 1 "]);
        std::fs::write(&stand.operators, operators_file(&status, &after)).unwrap();
        stand.signal("-HUP");
        let shown = wait_for_table(&status, &[&old, " leaving ", " 1 "]);
        assert!(shown.contains(&new), "{shown}");
        after.set_action(Act::good(b"B"));
        caller.say(&rpc(3, "once"));
        executor.hear_of(&exec(3, "once"));
        executor.say(&callout(2, 3));
        executor.hear_of("RETURN");
        executor.say(&exit(3, 3, "complete"));
        assert!(caller.hear().contains(r#""id":3,"result""#));
        before.set_action(act);
        if code == "RETURN" {
            assert!(executor.hear_of("RETURN").contains(&req(2)));
            executor.say(&exit(4, 2, "complete"));
            assert!(caller.hear().contains(r#""id":2,"result""#));
        } else {
            assert!(caller.hear().contains(r#""id":2,"error""#));
        }
        let shown = wait_for_table(&status, &[&new, " 1"]);
        assert!(!shown.contains(&old), "{shown}");
        assert_eq!((before.ledger.ran().len(), after.ledger.ran().len()), (1, 1), "{code}");
    }
}

#[test]
fn the_table_states_which_endpoint_is_ejected_and_why() {
    let (reachable, status) = (ControlledUpstream::start(), status_socket());
    let unreachable = ochrewalk_lab::node::unused_address().unwrap();
    let more = format!(
        "{}below ajp {unreachable}\nbelow leave-out 1\nbelow pause 1m 1m\n",
        operators_file(&status, &reachable)
    );
    let (_stand, mut executor, mut caller) = Stand::up_with(|_| (), &more);
    reachable.set_action(Act::good(b"A"));
    for number in 2..6 {
        caller.say(&rpc(number, "once"));
        executor.hear_of(&exec(number, "once"));
        executor.say(&callout(2 * number, number));
        executor.hear_of("RETURN");
        executor.say(&exit(2 * number + 1, number, "complete"));
        assert!(caller.hear().contains(&format!(r#""id":{number},"result""#)));
    }
    wait_for_table(&status, &[&unreachable.to_string(), " out ", "could not be reached"]);
    let output = program(&["places", "--control", "/nowhere/at/all"]).output().unwrap();
    assert!(!output.status.success());
    // Only the owner of the socket may connect.
    let mode = std::os::unix::fs::PermissionsExt::mode(&std::fs::metadata(&status).unwrap().permissions());
    assert_eq!(mode & 0o777, 0o600);
}

#[test]
fn rejections_carry_a_longer_holdoff_while_no_endpoint_takes_calls() {
    // The holdoff is the deployment's maximum, as the only endpoint is ejected for a minute.
    for (is_unreachable, has_long_holdoff) in [(true, true), (false, false)] {
        let upstream = ControlledUpstream::start();
        let at =
            if is_unreachable { ochrewalk_lab::node::unused_address().unwrap() } else { upstream.ledger.at };
        let status = status_socket();
        let operators = format!(
            "below ajp {at}\nbelow leave-out 1\nbelow pause 1m 1m\nbelow status {}\n",
            status.display()
        );
        let short_deadlines = |config: &mut serde_json::Value| {
            for method in config["settings"]["categories"].as_array_mut().unwrap() {
                method["on-time-ns"] = 700_000_000u64.into();
                method["deadline-ns"] = 1_500_000_000u64.into();
            }
        };
        let (_stand, mut executor, mut caller) = Stand::up_with(short_deadlines, &operators);
        // One call finds the endpoint unreachable; the runs that occupy both cores never end.
        caller.say(&rpc(2, "once"));
        executor.hear_of(&exec(2, "once"));
        executor.say(&callout(1, 2));
        if is_unreachable {
            wait_for_table(&status, &[&at.to_string(), " out "]);
        }
        for number in 3..9 {
            caller.say(&rpc(number, "look"));
        }
        std::thread::spawn(move || executor.hear_out());
        let answer = caller.hear_of("-32011");
        assert_eq!(answer.contains(r#""holdoff":1000"#), has_long_holdoff, "{answer}");
    }
}
