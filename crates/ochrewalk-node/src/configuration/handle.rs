//! The handle by which other parts of a running node use its configuration.

use super::file_configuration::FileConfiguration;
use super::node_configuration::{ConfigurationInForce, NodeConfiguration, ReplacedFile};
use super::update_error::UpdateError;
use mio::Waker;
use ochrewalk_distribution::messages::Position;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Activates a configuration in the running node's listener and upstream.
pub type Activate = Box<dyn Fn(ConfigurationInForce) + Send>;

/// A handle of a running node's configuration.
///
/// A change of the configuration holds the lock on `state` until the result is activated, so that two changes are activated
/// in the order in which they were made.
#[derive(Clone)]
pub struct ConfigurationHandle {
    state: Arc<Mutex<NodeConfiguration>>,
    activate: Arc<Mutex<Activate>>,
    /// The channel of tenants whose quotas the agent has to request, or to mark as used.
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

    /// Activates the result of a change. The caller must still hold the lock of [`Self::state`].
    pub(super) fn activate(&self, in_force: ConfigurationInForce) {
        let activate = self.activate.lock().unwrap_or_else(PoisonError::into_inner);
        activate(in_force);
    }

    /// Marks a tenant's quota as used, so that it stays in the cache. Some of many simultaneous uses may be lost.
    pub fn record_quota_use(&self, tenant: Arc<str>) {
        let _ = self.requested_tenants.try_send(tenant);
    }

    /// Requests a tenant's quota, unless too many requests are queued already.
    pub fn request_quota(&self, tenant: Arc<str>) {
        if self.requested_tenants.try_send(tenant).is_ok() {
            let _ = self.waker.wake();
        }
    }

    /// Replaces the configuration of the node's files. Returns an error for each distributed route that the files now
    /// override.
    pub fn replace_file(&self, file: FileConfiguration) -> Vec<UpdateError> {
        let mut state = self.state();
        let ReplacedFile { in_force, overridden } = state.replace_file(file);
        self.activate(in_force);
        overridden
    }

    /// Returns the position of the configuration in force.
    pub fn position(&self) -> Position {
        self.state().position()
    }
}
