//! Hollow nodes: many subscribers on one event loop, each of which stores its received state and has no other part of
//! a node. They obey commands on standard input, print a status every second, and print their reports at the end.

use super::options::{region_name, FleetShape, HollowOptions};
use super::workload::METHODS;
use super::{monotonic_us, ScaleError};
use mio::{Events, Poll, Token, Waker};
use ochrewalk_control_plane::agent::{Agent, AgentSettings, ConfigurationSink};
use ochrewalk_control_plane::control::send_request;
use ochrewalk_distribution::messages::{Body, Fetch, Position, Resource, ResourceName, Value};
use ochrewalk_distribution::{
    CompleteUpdate, DemandState, Interest, RelayChoiceLimits, Store, StoreLimits, SubscriptionLimits,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

const WAKER: Token = Token(0);
/// The first token of the first agent; each has two.
const FIRST_TOKEN: usize = 2;
const EVENTS_AT_ONCE: usize = 1024;
const STATUS_INTERVAL_US: u64 = 1_000_000;
/// One in this many nodes of a region restarts without state.
pub const COLD_SHARE: u64 = 3;

/// A command from the run to its hollow nodes, sent as one word per line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start to record the time at which each revision is in force
    Measure,
    /// Restart a third of the first region's nodes without state
    RestartCold,
    /// Compare the state with the publisher, print all reports and exit
    Report,
}

impl Command {
    const ALL: [(&'static str, Command); 3] =
        [("measure", Command::Measure), ("restart-cold", Command::RestartCold), ("report", Command::Report)];

    /// Returns the word for the command.
    pub fn word(self) -> &'static str {
        Command::ALL.iter().find(|(_, command)| *command == self).map_or("", |(word, _)| word)
    }

    fn read(word: &str) -> Option<Command> {
        Command::ALL.iter().find(|(known, _)| *known == word).map(|(_, command)| *command)
    }
}

/// The stored resources of a hollow node and its observations.
struct HollowState {
    store: Store,
    /// Revisions and the times at which they came into force, since the measurement started.
    steps: Vec<(u64, u64)>,
    is_measuring: bool,
    went_back: u64,
}

impl ConfigurationSink for HollowState {
    type Error = String;

    fn apply(&mut self, update: &CompleteUpdate) -> Result<(), String> {
        if let Some(fault) = update.resources.iter().find_map(|resource| unknown_method(resource)) {
            return Err(fault);
        }
        let before = self.store.position();
        self.store.apply(update).map_err(|error| error.to_string())?;
        let after = self.store.position();
        self.went_back += u64::from(after < before);
        if self.is_measuring && after > before {
            self.steps.push((after.revision, monotonic_us()));
        }
        Ok(())
    }
}

/// Returns the reason to reject a resource that a real node would reject.
fn unknown_method(resource: &Resource) -> Option<String> {
    match &resource.value {
        Some(Value::Route(route)) if !METHODS.contains(&route.method.as_str()) => {
            Some(format!("{} is no method here", route.method))
        }
        _ => None,
    }
}

struct HollowNode {
    number: u64,
    agent: Agent,
    state: HollowState,
    requested: Vec<ResourceName>,
    started_us: u64,
    ready_us: Option<u64>,
    due_us: u64,
    /// Bytes in both directions before the measurement started.
    bytes_before: u64,
    is_cold: bool,
}

impl HollowNode {
    fn start(options: &HollowOptions, number: u64, token: Token) -> Result<HollowNode, ScaleError> {
        let shape = &options.shape;
        let region = shape.region_of(number);
        let settings = AgentSettings {
            node: format!("hollow-{number}"),
            region: region_name(region),
            relays: shape.relay_addresses(options.network, region),
            interest: Interest::scopes(shape.scopes_of(number).into_iter().map(|scope| shape.scope(scope))),
            limits: SubscriptionLimits::default(),
            choice: RelayChoiceLimits::default(),
            max_names: shape.wanted.max(1),
            seed: shape.seed ^ number,
        };
        let mut agent =
            Agent::new(settings, None, token).map_err(|_| ScaleError::Node("no relay is named".into()))?;
        let requested: Vec<_> =
            shape.tenants_of(number).into_iter().map(|tenant| shape.tenant(tenant)).collect();
        let now_us = monotonic_us();
        requested.iter().for_each(|name| drop(agent.request_name(name, now_us)));
        let store = Store::new(0, StoreLimits { tombstones: 0 });
        let state = HollowState { store, steps: Vec::new(), is_measuring: false, went_back: 0 };
        Ok(HollowNode {
            number,
            agent,
            state,
            requested,
            started_us: now_us,
            ready_us: None,
            due_us: 0,
            bytes_before: 0,
            is_cold: false,
        })
    }

    fn drive(&mut self, poll: &Poll, now_us: u64) {
        let updates = self.agent.counters().updates;
        self.due_us = self.agent.drive(poll.registry(), now_us, &mut self.state);
        if self.ready_us.is_none() && self.agent.counters().updates > updates && self.is_complete() {
            self.ready_us = Some(monotonic_us());
        }
    }

    /// Whether the node has its scopes and all requested tenants, or knows that they are absent.
    fn is_complete(&self) -> bool {
        let is_answered = |name| !matches!(self.agent.name_state(name), None | Some(DemandState::Requested));
        self.agent.position().is_some() && self.requested.iter().all(is_answered)
    }

    fn measure(&mut self) {
        self.state.is_measuring = true;
        self.bytes_before = self.bytes();
    }

    fn bytes(&self) -> u64 {
        let counters = self.agent.counters();
        counters.bytes_in + counters.bytes_out
    }

