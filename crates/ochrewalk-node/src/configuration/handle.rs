//! The configuration of a running node, as its other parts use it.

use super::file_configuration::FileConfiguration;
use super::node_configuration::{ConfigurationInForce, NodeConfiguration, ReplacedFile};
use super::update_error::UpdateError;
use mio::Waker;
use ochrewalk_distribution::messages::Position;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Puts a configuration in force in the running node's listener and upstream.
pub type Activate = Box<dyn Fn(ConfigurationInForce) + Send>;

/// The configuration of a running node, as its other parts see it.
///
/// Whoever changes the configuration holds the lock on `state` until the result is activated, so that two changes are
/// activated in the order in which they were made.
#[derive(Clone)]
pub struct ConfigurationHandle {
    state: Arc<Mutex<NodeConfiguration>>,
    activate: Arc<Mutex<Activate>>,
    /// Tenants whose quotas the agent is to request, or to note as used.
    requested_tenants: SyncSender<Arc<str>>,
    waker: Arc<Waker>,
}

impl ConfigurationHandle {
    pub(super) fn new(
        state: NodeConfiguration,
        activate: Activate,
        requested_tenants: SyncSender<Arc<str>>,
        waker: Waker,
    ) -> ConfigurationHandle {
        ConfigurationHandle {
            state: Arc::new(Mutex::new(state)),
            activate: Arc::new(Mutex::new(activate)),
            requested_tenants,
            waker: Arc::new(waker),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, NodeConfiguration> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Activates what a change led to. The caller still holds the lock of [`Self::state`].
    pub(super) fn activate(&self, in_force: ConfigurationInForce) {
        let activate = self.activate.lock().unwrap_or_else(PoisonError::into_inner);
        activate(in_force);
    }

    /// Notes that a tenant's quota was used, so that it stays in the cache. Of many uses at once some may be lost.
    pub fn record_quota_use(&self, tenant: Arc<str>) {
        let _ = self.requested_tenants.try_send(tenant);
    }

    /// Requests a tenant's quota, unless too many requests wait already.
    pub fn request_quota(&self, tenant: Arc<str>) {
        if self.requested_tenants.try_send(tenant).is_ok() {
            let _ = self.waker.wake();
        }
    }

    /// Replaces what the node's files say. Returns an error for each distributed route that the files now override.
    pub fn replace_file(&self, file: FileConfiguration) -> Vec<UpdateError> {
        let mut state = self.state();
        let ReplacedFile { in_force, overridden } = state.replace_file(file);
        self.activate(in_force);
        overridden
    }

    /// The position in force.
    pub fn position(&self) -> Position {
        self.state().position()
    }
}
