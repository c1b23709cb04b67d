//! Places below as operators change and see them: a new list while calls are under way, and the table.

mod helper;

use helper::*;
use ochrewalk_lab::ledger::{Act, Ledger};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const IDLE: Duration = Duration::from_secs(30);

/// A ledger that does with each call what is said, once that is said.
struct Told {
    ledger: Ledger,
    act: Arc<(Mutex<Option<Act>>, Condvar)>,
}

impl Told {
    fn start() -> Told {
        let act: Arc<(Mutex<Option<Act>>, Condvar)> = Arc::default();
        let of = act.clone();
        let ledger = Ledger::start("127.0.0.26:0".parse().unwrap(), IDLE, move |_| {
            let mut act = of.0.lock().unwrap();
            while act.is_none() {
                act = of.1.wait(act).unwrap();
            }
            act.clone().unwrap()
        });
        Told { ledger: ledger.unwrap(), act }
    }

    fn say(&self, act: Act) {
        *self.act.0.lock().unwrap() = Some(act);
        self.act.1.notify_all();
    }
}

fn status() -> PathBuf {
    file("").with_extension("sock")
}

fn operators(status: &Path, place: &Told) -> String {
    format!(
        "below ajp {}\nbelow uri /a\nbelow reply 5s\nbelow status {}\n",
        place.ledger.at,
        status.display()
    )
}

/// The table, until a line of it has all of these words.
fn table(status: &Path, words: &[&str]) -> String {
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
fn a_new_list_takes_new_calls_and_those_under_way_end_where_they_are() {
    // The answer comes, or the connection ends without one: the call may have run, and is written nowhere else.
    for (act, code) in [(Act::good(b"A"), "RETURN"), (Act::Cut(0), "aborted")] {
        let (before, after, status) = (Told::start(), Told::start(), status());
        let (stand, mut executor, mut caller) = Stand::up_with(|_| (), &operators(&status, &before));
        caller.say(&rpc(2, "once"));
        executor.hear_of(&exec(2, "once"));
        executor.say(&callout(1, 2));
        let (old, new) = (before.ledger.at.to_string(), after.ledger.at.to_string());
        table(&status, &[&old, " in ", " 1 "]);
        std::fs::write(&stand.operators, operators(&status, &after)).unwrap();
        stand.signal("-HUP");
        let shown = table(&status, &[&old, " leaving ", " 1 "]);
        assert!(shown.contains(&new), "{shown}");
        after.say(Act::good(b"B"));
        caller.say(&rpc(3, "once"));
        executor.hear_of(&exec(3, "once"));
        executor.say(&callout(2, 3));
        executor.hear_of("RETURN");
        executor.say(&exit(3, 3, "complete"));
        assert!(caller.hear().contains(r#""id":3,"result""#));
        before.say(act);
        if code == "RETURN" {
            assert!(executor.hear_of("RETURN").contains(&req(2)));
            executor.say(&exit(4, 2, "complete"));
            assert!(caller.hear().contains(r#""id":2,"result""#));
        } else {
            assert!(caller.hear().contains(r#""id":2,"error""#));
        }
        let shown = table(&status, &[&new, " 1"]);
        assert!(!shown.contains(&old), "{shown}");
        assert_eq!((before.ledger.ran().len(), after.ledger.ran().len()), (1, 1), "{code}");
    }
}

#[test]
fn the_table_says_which_place_is_out_and_why() {
    let (here, status) = (Told::start(), status());
    let nowhere = ochrewalk_lab::node::unused_address().unwrap();
    let more =
        format!("{}below ajp {nowhere}\nbelow leave-out 1\nbelow pause 1m 1m\n", operators(&status, &here));
    let (_stand, mut executor, mut caller) = Stand::up_with(|_| (), &more);
    here.say(Act::good(b"A"));
    for number in 2..6 {
        caller.say(&rpc(number, "once"));
        executor.hear_of(&exec(number, "once"));
        executor.say(&callout(2 * number, number));
        executor.hear_of("RETURN");
        executor.say(&exit(2 * number + 1, number, "complete"));
        assert!(caller.hear().contains(&format!(r#""id":{number},"result""#)));
    }
    table(&status, &[&nowhere.to_string(), " out ", "could not be reached"]);
    let output = program(&["places", "--control", "/nowhere/at/all"]).output().unwrap();
    assert!(!output.status.success());
    // Nobody but the owner may even connect.
    let mode = std::os::unix::fs::PermissionsExt::mode(&std::fs::metadata(&status).unwrap().permissions());
    assert_eq!(mode & 0o777, 0o600);
}

#[test]
fn who_is_pushed_back_while_nothing_below_takes_calls_is_told_to_stay_away_for_longer() {
    // The longest time that the deployment lets be told, as the only place is out for a minute.
    for (nothing_there, told) in [(true, true), (false, false)] {
        let here = Told::start();
        let at = if nothing_there { ochrewalk_lab::node::unused_address().unwrap() } else { here.ledger.at };
        let status = status();
        let operators = format!(
            "below ajp {at}\nbelow leave-out 1\nbelow pause 1m 1m\nbelow status {}\n",
            status.display()
        );
        let short = |config: &mut serde_json::Value| {
            for method in config["settings"]["categories"].as_array_mut().unwrap() {
                method["on-time-ns"] = 700_000_000u64.into();
                method["deadline-ns"] = 1_500_000_000u64.into();
            }
        };
        let (_stand, mut executor, mut caller) = Stand::up_with(short, &operators);
        // One finds that nobody is there; those that take both cores never end.
        caller.say(&rpc(2, "once"));
        executor.hear_of(&exec(2, "once"));
        executor.say(&callout(1, 2));
        if nothing_there {
            table(&status, &[&at.to_string(), " out "]);
        }
        for number in 3..9 {
            caller.say(&rpc(number, "look"));
        }
        std::thread::spawn(move || executor.hear_out());
        let answer = caller.hear_of("-32011");
        assert_eq!(answer.contains(r#""holdoff":1000"#), told, "{answer}");
    }
}