    /// Whether the stored resources differ from those of the publisher for this node.
    fn differs(&self, shape: &FleetShape, control: &Path) -> Result<bool, ScaleError> {
        let scopes = shape.scopes_of(self.number);
        let routes = scopes.iter().flat_map(|scope| shape.routes_of(*scope));
        let names = routes.chain(self.requested.iter().cloned()).collect();
        let Body::Fetched(fetched) = send_request(control, Body::Fetch(Fetch { names }))? else {
            return Err(ScaleError::UnexpectedAnswer);
        };
        let published: BTreeMap<_, _> = fetched.resources.iter().map(|it| (&it.name, &it.value)).collect();
        let stored: BTreeMap<_, _> = self.state.store.iter().map(|it| (&it.name, &it.value)).collect();
        Ok(published != stored)
    }

    fn report(&self, options: &HollowOptions) -> Result<serde_json::Value, ScaleError> {
        let Position { epoch, revision } = self.agent.position().unwrap_or_default();
        Ok(json!({
            "node": self.number, "steps": self.state.steps, "epoch": epoch, "revision": revision,
            "ready_us": self.ready_us.map(|ready_us| ready_us - self.started_us),
            "bytes": self.bytes().saturating_sub(self.bytes_before),
            "went_back": self.state.went_back, "is_cold": self.is_cold,
            "differs": self.differs(&options.shape, &options.control)?,
            "connections": self.agent.counters().connections, "rejected": self.agent.counters().rejected
        }))
    }
}

/// All hollow nodes of this process.
struct HollowProcess {
    options: HollowOptions,
    poll: Poll,
    nodes: Vec<HollowNode>,
    commands: Receiver<Command>,
}

/// Runs hollow nodes until they receive the command to report.
pub fn run_hollow(options: HollowOptions) -> Result<(), ScaleError> {
    let poll = Poll::new()?;
    let waker = Waker::new(poll.registry(), WAKER)?;
    let (sender, commands) = channel();
    std::thread::spawn(move || {
        let lines = std::io::stdin().lock().lines().map_while(Result::ok);
        for command in lines.filter_map(|line| Command::read(&line)) {
            if sender.send(command).is_err() || waker.wake().is_err() {
                return;
            }
        }
    });
    let start = |index: u64| HollowNode::start(&options, options.first + index, token_of(index as usize));
    let nodes = (0..options.count).map(start).collect::<Result<_, _>>()?;
    HollowProcess { options, poll, nodes, commands }.run()
}

fn token_of(index: usize) -> Token {
    Token(FIRST_TOKEN + 2 * index)
}

impl HollowProcess {
    fn run(&mut self) -> Result<(), ScaleError> {
        let mut events = Events::with_capacity(EVENTS_AT_ONCE);
        let mut next_status_us = monotonic_us();
        loop {
            self.drive_due();
            while let Ok(command) = self.commands.try_recv() {
                match command {
                    Command::Measure => self.nodes.iter_mut().for_each(HollowNode::measure),
                    Command::RestartCold => self.restart_cold()?,
                    Command::Report => return self.report(),
                }
            }
            let now_us = monotonic_us();
            if now_us >= next_status_us {
                next_status_us = now_us + STATUS_INTERVAL_US;
                self.print_status()?;
            }
            let due_us =
                self.nodes.iter().map(|node| node.due_us).min().unwrap_or(next_status_us).min(next_status_us);
            let wait = Duration::from_micros(due_us.saturating_sub(now_us));
            match self.poll.poll(&mut events, Some(wait)) {
                Err(err) if err.kind() == std::io::ErrorKind::Interrupted => continue,
                polled => polled?,
            }
            for token in events.iter().map(|event| event.token()).filter(|token| *token != WAKER) {
                self.nodes[(token.0 - FIRST_TOKEN) / 2].due_us = 0;
            }
        }
    }

    fn drive_due(&mut self) {
        for node in &mut self.nodes {
            let now_us = monotonic_us();
            if node.due_us <= now_us {
                node.drive(&self.poll, now_us);
            }
        }
    }

    fn restart_cold(&mut self) -> Result<(), ScaleError> {
        let shape = self.options.shape.clone();
        let regions = u64::from(shape.regions);
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let is_affected = shape.region_of(node.number) == 0 && (node.number / regions) % COLD_SHARE == 0;
            if !is_affected {
                continue;
            }
            // The old connections close with the old agent.
            let mut restarted = HollowNode::start(&self.options, node.number, token_of(index))?;
            restarted.state.is_measuring = node.state.is_measuring;
            restarted.is_cold = true;
            *node = restarted;
        }
        Ok(())
    }

    fn print_status(&self) -> Result<(), ScaleError> {
        let count = |condition: &dyn Fn(&&HollowNode) -> bool| self.nodes.iter().filter(condition).count();
        let revision = |node: &HollowNode| node.agent.position().unwrap_or_default().revision;
        let of_first = |node: &&HollowNode| self.options.shape.region_of(node.number) == 0;
        let status = json!({
            "ready": count(&|node| node.ready_us.is_some()),
            "least_revision": self.nodes.iter().map(revision).min(),
            "first_region_bytes": self.nodes.iter().filter(of_first).map(HollowNode::bytes).sum::<u64>()
        });
        print_line(&status)
    }

    fn report(&self) -> Result<(), ScaleError> {
        for node in &self.nodes {
            print_line(&node.report(&self.options)?)?;
        }
        print_line(&json!({"is_end": true}))
    }
}

fn print_line(line: &serde_json::Value) -> Result<(), ScaleError> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}")?;
    Ok(out.flush()?)
}
