//! The configuration of a running node, as its other parts use it.

use super::file_configuration::FileConfiguration;
use super::node_configuration::{ConfigurationInForce, NodeConfiguration};
use super::update_error::UpdateError;
use mio::Waker;
use ochrewalk_distribution::messages::Position;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Puts a configuration in force in the running node's listener and upstream.
pub type Activate = Box<dyn Fn(ConfigurationInForce) + Send>;

/// The configuration of a running node, as its other parts see it.
#[derive(Clone)]
pub struct ConfigurationHandle {
    pub(super) state: Arc<Mutex<NodeConfiguration>>,
    pub(super) activate: Arc<Mutex<Activate>>,
    pub(super) requested_tenants: SyncSender<Arc<str>>,
    pub(super) waker: Arc<Waker>,
}

impl ConfigurationHandle {
    pub(super) fn state(&self) -> MutexGuard<'_, NodeConfiguration> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn activate(&self, in_force: ConfigurationInForce) {
        let activate = self.activate.lock().unwrap_or_else(PoisonError::into_inner);
        activate(in_force);
    }

    /// A tenant's quota was used, so that it stays in the cache. Some of many uses at once may be lost.
    pub fn record_quota_use(&self, tenant: Arc<str>) {
        let _ = self.requested_tenants.try_send(tenant);
    }

    /// Requests a tenant's quota, unless too many requests wait already.
    pub fn request_quota(&self, tenant: Arc<str>) {
        if self.requested_tenants.try_send(tenant).is_ok() {
            let _ = self.waker.wake();
        }
    }

    /// The node's files have changed. Gives what of the distributed configuration no longer fits them.
    pub fn replace_file(&self, file: FileConfiguration) -> Vec<UpdateError> {
        // Held over both, so that an update cannot come between and be undone.
        let mut state = self.state();
        let (in_force, faults) = state.replace_file(file);
        self.activate(in_force);
        faults
    }

    /// The position in force.
    pub fn position(&self) -> Position {
        self.state().position()
    }
}
