//! Decides how versioned configuration reaches the nodes of a fleet: what a publisher accepts, what each subscriber is
//! sent next, what a subscriber applies, and which relay it asks. Nothing here does I/O or reads a clock: times come in as
//! whole microseconds of a monotonic clock, and messages go in and out as values of [`messages`].
//!
//! A publisher and each relay have a [`Server`] with a [`Store`]; a relay and each node have a [`Subscription`].
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
pub use status::merge;
pub use store::{ApplyError, Batch, ChangeOrder, Store, StoreLimits, UpdateKind};
pub use subscription::{CompleteUpdate, Received, Subscription, SubscriptionLimits, UpdateError};
pub use validation::{
    ChangeProblem, PublishError, RefusalReason, MAX_BATCH_CHANGES, MAX_NAME_BYTES, MAX_PATH_BYTES,
    MAX_REASONS,
};
