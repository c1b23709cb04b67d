//! Hollow nodes: many subscribers on one event loop, each with the state that it was sent and nothing else of a node.
//! They obey lines on standard input, tell how they are each second, and report all at the end.

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
const TELL_INTERVAL_US: u64 = 1_000_000;
/// One in so many nodes of a region begins anew without state.
pub const COLD_SHARE: u64 = 3;

/// What the run tells its hollow nodes, one word a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Record from now on when each revision is in force
    Measure,
    /// A third of the first region's nodes begin anew without state
    RestartCold,
    /// Compare with the publisher, report all and end
    Report,
}

impl Command {
    const ALL: [(&'static str, Command); 3] =
        [("measure", Command::Measure), ("restart-cold", Command::RestartCold), ("report", Command::Report)];

    /// The word for it.
    pub fn word(self) -> &'static str {
        Command::ALL.iter().find(|(_, command)| *command == self).map_or("", |(word, _)| word)
    }

    fn read(word: &str) -> Option<Command> {
        Command::ALL.iter().find(|(known, _)| *known == word).map(|(_, command)| *command)
    }
}

/// What a hollow node holds and saw.
struct HollowState {
    store: Store,
    /// Revisions and when they came into force, since measuring began.
    steps: Vec<(u64, u64)>,
    measures: bool,
    went_back: u64,
}

impl ConfigurationSink for HollowState {
    type Error = String;

    fn apply(&mut self, update: &CompleteUpdate) -> Result<(), String> {
        if let Some(fault) = update.resources.iter().find_map(|resource| unknown_method(resource)) {
            return Err(fault);
        }
        let before = self.store.position();
        self.store.apply(update).map_err(|why| why.to_string())?;
        let after = self.store.position();
        self.went_back += u64::from(after < before);
        if self.measures && after > before {
            self.steps.push((after.revision, monotonic_us()));
        }
        Ok(())
    }
}

/// Why a resource does not fit a node, as a real node would say.
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
    wanted: Vec<ResourceName>,
    started_us: u64,
    ready_us: Option<u64>,
    due_us: u64,
    /// Bytes both ways when measuring began.
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
        let wanted: Vec<_> =
            shape.tenants_of(number).into_iter().map(|tenant| shape.tenant(tenant)).collect();
        let now_us = monotonic_us();
        wanted.iter().for_each(|name| drop(agent.request_name(name, now_us)));
        let store = Store::new(0, StoreLimits { tombstones: 0 });
        let state = HollowState { store, steps: Vec::new(), measures: false, went_back: 0 };
        Ok(HollowNode {
            number,
            agent,
            state,
            wanted,
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

    /// Its scopes and all tenants that it asked for are there, or known to be absent.
    fn is_complete(&self) -> bool {
        let is_answered = |name| !matches!(self.agent.name_state(name), None | Some(DemandState::Requested));
        self.agent.position().is_some() && self.wanted.iter().all(is_answered)
    }

    fn measure(&mut self) {
        self.state.measures = true;
        self.bytes_before = self.bytes();
    }

    fn bytes(&self) -> u64 {
        let counters = self.agent.counters();
        counters.bytes_in + counters.bytes_out
    }

    /// Whether what it holds differs from what the publisher has for it.
    fn differs(&self, shape: &FleetShape, control: &Path) -> Result<bool, ScaleError> {
        let scopes = shape.scopes_of(self.number);
        let routes = scopes.iter().flat_map(|scope| shape.routes_of(*scope));
        let names = routes.chain(self.wanted.iter().cloned()).collect();
        let Body::Fetched(fetched) = send_request(control, Body::Fetch(Fetch { names }))? else {
            return Err(ScaleError::OtherAnswer);
        };
        let published: BTreeMap<_, _> = fetched.resources.iter().map(|it| (&it.name, &it.value)).collect();
        let held: BTreeMap<_, _> = self.state.store.iter().map(|it| (&it.name, &it.value)).collect();
        Ok(published != held)
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

/// Runs hollow nodes until they are told to report, or nobody tells them anything any more.
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
    let start = |place: u64| HollowNode::start(&options, options.first + place, token_of(place as usize));
    let nodes = (0..options.count).map(start).collect::<Result<_, _>>()?;
    HollowProcess { options, poll, nodes, commands }.run()
}

fn token_of(place: usize) -> Token {
    Token(FIRST_TOKEN + 2 * place)
}

impl HollowProcess {
    fn run(&mut self) -> Result<(), ScaleError> {
        let mut events = Events::with_capacity(EVENTS_AT_ONCE);
        let mut tell_us = monotonic_us();
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
            if now_us >= tell_us {
                tell_us = now_us + TELL_INTERVAL_US;
                self.tell()?;
            }
            let due_us = self.nodes.iter().map(|node| node.due_us).min().unwrap_or(tell_us).min(tell_us);
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
        for (place, node) in self.nodes.iter_mut().enumerate() {
            let is_chosen = shape.region_of(node.number) == 0 && (node.number / regions) % COLD_SHARE == 0;
            if !is_chosen {
                continue;
            }
            // The old connections close with the old agent.
            let mut fresh = HollowNode::start(&self.options, node.number, token_of(place))?;
            fresh.state.measures = node.state.measures;
            fresh.is_cold = true;
            *node = fresh;
        }
        Ok(())
    }

    fn tell(&self) -> Result<(), ScaleError> {
        let count = |is_so: &dyn Fn(&&HollowNode) -> bool| self.nodes.iter().filter(is_so).count();
        let revision = |node: &HollowNode| node.agent.position().unwrap_or_default().revision;
        let of_first = |node: &&HollowNode| self.options.shape.region_of(node.number) == 0;
        let told = json!({
            "ready": count(&|node| node.ready_us.is_some()),
            "least_revision": self.nodes.iter().map(revision).min(),
            "first_region_bytes": self.nodes.iter().filter(of_first).map(HollowNode::bytes).sum::<u64>()
        });
        print_line(&told)
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
