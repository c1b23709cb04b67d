//! A deployment's figures, and a real node's file: read from JSON, checked and given defaults here and nowhere else. Every
//! error names the key. An unknown key is skipped, so that newer files still start.

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

/// What the operators state of a deployment: the object `options` of the simulator's wire, and `settings` in a real node's
/// file. Long lists are shared between clones.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The machine under each server.
    pub machine: Machine,
    /// What a server survives.
    pub survivable_load: SurvivableLoad,
    /// The methods, by position.
    pub methods: Arc<[Method]>,
    /// What requests call.
    pub upstream: Upstream,
    /// The callers, and what they can be told.
    pub callers: Callers,
    /// How quotas are counted.
    pub quotas: QuotaSettings,
    /// After the notice to leave, what arrives within this time may still be started, in microseconds.
    pub drain_grace_us: u64,
    /// The methods' names by position.
    pub method_names: Arc<Names>,
    /// The tenants and their quotas.
    pub tenants: Arc<TenantTable>,
    /// The names of the gauges, in the order of a row of them.
    pub gauge_names: Vec<String>,
    /// Requests convey how long their caller still waits.
    pub conveys_time_left: bool,
}

impl Deployment {
    /// Reads an object's text; `message` is the path to it.
    ///
    /// # Errors
    /// The first key that is missing or out of range.
    pub fn read(message: &str, text: &RawValue) -> Result<Deployment, FieldError> {
        schema::read(message, text)
    }

    /// The admission controller of a server of this deployment that starts now.
    pub fn start<H: Host>(&self, host: H, now_us: u64, seed: u64) -> AdmissionController<H> {
        AdmissionController::start(host, now_us, seed, self.admission_config())
    }

    /// An admission controller that goes on from what another wrote down.
    ///
    /// # Errors
    /// The snapshot does not fit this deployment.
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

    /// The position of a method.
    pub fn method(&self, name: &str) -> Option<usize> {
        self.method_names.position(name)
    }

    /// A tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<Tenant> {
        self.tenants.find(name)
    }

    /// The controller's gauges from a row in the deployment's order.
    pub fn gauges<'a>(&self, row: impl Fn(usize) -> Option<f64> + 'a) -> Gauges {
        let gauge = |name: &str| row(self.gauge_names.iter().position(|known| known == name)?);
        Gauges { busy: gauge("cpu_busy"), runnable: gauge("runnable"), connections: gauge("sockets") }
    }
}
