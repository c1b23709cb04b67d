//! Tests which commands are written again after the executor's link broke before it confirmed them.

use ochrewalk::host::RpcId;
use ochrewalk_node::net::unconfirmed_commands::{RunProperties, UnconfirmedCommands};
use ochrewalk_node::wire::notices::{bypass, exec, kill, return_reply, wake};

const LAST_TAG: u64 = 7;

/// The run `free` may start twice, `once` must not, `left` must not and is being stopped. Any other run has ended.
fn run(id: &str) -> Option<(RpcId, RunProperties)> {
    let properties = match id {
        "free" => RunProperties { is_repeatable: true, is_stopping: false },
        "once" => RunProperties { is_repeatable: false, is_stopping: false },
        "left" => RunProperties { is_repeatable: false, is_stopping: true },
        _ => return None,
    };
    Some((id.into(), properties))
}

fn ids(ids: &[&str]) -> Vec<RpcId> {
    ids.iter().map(|id| (*id).into()).collect()
}

/// Returns the commands that are written again where the executor can pause runs, or where it cannot.
fn repeated(can_pause: bool, lines: &[Vec<u8>]) -> (Vec<RpcId>, Vec<Vec<u8>>) {
    let mut commands = UnconfirmedCommands::default();
    commands.extend(lines.iter().cloned());
    let paused = commands.begin_proof(LAST_TAG, can_pause, run);
    assert!(commands.complete_proof(LAST_TAG, run).is_empty(), "an earlier gauge request proves nothing");
    (paused, commands.complete_proof(LAST_TAG + 1, run))
}

#[test]
fn starts_that_must_not_happen_twice_and_replies_are_repeated_while_their_runs_are_paused() {
    let lines = [
        exec("free", "\"look\"", "\"\""),
        exec("once", "\"once\"", "\"\""),
        return_reply("free", "QQ=="),
        bypass("free", 3),
        kill("once"),
        return_reply("ended", "QQ=="),
    ];
    let (paused, commands) = repeated(true, &lines);
    assert_eq!(paused, ids(&["once", "free"]));
    let resumed = [wake("once"), wake("free")];
    assert_eq!(commands, [&lines[..4], &resumed].concat());
    let (paused, commands) = repeated(false, &lines);
    assert_eq!(paused, ids(&[]));
    assert_eq!(commands, [lines[0].clone(), lines[3].clone()]);
}

/// Guards against a run without a client that is resumed by a proof while the node stops it.
#[test]
fn a_run_that_is_being_stopped_is_not_resumed() {
    let reply = return_reply("left", "QQ==");
    let (paused, commands) = repeated(true, std::slice::from_ref(&reply));
    assert_eq!((paused, commands), (ids(&["left"]), vec![reply]));
}

/// Guards against a run that stays paused for good where the link breaks again during the proof.
#[test]
fn a_proof_that_the_next_break_interrupts_begins_again() {
    let reply = return_reply("free", "QQ==");
    let mut commands = UnconfirmedCommands::default();
    commands.extend([reply.clone()]);
    commands.begin_proof(LAST_TAG, true, run);
    // The run has asked for its next call, and the executor may have paused it before or after that.
    commands.run_continued("free");
    commands.extend([kill("free")]);
    assert_eq!(commands.begin_proof(LAST_TAG + 5, true, run), ids(&["free"]));
    assert!(commands.complete_proof(LAST_TAG + 5, run).is_empty());
    assert_eq!(commands.complete_proof(LAST_TAG + 6, run), [wake("free")]);
}
