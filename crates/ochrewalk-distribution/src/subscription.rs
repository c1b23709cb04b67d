//! Decides what a subscriber applies: parts of an update are gathered and checked, and are applied only together.

use std::collections::BTreeMap;
use std::sync::Arc;

use crc32fast::Hasher;
use prost::Message;

use crate::interest::Interest;
use crate::messages::{
    Position, Rejection, Report, Resource, ResourceName, Subscribe, Update, Watch, PROTOCOL_VERSION,
};

const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;

/// Bounds of a [`Subscription`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubscriptionLimits {
    /// The largest update taken, in encoded bytes of all parts.
    pub max_update_bytes: usize,
    /// The bytes a second that the subscriber asks to be sent at most; 0 for no bound.
    pub bytes_per_second: u64,
}

impl Default for SubscriptionLimits {
    fn default() -> Self {
        Self { max_update_bytes: 256 << 20, bytes_per_second: 26_000 }
    }
}

/// An update with all its parts, in order and with the right checksum.
#[derive(Clone, Debug, PartialEq)]
pub struct CompleteUpdate {
    pub position: Position,
    /// What the subscriber has is to be replaced, not added to.
    pub is_snapshot: bool,
    /// Changed resources. Those without a value are deleted.
    pub resources: Vec<Arc<Resource>>,
    /// Watched names of which there is nothing: their default holds.
    pub absent: Vec<ResourceName>,
    /// The oldest revision from which differences are complete after this snapshot.
    pub horizon: u64,
}

/// What a part of an update led to.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// Further parts are to come.
    More,
    /// The update is whole. Once it is in force or was found wrong, call [`Subscription::applied`] or
    /// [`Subscription::rejected`].
    Complete(CompleteUpdate),
}

/// Why a part of an update was not taken. What is applied stays as it was, and the connection is to be ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    #[error("part {part} came where part {expected} was due")]
    WrongPart { expected: u32, part: u32 },
    #[error("the update has epoch {update}, and epoch {highest} was heard of")]
    OlderEpoch { highest: u64, update: u64 },
    #[error("the update leads to {update:?}, older than {newer:?}")]
    OlderPosition { newer: Position, update: Position },
    #[error("the differences are from {base:?}, and {applied:?} is applied")]
    WrongBase { applied: Option<Position>, base: Option<Position> },
    #[error("the update is larger than {limit} bytes")]
    TooLarge { limit: usize },
    #[error("the checksum is {actual:#010x}, and the sender's {expected:#010x}")]
    WrongChecksum { expected: u32, actual: u32 },
    #[error("a resource has revision {revision}, after the update's {position:?}")]
    RevisionAfterPosition { position: Position, revision: u64 },
}

/// Parts of an update whose last part has not come.
#[derive(Clone, Debug)]
struct PartialUpdate {
    position: Position,
    is_snapshot: bool,
    resources: Vec<Arc<Resource>>,
    absent: Vec<ResourceName>,
    next_part: u32,
    bytes: usize,
    checksum: u32,
}

/// The checksum of `resource` after resources with `checksum` before it.
pub(crate) fn extend_checksum(checksum: u32, resource: &Resource) -> u32 {
    let mut hasher = Hasher::new_with_initial(checksum);
    hasher.update(&resource.encode_to_vec());
    hasher.finalize()
}

/// A subscriber's side of a stream of updates: of a node or of a relay.
#[derive(Clone, Debug)]
pub struct Subscription {
    node: String,
    region: String,
    interest: Interest,
    /// Watched names that no applied update has answered, with the number of the watch on this stream that asked for them.
    unanswered: BTreeMap<ResourceName, u64>,
    /// How many watches were sent on this stream.
    watches: u64,
    applied: Option<Position>,
    highest_epoch: u64,
    limits: SubscriptionLimits,
    partial: Option<PartialUpdate>,
    /// How many watches the update answers that was completed last.
    answered_watches: Option<u64>,
    last_heard_us: Option<u64>,
}

