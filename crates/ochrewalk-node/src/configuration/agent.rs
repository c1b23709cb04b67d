//! The node's agent of the control plane: a thread of its own with an event loop. It brings updates into force, keeps them
//! for the next start, and fetches quotas of tenants that RPCs name. Without any relay the node serves on with what it has.

use crate::configuration::state::{InForce, NodeConfiguration, UpdateFault};
use mio::{Events, Poll, Token, Waker};
use ochrewalk_control_plane::agent::{Agent, AgentSettings, ConfigurationSink};
use ochrewalk_control_plane::clock::{unix_ms, Clock};
use ochrewalk_control_plane::state_file::{PersistedState, PersistedStep, StateFile};
use ochrewalk_distribution::messages::{Position, ResourceKind, ResourceName};
use ochrewalk_distribution::{CompleteUpdate, Interest, RelayChoiceLimits, SubscriptionLimits};
use ochrewalk_operators::resources::quota_name;
use ochrewalk_operators::ConfigAgent;
use std::collections::BTreeSet;
use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The agent's token, and the one after it; then the waker's.
const AGENT: Token = Token(0);
const WAKER: Token = Token(2);
const EVENTS_AT_ONCE: usize = 64;
/// Tenants that wait to be asked for; further ones are asked for by their next RPC.
const MAX_WANTED: usize = 1024;
/// How often the log says how old the configuration is, while no relay is heard.
const AGE_LOG_US: u64 = 60_000_000;

/// Takes what is in force into the running node.
pub type TakeOver = Box<dyn Fn(InForce) + Send>;

/// The configuration of a running node, as its other parts see it.
#[derive(Clone)]
pub struct ConfigurationHandle {
    state: Arc<Mutex<NodeConfiguration>>,
    take_over: Arc<Mutex<TakeOver>>,
    wanted: SyncSender<Arc<str>>,
    waker: Arc<Waker>,
}

/// A configuration with its agent, not started yet.
pub struct PreparedAgent {
    pub handle: ConfigurationHandle,
    agent: Agent,
    poll: Poll,
    wanted: Receiver<Arc<str>>,
    file: Option<StateFile>,
    clock: Clock,
}

/// Brings an update into force, or leaves all as it is.
struct Sink<'a> {
    handle: &'a ConfigurationHandle,
    file: Option<&'a mut StateFile>,
}

impl ConfigurationHandle {
    fn state(&self) -> MutexGuard<'_, NodeConfiguration> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    fn take_over(&self, in_force: InForce) {
        let take_over = self.take_over.lock().unwrap_or_else(|broken| broken.into_inner());
        take_over(in_force);
    }

    /// A tenant's quota was used, so that it is held on to. Some of many uses at once may be passed over.
    pub fn used_quota(&self, tenant: Arc<str>) {
        let _ = self.wanted.try_send(tenant);
    }

    /// Asks for a tenant's quota, unless too many wait already.
    pub fn want_quota(&self, tenant: Arc<str>) {
        if self.wanted.try_send(tenant).is_ok() {
            let _ = self.waker.wake();
        }
    }

    /// The node's files have changed. Gives what of the distributed configuration no longer fits them.
    pub fn replace_file(&self, file: crate::configuration::state::FileConfiguration) -> Vec<UpdateFault> {
        // Held over both, so that an update cannot come between and be undone.
        let mut state = self.state();
        let (in_force, faults) = state.replace_file(file);
        self.take_over(in_force);
        faults
    }

    /// The position in force.
    pub fn position(&self) -> Position {
        self.state().position()
    }
}

impl ConfigurationSink for Sink<'_> {
    type Error = UpdateFault;

    fn apply(&mut self, update: &CompleteUpdate) -> Result<(), UpdateFault> {
        let mut state = self.handle.state();
        let in_force = state.apply(update).inspect_err(|why| {
            let Position { epoch, revision } = update.position;
            tracing::warn!(part = "config", "{epoch}.{revision} is rejected: {why}");
        })?;
        self.handle.take_over(in_force);
        let Position { epoch, revision } = update.position;
        tracing::debug!(
            part = "config",
            "{epoch}.{revision} is in force, {} changes",
            update.resources.len()
        );
        let kept = self.file.as_mut().map_or(Ok(()), |file| keep(file, &state, update));
        if let Err(why) = kept {
            tracing::warn!(part = "config", "not kept for the next start: {why}");
        }
        Ok(())
    }
}

fn keep(file: &mut StateFile, state: &NodeConfiguration, update: &CompleteUpdate) -> io::Result<()> {
    if !file.needs_snapshot() {
        return file.append(update, unix_ms());
    }
    file.write_snapshot(state.position(), state.resources(), state.absent_quotas(), unix_ms())
}

