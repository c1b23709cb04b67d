//! Decides what a subscriber applies: the parts of an update are collected and checked, and applied only together.

use std::collections::BTreeMap;
use std::sync::Arc;

use crc32fast::Hasher;
use prost::Message;

use crate::interest::Interest;
use crate::messages::{
    Position, Rejection, Report, Resource, ResourceName, Subscribe, Update, Watch, PROTOCOL_VERSION,
};
use crate::pacing::MICROSECONDS_PER_MILLISECOND;

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
    /// The position that it leads to.
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

/// The result of receiving a part of an update.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// Further parts are due.
    More,
    /// All parts have come and fit together. Once the update is in force or was rejected, call [`Subscription::applied`]
    /// or [`Subscription::rejected`].
    Complete(CompleteUpdate),
}

/// Why a part of an update was not accepted. What is in force stays as it was, and the caller is to close the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// A part is missing, or came twice.
    #[error("part {part} came where part {expected} was due")]
    WrongPart {
        /// The number of the part that was due.
        expected: u32,
        /// The number of the part that came.
        part: u32,
    },
    /// The server follows a publisher that was replaced.
    #[error("the update has epoch {update}, and epoch {highest} was heard of")]
    OlderEpoch {
        /// The highest epoch observed.
        highest: u64,
        /// The update's epoch.
        update: u64,
    },
    /// The update would lead back.
    #[error("the update leads to {update:?}, older than {newer:?}")]
    OlderPosition {
        /// The position in force, or of the part before.
        newer: Position,
        /// The part's position.
        update: Position,
    },
    /// The differences are from another position than the one in force.
    #[error("the differences are from {base:?}, and {applied:?} is applied")]
    WrongBase {
        /// The position in force.
        applied: Option<Position>,
        /// The position that they are differences from.
        base: Option<Position>,
    },
    /// The update is above its bound.
    #[error("the update is larger than {limit} bytes")]
    TooLarge {
        /// The bound, in encoded bytes of all parts.
        limit: usize,
    },
    /// The resources are not those that were sent.
    #[error("the checksum is {actual:#010x}, and the sender's {expected:#010x}")]
    WrongChecksum {
        /// The sender's CRC-32.
        expected: u32,
        /// The CRC-32 of the resources that came.
        actual: u32,
    },
    /// A resource is newer than the update that it came in.
    #[error("a resource has revision {revision}, after the update's {position:?}")]
    RevisionAfterPosition {
        /// The update's position.
        position: Position,
        /// The resource's revision.
        revision: u64,
    },
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
    last_message_us: Option<u64>,
}

impl Subscription {
    /// A subscription of `node`. `saved` is the position of its persisted state, if it has one; the single names of `interest`
    /// are part of that state.
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
            last_message_us: None,
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

    /// The highest epoch observed.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// There is a publisher of `epoch`. Updates of older epochs are refused from now on.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// The first message of a stream. [`unanswered_watch`](Self::unanswered_watch) is to follow it on the same stream.
    pub fn subscribe_message(&self) -> Subscribe {
        let is_answered =
            |name: &&ResourceName| self.applied.is_none() || !self.unanswered.contains_key(*name);
        Subscribe {
            version: PROTOCOL_VERSION,
            node: self.node.clone(),
            region: self.region.clone(),
            applied: self.applied,
            scopes: self.interest.scopes.iter().cloned().collect(),
            names: self.interest.names.iter().filter(is_answered).cloned().collect(),
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

    /// A part of an update was received.
    ///
    /// # Errors
    ///
    /// Where the part cannot belong to a complete and newer update; what was received of the update is dropped.
    pub fn received(&mut self, update: Update) -> Result<Received, UpdateError> {
        let partial = self.partial.take();
        let partial = match partial {
            // A server that can no longer complete its update begins a snapshot in place of it.
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
        check_complete(&partial, update.checksum)?;
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
        partial.resources.retain(|resource| self.is_to_be_applied(&resource.name, watches));
        partial.absent.retain(|name| self.is_to_be_applied(name, watches));
        CompleteUpdate {
            position: partial.position,
            is_snapshot: partial.is_snapshot,
            resources: partial.resources,
            absent: partial.absent,
            horizon,
        }
    }

    /// Whether to apply what an update that answers the first `watches` watches contains of `name`. A name that was removed
    /// meanwhile would go stale; so would one that was removed and added again, until the server has processed that.
    fn is_to_be_applied(&self, name: &ResourceName, watches: u64) -> bool {
        let is_of_scope = self.interest.everything || self.interest.scopes.contains(&name.scope);
        let is_answered = self.unanswered.get(name).is_none_or(|watch| *watch <= watches);
        is_of_scope || (self.interest.names.contains(name) && is_answered)
    }

    /// The complete update of `position` is in force. Send the report to the server, which sends no further update before.
    pub fn applied(&mut self, position: Position) -> Report {
        self.applied = Some(position);
        self.observe_epoch(position.epoch);
        if let Some(answered) = self.answered_watches.take() {
            self.unanswered.retain(|_, watch| *watch > answered);
        }
        Report { applied: position, rejected: None }
    }

    /// The complete update of `position` cannot be applied by this subscriber: the earlier one stays in force. Send the
    /// report to the server, which sends nothing more until there is a later position.
    pub fn rejected(&mut self, position: Position, reason: impl Into<String>) -> Report {
        self.answered_watches = None;
        let rejection = Rejection { position, node: self.node.clone(), reason: reason.into() };
        Report { applied: self.applied.unwrap_or_default(), rejected: Some(rejection) }
    }

    /// Any message was received from the server.
    pub fn message_received(&mut self, now_us: u64) {
        self.last_message_us = Some(now_us);
    }

    /// When the last message was received from the server, in microseconds.
    pub fn last_message_us(&self) -> Option<u64> {
        self.last_message_us
    }

    /// The time since the last message was received, in milliseconds; none if there was none.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        let age_us = now_us.saturating_sub(self.last_message_us?);
        Some(age_us / MICROSECONDS_PER_MILLISECOND)
    }

    /// The stream ended: an incomplete update is dropped.
    pub fn reset(&mut self) {
        self.partial = None;
        self.answered_watches = None;
    }
}

fn check_complete(partial: &PartialUpdate, expected: u32) -> Result<(), UpdateError> {
    if partial.checksum != expected {
        return Err(UpdateError::WrongChecksum { expected, actual: partial.checksum });
    }
    let position = partial.position;
    match partial.resources.iter().find(|resource| resource.revision > position.revision) {
        Some(resource) => Err(UpdateError::RevisionAfterPosition { position, revision: resource.revision }),
        None => Ok(()),
    }
}
