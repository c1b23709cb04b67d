//! The explored state: nodes, controllers, the record, and messages in transit between them.

use ochrewalk_rollout::{
    Command, CommandReply, ControllerActions, ControllerNumber, Fence, FencingToken, NodeReport,
    RolloutController, RolloutPolicy, RolloutRecord, StagePlan, Verdict, Version,
};

pub const NODES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub version: Version,
    /// Whether the node's version reverts automatically unless it is confirmed.
    pub is_unconfirmed: bool,
    pub fence: Fence,
    /// The command that the node is executing.
    pub executing: Option<Command>,
    pub is_healthy: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub nodes: Vec<Node>,
    /// The controllers; `None` for one that is not running.
    pub controllers: Vec<Option<RolloutController>>,
    /// The file in which controllers persist the record.
    pub record: Option<RolloutRecord>,
    /// Commands in transit, with the index of the sending controller and of the node.
    pub commands: Vec<(usize, usize, Command)>,
    pub replies: Vec<(usize, usize, FencingToken, CommandReply)>,
    pub kills: u8,
    pub outages: u8,
    pub losses: u8,
    pub failures: u8,
    pub expirations: u8,
    pub harms: u8,
    pub stucks: u8,
    pub controllers_started: u8,
    /// Whether two tokens of different controllers were executed out of order.
    pub executed_late_command: bool,
    pub last_executed: Vec<FencingToken>,
    pub too_many_unavailable: bool,
}

/// The actions that a controller requests while it handles one event.
pub struct Effects<'a> {
    record: &'a mut Option<RolloutRecord>,
    commands: Vec<(usize, Command)>,
}

impl ControllerActions for Effects<'_> {
    fn persist(&mut self, record: &RolloutRecord) {
        *self.record = Some(record.clone());
    }
    fn send_command(&mut self, node: usize, command: Command) {
        self.commands.push((node, command));
    }
    fn begin_analysis(&mut self, _stage: usize) {}
}

fn stage_plan() -> StagePlan {
    StagePlan::new(vec![0, 0, 1], vec![1, NODES], 1).unwrap()
}

impl World {
    pub fn with(&mut self, at: usize, event: impl FnOnce(&mut RolloutController, &mut Effects)) {
        let Some(mut controller) = self.controllers[at].take() else { return };
        let mut record = self.record.clone();
        let mut effects = Effects { record: &mut record, commands: Vec::new() };
        event(&mut controller, &mut effects);
        let commands = effects.commands;
        // All controllers share one file: a controller that no longer has the highest number may not write
        // it.
        if controller.record().controller
            >= self.record.as_ref().map_or(ControllerNumber::default(), |record| record.controller)
        {
            self.record = record;
        }
        for (node, command) in commands {
            self.commands.push((at, node, command));
        }
        self.commands.sort_by_key(|(at, node, command)| (*at, *node, command.token));
        let pending = controller.pending_commands().count();
        self.too_many_unavailable |= pending > 1;
        self.controllers[at] = Some(controller);
    }

    pub fn controller_begins(&mut self, at: usize, policy: RolloutPolicy) {
        self.controllers_started += 1;
        // A number is never used twice; the program uses the time in microseconds.
        let persisted = self.record.as_ref().map_or(ControllerNumber::default(), |record| record.controller);
        let number = persisted.max(ControllerNumber(u64::from(self.controllers_started) - 1)).next();
        self.controllers[at] =
            Some(RolloutController::new(stage_plan(), policy, self.record.clone(), number));
    }

    pub fn conclude(&mut self, at: usize, verdict: Verdict) {
        self.with(at, |controller, effects| controller.analysis_concluded(verdict, effects));
    }

    /// Drops replies to controllers that are not running.
    pub fn drop_undeliverable_replies(&mut self) {
        self.replies.sort_by_key(|reply| (reply.0, reply.1, reply.2));
        self.replies.dedup();
        let runs: Vec<bool> = self.controllers.iter().map(Option::is_some).collect();
        self.replies.retain(|(to, ..)| runs[*to]);
    }

    pub fn node_report(&self, node: usize) -> Option<NodeReport> {
        let state = &self.nodes[node];
        state.is_healthy.then(|| NodeReport {
            version: state.version,
            is_healthy: state.executing.is_none(),
            highest: state.fence.highest(),
        })
    }
}