impl Subscription {
    /// A subscription of `node`. `saved` is the position of the state that it kept, if it kept one; the single names of
    /// `interest` are part of that state.
    pub fn new(
        node: impl Into<String>,
        region: impl Into<String>,
        interest: Interest,
        saved: Option<Position>,
        limits: SubscriptionLimits,
    ) -> Self {
        Self {
            node: node.into(),
            region: region.into(),
            interest,
            unanswered: BTreeMap::new(),
            watches: 0,
            applied: saved,
            highest_epoch: saved.map_or(0, |position| position.epoch),
            limits,
            partial: None,
            answered_watches: None,
            last_heard_us: None,
        }
    }

    /// What is wanted now.
    pub fn interest(&self) -> &Interest {
        &self.interest
    }

    /// The position in force.
    pub fn position(&self) -> Option<Position> {
        self.applied
    }

    /// The highest epoch heard of.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// A publisher of `epoch` was heard of elsewhere. Updates of older epochs are refused from now on.
    pub fn heard_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// The first message of a stream. [`unanswered_watch`](Self::unanswered_watch) is to follow it on the same stream.
    pub fn subscribe_message(&self) -> Subscribe {
        let is_held = |name: &&ResourceName| self.applied.is_none() || !self.unanswered.contains_key(*name);
        Subscribe {
            version: PROTOCOL_VERSION,
            node: self.node.clone(),
            region: self.region.clone(),
            applied: self.applied,
            scopes: self.interest.scopes.iter().cloned().collect(),
            names: self.interest.names.iter().filter(is_held).cloned().collect(),
            everything: self.interest.everything,
            bytes_per_second: self.limits.bytes_per_second,
            highest_epoch: self.highest_epoch,
        }
    }

    /// Names watched whose answer was not applied before the last stream ended. Call this once on each stream, right after
    /// [`subscribe_message`](Self::subscribe_message).
    pub fn unanswered_watch(&mut self) -> Option<Watch> {
        let is_asked_again = self.applied.is_some() && !self.unanswered.is_empty();
        self.watches = u64::from(is_asked_again);
        self.unanswered.values_mut().for_each(|watch| *watch = self.watches);
        is_asked_again.then(|| Watch { add: self.unanswered.keys().cloned().collect(), remove: Vec::new() })
    }

    /// Names are added to or removed from what is wanted. The caller sends `watch` on the stream, if there is one.
    pub fn watch(&mut self, watch: &Watch) {
        self.watches += 1;
        for name in &watch.remove {
            self.interest.names.remove(name);
            self.unanswered.remove(name);
        }
        for name in &watch.add {
            // The server goes on sending changes of a name that it was asked for before. Were it unanswered again, its
            // deletion in an update under way would not be applied, and its old value would stay in force.
            let is_new = self.interest.names.insert(name.clone());
            if is_new {
                self.unanswered.insert(name.clone(), self.watches);
            }
        }
    }

    /// A part of an update came.
    pub fn received(&mut self, update: Update) -> Result<Received, UpdateError> {
        let partial = self.partial.take();
        let partial = match partial {
            // A server that can no longer complete what it began starts anew with a snapshot.
            Some(_) if update.part == 0 && update.is_snapshot => self.first_part(&update)?,
            Some(partial) => partial,
            None => self.first_part(&update)?,
        };
        self.add_part(partial, update)
    }

    fn first_part(&self, update: &Update) -> Result<PartialUpdate, UpdateError> {
        if update.part != 0 {
            return Err(UpdateError::WrongPart { expected: 0, part: update.part });
        }
        if !update.is_snapshot && (update.base.is_none() || update.base != self.applied) {
            return Err(UpdateError::WrongBase { applied: self.applied, base: update.base });
        }
        Ok(PartialUpdate {
            position: self.applied.unwrap_or_default(),
            is_snapshot: update.is_snapshot,
            resources: Vec::new(),
            absent: Vec::new(),
            next_part: 0,
            bytes: 0,
            checksum: 0,
        })
    }

