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

/// The bounds of a [`Subscription`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubscriptionLimits {
    /// The largest update that is accepted, in encoded bytes of all parts.
    pub max_update_bytes: usize,
    /// The highest rate at which the subscriber asks to be sent updates, in bytes per second; 0 for no bound.
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
    /// The position of the state after this update.
    pub position: Position,
    /// Whether the update replaces the subscriber's state instead of adding to it.
    pub is_snapshot: bool,
    /// The changed resources. A resource without a value is deleted.
    pub resources: Vec<Arc<Resource>>,
    /// The watched names that have no resource: the caller's default applies to them.
    pub absent: Vec<ResourceName>,
    /// The oldest revision from which differences are complete after this snapshot.
    pub horizon: u64,
}

/// The result of receiving a part of an update.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// The update has further parts.
    More,
    /// All parts were received and are consistent. Once the update is in force or was rejected, the caller calls
    /// [`Subscription::applied`] or [`Subscription::rejected`].
    Complete(CompleteUpdate),
}

/// The reason why a part of an update was not accepted. The state in force does not change, and the caller closes the
/// connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// A part is missing, or was received twice.
    #[error("received part {part} of the update, expected part {expected}")]
    WrongPart {
        /// The number of the expected part.
        expected: u32,
        /// The number of the received part.
        part: u32,
    },
    /// The server follows a publisher that was replaced.
    #[error("the update has epoch {update}, but epoch {highest} was already observed")]
    OlderEpoch {
        /// The highest epoch observed.
        highest: u64,
        /// The update's epoch.
        update: u64,
    },
    /// The update leads to an older position.
    #[error("the update leads to {update:?}, which is older than {newer:?}")]
    OlderPosition {
        /// The applied position, or that of the previous part.
        newer: Position,
        /// The position of the part.
        update: Position,
    },
    /// The differences start from another position than the applied one.
    #[error("the update contains differences from {base:?}, but {applied:?} is applied")]
    WrongBase {
        /// The applied position.
        applied: Option<Position>,
        /// The position from which the differences start.
        base: Option<Position>,
    },
    /// The update is larger than its bound.
    #[error("the update is larger than {limit} bytes")]
    TooLarge {
        /// The bound, in encoded bytes of all parts.
        limit: usize,
    },
    /// The received resources differ from those that were sent.
    #[error("the checksum of the update is {actual:#010x}, but the server sent {expected:#010x}")]
    WrongChecksum {
        /// The CRC-32 that the server sent.
        expected: u32,
        /// The CRC-32 of the received resources.
        actual: u32,
    },
    /// A resource has a later revision than the update that contains it.
    #[error("a resource has revision {revision}, which is later than the update's {position:?}")]
    RevisionAfterPosition {
        /// The position of the update.
        position: Position,
        /// The revision of the resource.
        revision: u64,
    },
}

/// The received parts of an update whose last part is missing.
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

/// Returns the checksum of the resources with `checksum` followed by `resource`.
pub(crate) fn extend_checksum(checksum: u32, resource: &Resource) -> u32 {
    let mut hasher = Hasher::new_with_initial(checksum);
    hasher.update(&resource.encode_to_vec());
    hasher.finalize()
}

/// The subscriber's side of a stream of updates, in a node or a relay.
#[derive(Clone, Debug)]
pub struct Subscription {
    node: String,
    region: String,
    interest: Interest,
    /// The watched names that no applied update has answered, with the number of the watch on this stream that requested
    /// them.
    unanswered: BTreeMap<ResourceName, u64>,
    /// The number of watches that were sent on this stream.
    watches: u64,
    applied: Option<Position>,
    highest_epoch: u64,
    limits: SubscriptionLimits,
    partial: Option<PartialUpdate>,
    /// The number of watches that the most recently completed update answers.
    answered_watches: Option<u64>,
    last_message_us: Option<u64>,
}

impl Subscription {
    /// Creates a subscription of `node`. `saved` is the position of its persisted state, if it has one; that state
    /// includes the single names of `interest`.
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

    /// Returns the resources that the subscriber wants now.
    pub fn interest(&self) -> &Interest {
        &self.interest
    }

    /// Returns the applied position.
    pub fn position(&self) -> Option<Position> {
        self.applied
    }

