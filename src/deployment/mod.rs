//! The settings of a deployment and the file of a node. Only this module reads them from JSON, validates them and
//! applies defaults. Every error names the key. Unknown keys are ignored, so that a node starts with a newer file.

mod fields;
mod placement;
mod restart_only;
mod schema;
mod tenants;

pub use fields::{FieldError, Fields, Parts};
pub use placement::{NodeFileError, Placement};
pub use restart_only::RestartOnlyError;
pub use tenants::TenantTable;

use crate::admission::snapshot::{AdmissionSnapshot, SnapshotError};
use crate::admission::{AdmissionConfig, AdmissionController};
use crate::host::{Callers, Gauges, Host, Machine, Method, QuotaSettings, SurvivableLoad, Tenant, Upstream};
use crate::names::Names;
use serde_json::value::RawValue;
use std::sync::Arc;

/// The settings of a deployment: the object `options` in the simulator's protocol, and `settings` in a node's file.
/// Clones share the long lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The machine that each server runs on.
    pub machine: Machine,
    /// The load that a server survives.
    pub survivable_load: SurvivableLoad,
    /// The methods, indexed by position.
    pub methods: Arc<[Method]>,
    /// The kind of upstream that requests call.
    pub upstream: Upstream,
    /// The callers, and the advice that they understand.
    pub callers: Callers,
    /// The rules by which quotas are counted.
    pub quotas: QuotaSettings,
    /// The time after the notice to drain within which an arriving request may still be started, in microseconds.
    pub drain_grace_us: u64,
    /// The names of the methods, indexed by position.
    pub method_names: Arc<Names>,
    /// The tenants and their quotas.
    pub tenants: Arc<TenantTable>,
    /// The names of the gauges, in the order of a row of gauge values.
    pub gauge_names: Vec<String>,
    /// Whether requests convey the time that their caller still waits.
    pub conveys_time_left: bool,
}

impl Deployment {
    /// Reads the text of an object. `message` is the path to the object, for errors.
    ///
    /// # Errors
    /// Names the first key that is missing or out of range.
    pub fn read(message: &str, text: &RawValue) -> Result<Deployment, FieldError> {
        schema::read(message, text)
    }

    /// Creates the admission controller of a server of this deployment that starts now.
    pub fn start<H: Host>(&self, host: H, now_us: u64, seed: u64) -> AdmissionController<H> {
        AdmissionController::start(host, now_us, seed, self.admission_config())
    }

    /// Creates an admission controller that continues from the snapshot of a predecessor.
    ///
    /// # Errors
    /// Returns an error if the snapshot does not fit this deployment.
    pub fn resume<H: Host>(
        &self,
        host: H,
        mut snapshot: AdmissionSnapshot,
    ) -> Result<AdmissionController<H>, SnapshotError> {
        snapshot.complete_quotas(self.tenants.quotas(), self.quotas.servers)?;
        AdmissionController::resume(host, self.admission_config(), snapshot)
    }

    fn admission_config(&self) -> AdmissionConfig {
        AdmissionConfig {
            machine: self.machine,
            survivable_load: self.survivable_load,
            methods: self.methods.clone(),
            upstream: self.upstream,
            callers: self.callers,
            quotas: self.quotas.clone(),
            drain_grace_us: self.drain_grace_us,
        }
    }

    /// Returns the position of a method, by its name.
    pub fn method(&self, name: &str) -> Option<usize> {
        self.method_names.position(name)
    }

    /// Returns a tenant, by its name.
    pub fn tenant(&self, name: &str) -> Option<Tenant> {
        self.tenants.find(name)
    }

    /// Returns the controller's gauges from a row of values in the deployment's order.
    pub fn gauges<'a>(&self, row: impl Fn(usize) -> Option<f64> + 'a) -> Gauges {
        let gauge = |name: &str| row(self.gauge_names.iter().position(|known_name| known_name == name)?);
        Gauges { busy: gauge("cpu_busy"), runnable: gauge("runnable"), connections: gauge("sockets") }
    }
}
