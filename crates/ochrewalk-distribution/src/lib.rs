//! Distribution of versioned configuration to the nodes of a fleet, as state machines without I/O: what a publisher accepts,
//! what each subscriber is sent next, what a subscriber applies, and which relay it connects to.
//!
//! A publisher and each relay have a [`Server`] with a [`Store`]; a relay and each node have a [`Subscription`], a store of
//! their own, and a [`RelayChoice`] among the servers that they may follow.
//!
//! # Guarantees
//!
//! * What a subscriber has in force is the publisher's state at one position, of all that it wants and was answered: an
//!   update is applied complete or not at all.
//! * A subscriber never goes back to an older position, and never follows a publisher of an older epoch than it has observed.
//! * All subscribers that stay connected end up at the position of the newest publisher.
//! * The memory for a subscriber that does not read is bounded, whatever is published meanwhile.
//!
//! # States
//!
//! A subscriber, as its [`Server`] sees it:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | connecting | [`Server::subscribe`] accepts it | ready |
//! | connecting | too many are caught up, or the relay has no state yet | rejected, to retry later |
//! | connecting | it needs a later version, wants too much, or has observed a later epoch | refused |
//! | ready | the store is ahead of it, or it requested names | receiving an update |
//! | receiving | a part was sent, and another one is due | receiving |
//! | receiving | the store can no longer complete the update | receiving a snapshot in place of it |
//! | receiving | the last part was sent | applying |
//! | applying | it reports the position as applied | ready |
//! | applying | it reports the update as rejected | ready, but sent nothing until there is a later position |
//! | any | [`Server::unsubscribe`] | removed |
//!
//! An update, as the [`Subscription`] sees it:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | none | a first part that fits the position in force | partial |
//! | partial | the next part, which is not the last one | partial |
//! | partial | the first part of a snapshot | partial, of that snapshot |
//! | partial | the last part, with the right checksum | complete; the caller applies or rejects it |
//! | any | any other part ([`UpdateError`]), or the stream ends | none |
//!
//! # What is left to the caller
//!
//! Nothing here does I/O or reads a clock. The caller carries values of [`messages`] over connections, in order and without
//! loss while a connection lasts; passes times as whole microseconds of a monotonic clock; writes a [`Batch`] to durable
//! storage before [`Store::replay`]; makes the batch of [`Store::new_epoch`] durable before it serves; and closes a connection
//! after an error. It has to call [`Server::next`] for each subscriber whenever the store has changed, the subscriber has sent
//! something, or the time of [`NextUpdate::Wait`] has come.
//!
//! # Example
//!
//! ```
//! use ochrewalk_distribution::messages::{Quota, Resource, ResourceKind, ResourceName, Value};
//! use ochrewalk_distribution::{
//!     Admission, Interest, NextUpdate, Received, Server, ServerLimits, Store, StoreLimits, Subscription,
//!     SubscriptionLimits,
//! };
//!
//! // A publisher publishes a quota.
//! let store = Store::new(1, StoreLimits::default());
//! let mut server = Server::new("publisher", "north", store, ServerLimits::default());
//! let name = ResourceName::new(ResourceKind::Quota, "orders", "tenant-1");
//! let change = Resource::set(name.clone(), Value::Quota(Quota { per_second: 50.0 }));
//! let batch = server.store_mut().publish(&[change], None)?;
//!
//! // A node subscribes to its scope.
//! let mut state = Store::new(0, StoreLimits::default());
//! let limits = SubscriptionLimits::default();
//! let mut subscription = Subscription::new("node-1", "north", Interest::scopes(["orders"]), None, limits);
//! let Admission::Accepted(id) = server.subscribe(0, subscription.subscribe_message()) else { panic!() };
//!
//! // It is sent an update, applies it and reports.
//! let NextUpdate::Send(update) = server.next(id, 0) else { panic!() };
//! let Received::Complete(update) = subscription.received(update)? else { panic!() };
//! state.apply(&update)?;
//! server.report(id, subscription.applied(update.position));
//! assert_eq!(state.position(), batch.position);
//! assert!(state.get(&name).is_some());
//! assert_eq!(server.next(id, 0), NextUpdate::Idle);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

#![warn(missing_docs)]

mod catch_up;
mod demand;
mod epochs;
mod interest;
pub mod messages;
mod pacing;
mod part_builder;
mod relay_choice;
mod rollback;
mod server;
mod status;
mod store;
mod subscription;
mod update_builder;
mod validation;

pub use catch_up::CatchUpLimits;
pub use demand::{DemandSet, DemandState};
pub use epochs::EpochStart;
pub use interest::Interest;
pub use relay_choice::{Choice, NoRelays, ProbeResult, RelayChoice, RelayChoiceLimits};
pub use rollback::{rollback_changes, RollbackError};
pub use server::{Admission, NextUpdate, Server, ServerLimits, SubscribeError, SubscriberId};
pub use status::merge_region_statuses;
pub use store::{ApplyError, Batch, ChangeOrder, Store, StoreLimits, UpdateKind};
pub use subscription::{CompleteUpdate, Received, Subscription, SubscriptionLimits, UpdateError};
pub use validation::{
    ChangeProblem, PublishError, RefusalReason, MAX_BATCH_CHANGES, MAX_NAME_BYTES, MAX_PATH_BYTES,
    MAX_REASONS,
};