    /// Returns the highest epoch observed.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Records that a publisher of `epoch` exists. Updates of older epochs are refused from now on.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Returns the first message of a stream. The message of [`unanswered_watch`](Self::unanswered_watch) follows it on
    /// the same stream.
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

    /// Returns a watch of the names whose answer was not applied before the last stream ended. The caller calls this
    /// method once per stream, right after [`subscribe_message`](Self::subscribe_message).
    pub fn unanswered_watch(&mut self) -> Option<Watch> {
        let is_requested_again = self.applied.is_some() && !self.unanswered.is_empty();
        self.watches = u64::from(is_requested_again);
        self.unanswered.values_mut().for_each(|watch| *watch = self.watches);
        is_requested_again
            .then(|| Watch { add: self.unanswered.keys().cloned().collect(), remove: Vec::new() })
    }

    /// Adds the names of `watch` to the subscription and removes others from it. The caller sends `watch` on the stream,
    /// if the stream is open.
    pub fn watch(&mut self, watch: &Watch) {
        self.watches += 1;
        for name in &watch.remove {
            self.interest.names.remove(name);
            self.unanswered.remove(name);
        }
        for name in &watch.add {
            // The server continues to send changes of a name that was requested before. If that name became unanswered
            // again, its deletion in an update in progress would not be applied, and the old value would stay in force.
            let is_new = self.interest.names.insert(name.clone());
            if is_new {
                self.unanswered.insert(name.clone(), self.watches);
            }
        }
    }

    /// Adds a received part to the current update.
    ///
    /// # Errors
    ///
    /// Returns an error if the part cannot belong to a complete and newer update; the parts received so far are dropped.
    pub fn received(&mut self, update: Update) -> Result<Received, UpdateError> {
        let partial = self.partial.take();
        let partial = match partial {
            // A server that can no longer complete its update starts a snapshot instead.
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
        partial.resources.retain(|resource| self.should_apply(&resource.name, watches));
        partial.absent.retain(|name| self.should_apply(name, watches));
        CompleteUpdate {
            position: partial.position,
            is_snapshot: partial.is_snapshot,
            resources: partial.resources,
            absent: partial.absent,
            horizon,
        }
    }

    /// Whether the content of `name` in an update that answers the first `watches` watches should be applied. The value
    /// of a name that was removed meanwhile would become stale. The same holds for a name that was removed and added
    /// again, until the server has processed both watches.
    fn should_apply(&self, name: &ResourceName, watches: u64) -> bool {
        let is_in_scope = self.interest.everything || self.interest.scopes.contains(&name.scope);
        let is_answered = self.unanswered.get(name).is_none_or(|watch| *watch <= watches);
        is_in_scope || (self.interest.names.contains(name) && is_answered)
    }

    /// Records that the complete update of `position` is in force. The caller sends the report to the server, which sends
    /// no further update before.
    pub fn applied(&mut self, position: Position) -> Report {
        self.applied = Some(position);
        self.observe_epoch(position.epoch);
        if let Some(answered) = self.answered_watches.take() {
            self.unanswered.retain(|_, watch| *watch > answered);
        }
        Report { applied: position, rejected: None }
    }

    /// Records that this subscriber cannot apply the complete update of `position`; the previous state stays in force.
    /// The caller sends the report to the server, which sends no update until a later position exists.
    pub fn rejected(&mut self, position: Position, reason: impl Into<String>) -> Report {
        self.answered_watches = None;
        let rejection = Rejection { position, node: self.node.clone(), reason: reason.into() };
        Report { applied: self.applied.unwrap_or_default(), rejected: Some(rejection) }
    }

    /// Records that a message of any kind was received from the server.
    pub fn message_received(&mut self, now_us: u64) {
        self.last_message_us = Some(now_us);
    }

    /// Returns the time at which the last message was received from the server, in microseconds.
    pub fn last_message_us(&self) -> Option<u64> {
        self.last_message_us
    }

    /// Returns the time since the last message was received, in milliseconds, or `None` before the first message.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        let age_us = now_us.saturating_sub(self.last_message_us?);
        Some(age_us / MICROSECONDS_PER_MILLISECOND)
    }

    /// Drops an incomplete update after the stream has ended.
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
