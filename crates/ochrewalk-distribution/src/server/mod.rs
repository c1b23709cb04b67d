//! Decides what a publisher or relay sends to each of its subscribers, and when. The server queues nothing for a
//! subscriber: a cursor into the store records what the subscriber lacks, and the next part is built when its connection
//! can take it.

mod subscriber;

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;

use crate::catch_up::{CatchUp, CatchUpLimits, RetryAfter};
use crate::interest::Interest;
use crate::messages::{
    Position, RegionStatus, Report, ResourceName, Subscribe, Update, Watch, PROTOCOL_VERSION,
};
use crate::pacing::Pacer;
use crate::status::{count_positions, Rejections};
use crate::store::{Store, UpdateKind};
use crate::update_builder::{Built, UpdateProgress};
use crate::validation::{name_problems, MAX_NAME_BYTES};
use subscriber::{Activity, Subscriber};

/// The number of rounds after which an update is no longer paced, so that it ends at any rate of changes.
const MAX_PACED_ROUNDS: u32 = 4;
/// The most changes visited to estimate how much a subscriber lacks.
const MAX_ESTIMATED_CHANGES: usize = 4_096;

/// The bounds of a [`Server`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerLimits {
    /// The largest part of an update in encoded bytes, unless a single resource is larger.
    pub chunk_bytes: usize,
    /// The most concurrent subscribers; further ones have to retry later.
    pub max_subscribers: usize,
    /// The most scopes and single names of one subscriber together.
    pub max_interest: usize,
    /// The most rejections that a status lists.
    pub max_rejections: usize,
    /// The bounds on sending subscribers their missing updates after they connected.
    pub catch_up: CatchUpLimits,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            chunk_bytes: 16 << 10,
            max_subscribers: 4_000,
            max_interest: 20_000,
            max_rejections: 100,
            catch_up: CatchUpLimits::default(),
        }
    }
}

/// The identifier of a subscriber of a [`Server`]. Identifiers are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubscriberId(u64);

/// The decision on a subscriber that connects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The subscriber is served from now on.
    Accepted(SubscriberId),
    /// Too many subscribers connect at once.
    RetryLater {
        /// The time after which the subscriber may connect again, in milliseconds.
        after_ms: u64,
    },
    /// The subscriber cannot be served, now or later.
    Refused {
        /// The reason for the refusal.
        reason: SubscribeError,
    },
}

/// The reason why a subscriber is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubscribeError {
    /// The subscriber needs a later version of the messages.
    #[error("the subscriber needs version {version} of the messages, and this is {PROTOCOL_VERSION}")]
    UnknownVersion {
        /// The version that the subscriber needs.
        version: u32,
    },
    /// The subscriber has observed a later publisher than the one that this server follows.
    #[error("epoch {observed} was heard of, and this server has epoch {own}")]
    OlderEpoch {
        /// The epoch of this server.
        own: u64,
        /// The epoch that the subscriber has observed.
        observed: u64,
    },
    /// The subscriber wants more scopes and names than the bound allows.
    #[error("{count} scopes and names are wanted, more than {limit}")]
    TooManyNames {
        /// The number of scopes and names that the subscriber wants.
        count: usize,
        /// The bound.
        limit: usize,
    },
    /// A name is empty, of an unknown kind, has control characters, or is too long; or a scope is too long.
    #[error("a name is not valid")]
    InvalidName,
}

/// The action that the caller takes for a subscriber now.
#[derive(Clone, Debug, PartialEq)]
pub enum NextUpdate {
    /// The caller sends this part, and calls again once the connection has written it.
    Send(Update),
    /// The caller calls again at a later time.
    Wait {
        /// The time of the next call, in microseconds.
        until_us: u64,
    },
    /// The caller calls again when the store has changed or the subscriber has sent a message.
    Idle,
}

/// The publisher's or relay's side of all its streams of updates.
#[derive(Clone, Debug)]
pub struct Server {
    name: String,
    region: String,
    limits: ServerLimits,
    store: Store,
    subscribers: BTreeMap<SubscriberId, Subscriber>,
    last_id: u64,
    catch_up: CatchUp,
    rejections: Rejections,
}

