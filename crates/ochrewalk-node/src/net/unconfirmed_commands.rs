//! Decides what becomes of the commands that were written to the executor on a connection that broke before the executor
//! confirmed them, so that it is unknown whether the executor has read them. Does no I/O.
//!
//! Some commands have the same effect however often the executor reads them. They are written again on the next connection.
//!
//! Two commands must not be repeated blindly: the start of a run that must not happen twice, and the reply to an upstream
//! call, which names no call, so that a run that has read it would take a repeat for the reply to its next call. They are
//! repeated only after a proof that the run has not moved on. Where runs can be paused, the node pauses the run. A gauge
//! reply that follows the pause, with no notice of the run before it, proves that the run is paused, still waits for its
//! call, or has never started, and that it remains so. The command then starts the run or ends its wait, or has no effect,
//! and the run is resumed.
//!
//! Where runs cannot be paused there is no such proof, and these commands are not repeated: a run that lost its reply ends
//! with its request.

use crate::wire::notices;
use ochrewalk::host::RpcId;

/// The properties of a run that decide whether its commands may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunProperties {
    /// Whether the run may start twice.
    pub is_repeatable: bool,
    /// Whether the node has begun to stop the run, so that it must not be resumed.
    pub is_stopping: bool,
}

/// The condition under which an unconfirmed command is written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repetition {
    /// The command has the same effect however often it is read.
    Always,
    /// The command is repeated once its run is paused.
    WhilePaused,
    /// The sender of the command repeats it.
    Never,
}

/// The commands whose connection broke before they were confirmed, and the runs that are paused for a proof.
#[derive(Debug, Default)]
pub struct UnconfirmedCommands {
    lines: Vec<Vec<u8>>,
    /// The tag of the last gauge request before the proof. The reply to any later request completes the proof.
    last_tag: u64,
    paused: Vec<RpcId>,
}

impl UnconfirmedCommands {
    /// Restores the commands that another process has recorded.
    pub fn resume(lines: Vec<Vec<u8>>, last_tag: u64, paused: Vec<RpcId>) -> UnconfirmedCommands {
        UnconfirmedCommands { lines, last_tag, paused }
    }

    /// Returns the commands as written, in order.
    pub fn lines(&self) -> &[Vec<u8>] {
        &self.lines
    }

    /// Returns the tag of the last gauge request before the proof.
    pub fn last_tag(&self) -> u64 {
        self.last_tag
    }

    /// Returns the runs that are paused for a proof.
    pub fn paused(&self) -> &[RpcId] {
        &self.paused
    }

    /// Adds the commands of a connection that broke.
    pub fn extend(&mut self, lines: impl IntoIterator<Item = Vec<u8>>) {
        self.lines.extend(lines);
    }

    /// Removes the commands of a run that has asked for an upstream call: the run has continued, so the executor has read
    /// them.
    pub fn run_continued(&mut self, id: &str) {
        self.lines.retain(|line| notices::action_and_run(line).is_none_or(|(_, run)| run != id));
    }

    /// Whether the run is paused for a proof.
    pub fn is_paused(&self, id: &str) -> bool {
        self.paused.iter().any(|paused| **paused == *id)
    }

    /// Begins the proof on a new connection and returns the runs to pause. `last_tag` is the tag of the last gauge request
    /// so far. `run` returns the id and the properties of a run that has not ended.
    pub fn begin_proof(
        &mut self,
        last_tag: u64,
        can_pause: bool,
        run: impl Fn(&str) -> Option<(RpcId, RunProperties)>,
    ) -> Vec<RpcId> {
        self.last_tag = last_tag;
        self.lines.retain(|line| {
            notices::action_and_run(line)
                .is_some_and(|(action, _)| repetition(action, false) != Repetition::Never)
        });
        if !can_pause {
            return Vec::new();
        }
        // A run that an earlier proof has paused is paused again, as the proof was not completed.
        let mut to_pause: Vec<RpcId> = self.paused.drain(..).filter(|id| run(id).is_some()).collect();
        for (action, uid) in self.lines.iter().filter_map(|line| notices::action_and_run(line)) {
            let Some((id, properties)) = run(uid) else { continue };
            let needs_proof = repetition(action, properties.is_repeatable) == Repetition::WhilePaused;
            if needs_proof && !to_pause.contains(&id) {
                to_pause.push(id);
            }
        }
        self.paused = to_pause.clone();
        to_pause
    }

    /// Returns the commands to write next, where the gauge reply with this tag completes the proof: those to repeat, then
    /// those that resume the paused runs.
    pub fn complete_proof(
        &mut self,
        tag: u64,
        run: impl Fn(&str) -> Option<(RpcId, RunProperties)>,
    ) -> Vec<Vec<u8>> {
        if tag <= self.last_tag {
            return Vec::new();
        }
        let paused = std::mem::take(&mut self.paused);
        let may_repeat = |line: &Vec<u8>| {
            let Some((action, uid)) = notices::action_and_run(line) else { return false };
            run(uid).is_some_and(|(id, properties)| match repetition(action, properties.is_repeatable) {
                Repetition::Always => true,
                Repetition::WhilePaused => paused.contains(&id),
                Repetition::Never => false,
            })
        };
        let mut commands: Vec<Vec<u8>> =
            std::mem::take(&mut self.lines).into_iter().filter(may_repeat).collect();
        let resumed =
            paused.iter().filter(|id| run(id).is_some_and(|(_, properties)| !properties.is_stopping));
        commands.extend(resumed.map(|id| notices::wake(id)));
        commands
    }
}

fn repetition(action: &str, is_repeatable: bool) -> Repetition {
    match action {
        "EXEC" if is_repeatable => Repetition::Always,
        "EXEC" | "RETURN" => Repetition::WhilePaused,
        "KILL" => Repetition::Never,
        // `BYPASS` names the notice that asked for the call. `WAKE` has no effect on a run that is not paused.
        _ => Repetition::Always,
    }
}
