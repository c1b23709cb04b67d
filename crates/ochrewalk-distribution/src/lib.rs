//! Distribution of versioned configuration to the nodes of a fleet, as state machines without I/O. They decide which
//! batches a publisher accepts, which update each subscriber is sent next, which updates a subscriber applies, and which
//! relay it connects to.
//!
//! The publisher and each relay have a [`Server`] with a [`Store`]. Each relay and each node have a [`Subscription`], a
//! store of their own, and a [`RelayChoice`] among the servers that they may follow.
//!
//! # Guarantees
//!
//! * The state in force at a subscriber is the publisher's state at one position, restricted to the resources that the
//!   subscriber wants and that have been answered: an update is applied completely or not at all.
//! * A subscriber never returns to an older position, and never follows a publisher of an older epoch than the highest
//!   one that it has observed.
//! * All subscribers that stay connected converge on the position of the newest publisher.
//! * The memory used for a subscriber that does not read is bounded, however much is published meanwhile.
//!
//! # States
//!
//! The states of a subscriber in its [`Server`]:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | connecting | [`Server::subscribe`] accepts it | ready |
//! | connecting | too many subscribers are catching up, or the relay has no state yet | rejected; it may retry later |
//! | connecting | it needs a later version, wants too many resources, or has observed a later epoch | refused |
//! | ready | the store is ahead of it, or it requested names | receiving an update |
//! | receiving | a part was sent that is not the last one | receiving |
//! | receiving | the store can no longer complete the update | receiving a snapshot instead |
//! | receiving | the last part was sent | applying |
//! | applying | it reports the position as applied | ready |
//! | applying | it reports the update as rejected | ready, but no update is sent before a later position exists |
//! | any | [`Server::unsubscribe`] | removed |
//!
//! The states of an update in the [`Subscription`]:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | none | a first part that matches the applied position | partial |
//! | partial | the next part, which is not the last one | partial |
//! | partial | the first part of a snapshot | partial, of that snapshot |
//! | partial | the last part, with the right checksum | complete; the caller applies or rejects it |
//! | any | any other part ([`UpdateError`]), or the stream ends | none |
//!
//! # Responsibilities of the caller
//!
//! The state machines do no I/O and read no clock. The caller carries values of [`messages`] over connections, in order
//! and without loss while a connection lasts; passes times as integer microseconds of a monotonic clock; writes a [`Batch`]
//! to durable storage before [`Store::replay`]; makes the batch of [`Store::new_epoch`] durable before it serves; and
//! closes a connection after an error. The caller has to call [`Server::next`] for each subscriber whenever the store has
//! changed, the subscriber has sent a message, or the time of [`NextUpdate::Wait`] has come.
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
//! // The server sends an update, which the node applies and reports.
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