/// Puts a node's configuration together from its files and from what it kept, and prepares its agent. `take_over` is
/// called with what is in force, at once and after each change.
pub fn prepare(
    node: &str,
    config: &ConfigAgent,
    mut state: NodeConfiguration,
    seed: u64,
    take_over: TakeOver,
) -> Result<PreparedAgent, String> {
    let clock = Clock::start();
    let mut file = None;
    if let Some(path) = &config.snapshot {
        let (opened, kept) = match StateFile::open(path, node) {
            Ok(opened) => opened,
            Err(why) => {
                tracing::error!(part = "config", "{why}; beginning without it");
                (StateFile::new(path, node), PersistedState::default())
            }
        };
        restore(&mut state, kept);
        file = Some(opened);
    }
    let position = Some(state.position()).filter(|position| position.epoch > 0);
    let held = state.held_quotas(config.max_tenants);
    let interest = Interest {
        everything: false,
        scopes: config.scopes.iter().cloned().collect(),
        names: held.iter().map(|(name, _)| name.clone()).collect::<BTreeSet<_>>(),
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
    let mut agent = Agent::new(settings, position, AGENT).map_err(|why| why.to_string())?;
    for (name, is_present) in &held {
        if *is_present {
            agent.restore_present(name, clock.now_us());
        } else {
            agent.restore_absent(name, clock.now_us());
        }
    }
    let poll = Poll::new().map_err(|why| format!("config: {why}"))?;
    let waker = Waker::new(poll.registry(), WAKER).map_err(|why| format!("config: {why}"))?;
    let (sender, wanted) = sync_channel(MAX_WANTED);
    take_over(state.in_force());
    let handle = ConfigurationHandle {
        state: Arc::new(Mutex::new(state)),
        take_over: Arc::new(Mutex::new(take_over)),
        wanted: sender,
        waker: Arc::new(waker),
    };
    Ok(PreparedAgent { handle, agent, poll, wanted, file, clock })
}

/// Brings what was kept into force, as far as it still fits the node's files.
fn restore(state: &mut NodeConfiguration, kept: PersistedState) {
    if kept.damaged_bytes > 0 {
        let bytes = kept.damaged_bytes;
        tracing::warn!(
            part = "config",
            "the last {bytes} bytes of what was kept are damaged and passed over"
        );
    }
    for step in kept.steps {
        let restored = match step {
            PersistedStep::Update(update) => state.apply(&update).map(|_| ()),
            PersistedStep::Forgotten(names) => {
                let tenants = names.iter().filter(|name| name.kind() == ResourceKind::Quota);
                state.forget_quotas(tenants.map(|name| name.name.as_str()));
                Ok(())
            }
        };
        if let Err(why) = restored {
            tracing::warn!(part = "config", "what was kept is taken up to before this: {why}");
            break;
        }
    }
    let Position { epoch, revision } = state.position();
    if epoch > 0 {
        let age_s = unix_ms().saturating_sub(kept.unix_ms) / 1_000;
        tracing::info!(part = "config", "{epoch}.{revision} was kept, {age_s} s ago");
    }
}

impl PreparedAgent {
    /// Runs the agent by a thread of its own until the process ends.
    pub fn start(mut self) -> io::Result<()> {
        std::thread::Builder::new().name("config".into()).spawn(move || {
            if let Err(why) = self.run() {
                tracing::error!(part = "config", "no changes come any more: {why}");
            }
        })?;
        Ok(())
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS_AT_ONCE);
        let mut age_told_us = self.clock.now_us();
        loop {
            let now_us = self.clock.now_us();
            self.fetch_wanted(now_us);
            let mut sink = Sink { handle: &self.handle, file: self.file.as_mut() };
            let due_us = self.agent.drive(self.poll.registry(), now_us, &mut sink);
            if now_us >= age_told_us + AGE_LOG_US {
                age_told_us = now_us;
                self.tell_age(now_us);
            }
            let wait_us = due_us.saturating_sub(now_us).min(AGE_LOG_US);
            match self.poll.poll(&mut events, Some(Duration::from_micros(wait_us))) {
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                polled => polled?,
            }
        }
    }

    fn fetch_wanted(&mut self, now_us: u64) {
        let mut removed: Vec<ResourceName> = Vec::new();
        while let Ok(tenant) = self.wanted.try_recv() {
            removed.extend(self.agent.request_name(&quota_name(&tenant), now_us));
        }
        if removed.is_empty() {
            return;
        }
        let mut state = self.handle.state();
        let in_force = state.forget_quotas(removed.iter().map(|name| name.name.as_str()));
        self.handle.take_over(in_force);
        if let Some(file) = &mut self.file {
            if let Err(why) = file.append_forgotten(state.position(), removed, unix_ms()) {
                tracing::warn!(part = "config", "not kept for the next start: {why}");
            }
        }
    }

    fn tell_age(&self, now_us: u64) {
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
                    "no relay was heard since the start; {epoch}.{revision} was kept"
                )
            }
        }
    }
}