impl Server {
    /// Creates a server of the state in `store`. `name` and `region` are part of its status.
    pub fn new(
        name: impl Into<String>,
        region: impl Into<String>,
        store: Store,
        limits: ServerLimits,
    ) -> Self {
        Self {
            name: name.into(),
            region: region.into(),
            limits,
            store,
            subscribers: BTreeMap::new(),
            last_id: 0,
            catch_up: CatchUp::new(limits.catch_up),
            rejections: Rejections::new(limits.max_rejections),
        }
    }

    /// Returns the state that is served.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the state that is served, to be changed. After a change the caller calls [`next`](Self::next) for each
    /// subscriber.
    pub fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Returns the connected subscribers.
    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberId> + '_ {
        self.subscribers.keys().copied()
    }

    /// Decides on a subscriber that connects. Of a subscriber that is not accepted, the server records only when it may
    /// retry.
    pub fn subscribe(&mut self, now_us: u64, message: Subscribe) -> Admission {
        if let Some(reason) = self.refusal_reason(&message) {
            return Admission::Refused { reason };
        }
        let interest = Interest::from(&message);
        let bytes = self.missing_bytes(&interest, message.applied);
        if let Err(retry) = self.admit(&message.node, bytes, now_us) {
            return Admission::RetryLater { after_ms: retry.milliseconds };
        }
        self.last_id += 1;
        let id = SubscriberId(self.last_id);
        if !self.catch_up.is_small(bytes) {
            self.catch_up.begin(id, bytes);
        }
        let subscriber = Subscriber {
            node: message.node,
            interest,
            pacer: Pacer::new(message.bytes_per_second),
            applied: message.applied,
            rejected: None,
            requested: BTreeSet::new(),
            watches: 0,
            activity: Activity::Ready,
        };
        self.subscribers.insert(id, subscriber);
        Admission::Accepted(id)
    }

    /// Admits a subscriber unless it has to retry later. A relay without state cannot determine what a subscriber lacks:
    /// subscribers retry until the relay has state.
    fn admit(&mut self, node: &str, bytes: u64, now_us: u64) -> Result<(), RetryAfter> {
        let is_full = self.subscribers.len() >= self.limits.max_subscribers;
        if is_full || self.is_without_state() {
            return Err(self.catch_up.defer(node, now_us));
        }
        self.catch_up.admit(node, bytes, now_us)
    }

    fn is_without_state(&self) -> bool {
        self.store.position().epoch == 0
    }

    fn refusal_reason(&mut self, message: &Subscribe) -> Option<SubscribeError> {
        let count = message.scopes.len() + message.names.len();
        let limit = self.limits.max_interest;
        if message.version > PROTOCOL_VERSION {
            return Some(SubscribeError::UnknownVersion { version: message.version });
        }
        if count > limit {
            return Some(SubscribeError::TooManyNames { count, limit });
        }
        if !are_valid(&message.names) || message.scopes.iter().any(|scope| scope.len() > MAX_NAME_BYTES) {
            return Some(SubscribeError::InvalidName);
        }
        let own = self.store.position().epoch;
        let observed = message.applied.map_or(0, |position| position.epoch).max(message.highest_epoch);
        // A relay without state has no epoch of its own yet, and cannot be behind.
        if observed > own && !self.is_without_state() {
            self.store.observe_epoch(observed);
            return Some(SubscribeError::OlderEpoch { own, observed });
        }
        None
    }

    /// Returns an estimate of how many bytes a subscriber lacks, at most the size of a snapshot.
    fn missing_bytes(&self, interest: &Interest, applied: Option<Position>) -> u64 {
        let snapshot = self.store.snapshot_bytes(interest);
        if applied.is_some_and(|applied| applied > self.store.position()) {
            return 0;
        }
        let UpdateKind::Differences { after } = self.store.differences_from(applied) else { return snapshot };
        let changes = self.store.changes_after(after, None).take(MAX_ESTIMATED_CHANGES + 1);
        let (mut visited, mut bytes) = (0, 0);
        for resource in changes {
            visited += 1;
            if interest.matches(&resource.name) {
                bytes += resource.encoded_len() as u64;
            }
        }
        if visited > MAX_ESTIMATED_CHANGES {
            return snapshot;
        }
        bytes
    }

    /// Adds single names to those that a subscriber wants, and removes others. The next update answers the added names.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not valid or the subscriber would want too many names. The subscription is unchanged
    /// then, and the caller closes the connection.
    pub fn watch(&mut self, id: SubscriberId, watch: &Watch) -> Result<(), SubscribeError> {
        let limit = self.limits.max_interest;
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return Ok(()) };
        let interest = &subscriber.interest;
        let count = interest.names.len() + interest.scopes.len() + watch.add.len();
        if count.saturating_sub(watch.remove.len()) > limit {
            return Err(SubscribeError::TooManyNames { count, limit });
        }
        if !are_valid(&watch.add) {
            return Err(SubscribeError::InvalidName);
        }
        subscriber.interest.update(watch);
        for name in &watch.remove {
            subscriber.requested.remove(name);
        }
        subscriber.requested.extend(watch.add.iter().cloned());
        subscriber.watches += 1;
        Ok(())
    }

    /// Records the outcome of an update that a subscriber reports. The next update is sent only after that.
    pub fn report(&mut self, id: SubscriberId, report: Report) {
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return };
        let in_force = Some(report.applied).filter(|position| position.epoch != 0);
        let Some(mut rejection) = report.rejected else {
            if subscriber.finish_applying(report.applied) {
                self.rejections.remove(&subscriber.node);
            }
            return;
        };
        subscriber.reject(rejection.position, in_force);
        rejection.node.clone_from(&subscriber.node);
        self.rejections.add(rejection);
        self.catch_up.end(id);
    }

    /// Removes a subscriber whose connection has ended.
    pub fn unsubscribe(&mut self, id: SubscriberId) {
        self.subscribers.remove(&id);
        self.catch_up.end(id);
    }

    /// Returns the next action for a subscriber whose connection has written everything that it was given. Parts are
    /// built only here, so that a subscriber that does not read uses the memory of one part.
    pub fn next(&mut self, id: SubscriberId, now_us: u64) -> NextUpdate {
        self.begin_update(id);
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return NextUpdate::Idle };
        let Activity::Receiving(progress) = &mut subscriber.activity else { return NextUpdate::Idle };
        let mut free_at_us = subscriber.pacer.free_at_us();
        if self.catch_up.is_admitted(id) {
            free_at_us = free_at_us.max(self.catch_up.free_at_us());
        }
        if free_at_us > now_us && progress.rounds() <= MAX_PACED_ROUNDS {
            return NextUpdate::Wait { until_us: free_at_us };
        }
        let built = progress.next_part(&self.store, &subscriber.interest, self.limits.chunk_bytes);
        let Built::Part(update) = built else { return NextUpdate::Wait { until_us: now_us } };
        let bytes = update.encoded_len();
        subscriber.pacer.charge(bytes, now_us);
        self.catch_up.charge(id, bytes, now_us);
        if update.is_last {
            subscriber.finish_receiving(update.position);
            self.catch_up.end(id);
        }
        NextUpdate::Send(update)
    }

    /// Begins an update if the subscriber needs one, or a snapshot if an update in progress cannot be completed.
    fn begin_update(&mut self, id: SubscriberId) {
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return };
        let needs_update = subscriber.needs_update(&self.store);
        let progress = match &mut subscriber.activity {
            Activity::Ready if needs_update => {
                let requested = std::mem::take(&mut subscriber.requested);
                let applied = subscriber.applied;
                UpdateProgress::begin(
                    &self.store,
                    &subscriber.interest,
                    applied,
                    requested,
                    subscriber.watches,
                )
            }
            Activity::Receiving(progress) if !progress.can_continue(&self.store) => {
                let answers = progress.take_answers();
                UpdateProgress::begin(&self.store, &subscriber.interest, None, answers, subscriber.watches)
            }
            _ => return,
        };
        let bytes = self.store.snapshot_bytes(&subscriber.interest);
        if progress.is_snapshot() && !self.catch_up.is_small(bytes) {
            self.catch_up.begin(id, bytes);
        }
        subscriber.activity = Activity::Receiving(progress);
    }

    /// Returns the number of subscribers per position in force, and the latest rejections.
    pub fn status(&self) -> RegionStatus {
        let positions = self.subscribers.values().map(|subscriber| subscriber.applied.unwrap_or_default());
        RegionStatus {
            relay: self.name.clone(),
            region: self.region.clone(),
            in_force: count_positions(positions.map(|position| (position, 1))),
            rejections: self.rejections.to_vec(),
            position: self.store.position(),
        }
    }
}

fn are_valid(names: &[ResourceName]) -> bool {
    names.iter().all(|name| name_problems(name).is_empty())
}