    fn add_part(&mut self, mut partial: PartialUpdate, update: Update) -> Result<Received, UpdateError> {
        self.check_order(&partial, &update)?;
        partial.bytes = partial.bytes.saturating_add(update.encoded_len());
        if partial.bytes > self.limits.max_update_bytes {
            return Err(UpdateError::TooLarge { limit: self.limits.max_update_bytes });
        }
        partial.position = update.position;
        partial.next_part += 1;
        for resource in update.resources {
            partial.checksum = extend_checksum(partial.checksum, &resource);
            partial.resources.push(Arc::new(resource));
        }
        partial.absent.extend(update.absent);
        if !update.is_last {
            self.partial = Some(partial);
            return Ok(Received::More);
        }
        check_whole(&partial, update.checksum)?;
        Ok(Received::Complete(self.complete(partial, update.horizon, update.watches)))
    }

    fn check_order(&self, partial: &PartialUpdate, update: &Update) -> Result<(), UpdateError> {
        if update.part != partial.next_part {
            return Err(UpdateError::WrongPart { expected: partial.next_part, part: update.part });
        }
        if update.position.epoch < self.highest_epoch {
            return Err(UpdateError::OlderEpoch {
                highest: self.highest_epoch,
                update: update.position.epoch,
            });
        }
        if update.position < partial.position {
            return Err(UpdateError::OlderPosition { newer: partial.position, update: update.position });
        }
        Ok(())
    }

    fn complete(&mut self, mut partial: PartialUpdate, horizon: u64, watches: u64) -> CompleteUpdate {
        self.answered_watches = Some(watches);
        partial.resources.retain(|resource| self.is_kept(&resource.name, watches));
        partial.absent.retain(|name| self.is_kept(name, watches));
        CompleteUpdate {
            position: partial.position,
            is_snapshot: partial.is_snapshot,
            resources: partial.resources,
            absent: partial.absent,
            horizon,
        }
    }

    /// Whether what an update that answers `watches` watches tells of `name` is to be applied. A name that was removed
    /// meanwhile would go stale; so would one that was added again, until the server has taken that over.
    fn is_kept(&self, name: &ResourceName, watches: u64) -> bool {
        let is_of_scope = self.interest.everything || self.interest.scopes.contains(&name.scope);
        let is_answered = self.unanswered.get(name).is_none_or(|watch| *watch <= watches);
        is_of_scope || (self.interest.names.contains(name) && is_answered)
    }

    /// The complete update of `position` is in force. The report is to be sent to the server, which sends no further
    /// update before it.
    pub fn applied(&mut self, position: Position) -> Report {
        self.applied = Some(position);
        self.heard_epoch(position.epoch);
        if let Some(answered) = self.answered_watches.take() {
            self.unanswered.retain(|_, watch| *watch > answered);
        }
        Report { applied: position, rejected: None }
    }

    /// The complete update of `position` is wrong for this subscriber, which keeps what it has.
    pub fn rejected(&mut self, position: Position, reason: impl Into<String>) -> Report {
        self.answered_watches = None;
        let rejection = Rejection { position, node: self.node.clone(), reason: reason.into() };
        Report { applied: self.applied.unwrap_or_default(), rejected: Some(rejection) }
    }

    /// Any message came from the server.
    pub fn heard(&mut self, now_us: u64) {
        self.last_heard_us = Some(now_us);
    }

    /// When the last message came from the server.
    pub fn last_heard_us(&self) -> Option<u64> {
        self.last_heard_us
    }

    /// How long ago the last message came; none if there was none.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        let age_us = now_us.saturating_sub(self.last_heard_us?);
        Some(age_us / MICROSECONDS_PER_MILLISECOND)
    }

    /// The stream ended: a half-received update is dropped.
    pub fn reset(&mut self) {
        self.partial = None;
        self.answered_watches = None;
    }
}

fn check_whole(partial: &PartialUpdate, expected: u32) -> Result<(), UpdateError> {
    if partial.checksum != expected {
        return Err(UpdateError::WrongChecksum { expected, actual: partial.checksum });
    }
    let position = partial.position;
    match partial.resources.iter().find(|resource| resource.revision > position.revision) {
        Some(resource) => Err(UpdateError::RevisionAfterPosition { position, revision: resource.revision }),
        None => Ok(()),
    }
}
