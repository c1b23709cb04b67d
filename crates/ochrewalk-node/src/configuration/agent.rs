//! The node's configuration agent, a thread with an event loop. The agent applies updates, persists them for the next start,
//! and requests the quotas of tenants that RPCs name. Without any relay the node continues to serve with the configuration in
//! force.

use super::cached_quotas::CachedQuotaName;
use super::handle::{Activate, ConfigurationHandle};
use super::node_configuration::NodeConfiguration;
use super::persistence::{open_and_restore, persist_forgotten};
use super::sink::NodeSink;
use mio::{Events, Poll, Token, Waker};
use ochrewalk_control_plane::agent::{Agent, AgentSettings};
use ochrewalk_control_plane::clock::Clock;
use ochrewalk_control_plane::state_file::StateFile;
use ochrewalk_distribution::messages::{Position, ResourceName};
use ochrewalk_distribution::{Interest, NoRelays, RelayChoiceLimits, SubscriptionLimits};
use ochrewalk_operator_config::resources::quota_name;
use ochrewalk_operator_config::ConfigAgent;
use std::io;
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

/// The first of the two consecutive tokens that the agent uses.
const AGENT_TOKEN: Token = Token(0);
const WAKER_TOKEN: Token = Token(2);
/// The maximal number of events per turn of the event loop.
const MAX_EVENTS: usize = 64;
/// The maximal number of tenants whose quotas wait to be requested. The quota of a further tenant is requested at its next
/// RPC.
const MAX_REQUESTED_TENANTS: usize = 1024;
/// The interval at which the age of the configuration is logged while no relay is connected.
const AGE_LOG_INTERVAL_US: u64 = 60_000_000;

/// The reason why an agent cannot be prepared.
#[derive(Debug, thiserror::Error)]
pub enum PrepareError {
    /// The operators' file names no relay.
    #[error(transparent)]
    NoRelays(#[from] NoRelays),
    /// The event loop cannot be created.
    #[error("config: {0}")]
    EventLoop(#[from] io::Error),
}

/// An agent that is not started yet, with the configuration in force.
pub struct PreparedAgent {
    handle: ConfigurationHandle,
    agent: Agent,
    poll: Poll,
    requested_tenants: Receiver<Arc<str>>,
    file: Option<StateFile>,
    clock: Clock,
}

impl PreparedAgent {
    /// Adds the persisted state to `state`, which has the configuration of the node's files, and prepares an agent that follows
    /// one of the relays of `config`. `activate` is called with the configuration in force: at once, and after each change.
    ///
    /// A state file that cannot be read or no longer fits the node is logged, and the part before the fault is restored.
    ///
    /// # Errors
    ///
    /// `config` names no relay, or the event loop cannot be created.
    pub fn new(
        node: &str,
        config: &ConfigAgent,
        mut state: NodeConfiguration,
        seed: u64,
        activate: Activate,
    ) -> Result<PreparedAgent, PrepareError> {
        let clock = Clock::start();
        let file = config.snapshot.as_ref().map(|path| open_and_restore(path, node, &mut state));
        let agent = new_agent(node, config, &state, seed, &clock)?;
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER_TOKEN)?;
        let (sender, requested_tenants) = sync_channel(MAX_REQUESTED_TENANTS);
        activate(state.in_force());
        let handle = ConfigurationHandle::new(state, activate, sender, waker);
        Ok(PreparedAgent { handle, agent, poll, requested_tenants, file, clock })
    }

    /// Returns the handle by which other parts of the node use the configuration.
    pub fn handle(&self) -> &ConfigurationHandle {
        &self.handle
    }

    /// Starts a thread that runs the agent until the process ends.
    ///
    /// # Errors
    ///
    /// The thread cannot be started. The node then serves with the configuration in force and receives no updates.
    pub fn start(mut self) -> io::Result<()> {
        std::thread::Builder::new().name("config".into()).spawn(move || {
            if let Err(error) = self.run() {
                tracing::error!(
                    part = "config",
                    "configuration agent stopped, no updates will be received: {error}"
                );
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
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                polled => polled?,
            }
        }
    }

    /// Requests the quotas that wait to be requested, and removes those that they replace in the cache.
    fn request_quotas(&mut self, now_us: u64) {
        let mut replaced: Vec<ResourceName> = Vec::new();
        while let Ok(tenant) = self.requested_tenants.try_recv() {
            replaced.extend(self.agent.request_name(&quota_name(&tenant), now_us));
        }
        if !replaced.is_empty() {
            self.forget_quotas(replaced);
        }
    }

    fn forget_quotas(&mut self, names: Vec<ResourceName>) {
        let mut state = self.handle.state();
        let in_force = state.forget_quotas(names.iter().map(|name| name.name.as_str()));
        self.handle.activate(in_force);
        if let Some(file) = &mut self.file {
            if let Err(error) = persist_forgotten(file, &state, names) {
                tracing::warn!(part = "config", "removal of quotas is in force but not persisted: {error}");
            }
        }
    }

    /// Logs the age of the configuration, unless a relay is connected.
    fn log_age(&self, now_us: u64) {
        if self.agent.is_connected() {
            return;
        }
        let Position { epoch, revision } = self.handle.position();
        let Some(age_ms) = self.agent.age_ms(now_us) else {
            tracing::warn!(
                part = "config",
                "no relay has been connected since the start; the restored revision {epoch}.{revision} is in force"
            );
            return;
        };
        let age_s = age_ms / 1_000;
        tracing::warn!(
            part = "config",
            "no relay is connected; revision {epoch}.{revision} is {age_s} s old"
        );
    }
}

/// Returns an agent that continues from the position of `state` and watches the quotas that are cached there.
fn new_agent(
    node: &str,
    config: &ConfigAgent,
    state: &NodeConfiguration,
    seed: u64,
    clock: &Clock,
) -> Result<Agent, NoRelays> {
    let cached = state.cached_quotas(config.max_tenants);
    let settings = agent_settings(node, config, &cached, seed);
    let position = Some(state.position()).filter(|position| position.epoch > 0);
    let mut agent = Agent::new(settings, position, AGENT_TOKEN)?;
    for CachedQuotaName { name, is_present } in &cached {
        if *is_present {
            agent.restore_present(name, clock.now_us());
        } else {
            agent.restore_absent(name, clock.now_us());
        }
    }
    Ok(agent)
}

fn agent_settings(node: &str, config: &ConfigAgent, cached: &[CachedQuotaName], seed: u64) -> AgentSettings {
    let interest = Interest {
        everything: false,
        scopes: config.scopes.iter().cloned().collect(),
        names: cached.iter().map(|quota| quota.name.clone()).collect(),
    };
    let limits =
        SubscriptionLimits { bytes_per_second: config.bytes_per_second, ..SubscriptionLimits::default() };
    AgentSettings {
        node: node.to_string(),
        region: config.region.clone(),
        relays: config.relays.clone(),
        interest,
        limits,
        choice: RelayChoiceLimits::default(),
        max_names: config.max_tenants,
        seed,
    }
}
