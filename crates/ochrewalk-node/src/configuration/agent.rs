//! The node's agent of the control plane: a thread of its own with an event loop. It applies updates, persists them
//! for the next start, and requests quotas of tenants that RPCs name. Without any relay the node serves on with what it has.

use super::handle::{Activate, ConfigurationHandle};
use super::node_configuration::NodeConfiguration;
use super::persistence::restore;
use super::sink::NodeSink;
use mio::{Events, Poll, Token, Waker};
use ochrewalk_control_plane::agent::{Agent, AgentSettings};
use ochrewalk_control_plane::clock::{unix_ms, Clock};
use ochrewalk_control_plane::state_file::{PersistedState, StateFile};
use ochrewalk_distribution::messages::{Position, ResourceName};
use ochrewalk_distribution::{Interest, RelayChoiceLimits, SubscriptionLimits};
use ochrewalk_operators::resources::quota_name;
use ochrewalk_operators::ConfigAgent;
use std::collections::BTreeSet;
use std::io;
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The agent's token, and the one after it; then the waker's.
const AGENT_TOKEN: Token = Token(0);
const WAKER_TOKEN: Token = Token(2);
const MAX_EVENTS: usize = 64;
/// Tenants whose quotas wait to be requested; the quota of a further one is requested by its next RPC.
const MAX_REQUESTED_TENANTS: usize = 1024;
/// How often the log says how old the configuration is, while no relay is heard.
const AGE_LOG_INTERVAL_US: u64 = 60_000_000;

/// A configuration with its agent, not started yet.
pub struct PreparedAgent {
    pub handle: ConfigurationHandle,
    agent: Agent,
    poll: Poll,
    requested_tenants: Receiver<Arc<str>>,
    file: Option<StateFile>,
    clock: Clock,
}

/// Puts a node's configuration together from its files and its persisted state, and prepares its agent. `activate` is
/// called with what is in force, at once and after each change.
pub fn prepare(
    node: &str,
    config: &ConfigAgent,
    mut state: NodeConfiguration,
    seed: u64,
    activate: Activate,
) -> Result<PreparedAgent, String> {
    let clock = Clock::start();
    let mut file = None;
    if let Some(path) = &config.snapshot {
        let (opened, persisted) = match StateFile::open(path, node) {
            Ok(opened) => opened,
            Err(error) => {
                tracing::error!(part = "config", "{error}; beginning without it");
                (StateFile::new(path, node), PersistedState::default())
            }
        };
        restore(&mut state, persisted);
        file = Some(opened);
    }
    let position = Some(state.position()).filter(|position| position.epoch > 0);
    let cached = state.cached_quotas(config.max_tenants);
    let interest = Interest {
        everything: false,
        scopes: config.scopes.iter().cloned().collect(),
        names: cached.iter().map(|(name, _)| name.clone()).collect::<BTreeSet<_>>(),
    };
    let settings = AgentSettings {
        node: node.to_string(),
        region: config.region.clone(),
        relays: config.relays.clone(),
        interest,
        limits: SubscriptionLimits {
            bytes_per_second: config.bytes_per_second,
            ..SubscriptionLimits::default()
        },
        choice: RelayChoiceLimits::default(),
        max_names: config.max_tenants,
        seed,
    };
    let mut agent = Agent::new(settings, position, AGENT_TOKEN).map_err(|error| error.to_string())?;
    for (name, is_present) in &cached {
        if *is_present {
            agent.restore_present(name, clock.now_us());
        } else {
            agent.restore_absent(name, clock.now_us());
        }
    }
    let poll = Poll::new().map_err(|error| format!("config: {error}"))?;
    let waker = Waker::new(poll.registry(), WAKER_TOKEN).map_err(|error| format!("config: {error}"))?;
    let (sender, requested_tenants) = sync_channel(MAX_REQUESTED_TENANTS);
    activate(state.in_force());
    let handle = ConfigurationHandle {
        state: Arc::new(Mutex::new(state)),
        activate: Arc::new(Mutex::new(activate)),
        requested_tenants: sender,
        waker: Arc::new(waker),
    };
    Ok(PreparedAgent { handle, agent, poll, requested_tenants, file, clock })
}

impl PreparedAgent {
    /// Runs the agent by a thread of its own until the process ends.
    pub fn start(mut self) -> io::Result<()> {
        std::thread::Builder::new().name("config".into()).spawn(move || {
            if let Err(error) = self.run() {
                tracing::error!(part = "config", "no changes come any more: {error}");
            }
        })?;
        Ok(())
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        let mut age_logged_us = self.clock.now_us();
        loop {
            let now_us = self.clock.now_us();
            self.request_quotas(now_us);
            let mut sink = NodeSink { handle: &self.handle, file: self.file.as_mut() };
            let due_us = self.agent.drive(self.poll.registry(), now_us, &mut sink);
            if now_us >= age_logged_us + AGE_LOG_INTERVAL_US {
                age_logged_us = now_us;
                self.log_age(now_us);
            }
            let wait_us = due_us.saturating_sub(now_us).min(AGE_LOG_INTERVAL_US);
            match self.poll.poll(&mut events, Some(Duration::from_micros(wait_us))) {
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                polled => polled?,
            }
        }
    }

    fn request_quotas(&mut self, now_us: u64) {
        let mut removed: Vec<ResourceName> = Vec::new();
        while let Ok(tenant) = self.requested_tenants.try_recv() {
            removed.extend(self.agent.request_name(&quota_name(&tenant), now_us));
        }
        if removed.is_empty() {
            return;
        }
        let mut state = self.handle.state();
        let in_force = state.forget_quotas(removed.iter().map(|name| name.name.as_str()));
        self.handle.activate(in_force);
        if let Some(file) = &mut self.file {
            if let Err(error) = file.append_forgotten(state.position(), removed, unix_ms()) {
                tracing::warn!(part = "config", "not persisted for the next start: {error}");
            }
        }
    }

    fn log_age(&self, now_us: u64) {
        if self.agent.is_connected() {
            return;
        }
        let Position { epoch, revision } = self.handle.position();
        match self.agent.age_ms(now_us) {
            Some(age_ms) => {
                let age_s = age_ms / 1_000;
                tracing::warn!(part = "config", "no relay is heard; {epoch}.{revision} is {age_s} s old");
            }
            None => {
                tracing::warn!(
                    part = "config",
                    "no relay was heard since the start; {epoch}.{revision} is restored"
                )
            }
        }
    }
}
