//! The tenants of a deployment.

use crate::host::Tenant;
use crate::names::Names;

/// The tenants that a deployment knows, with their quotas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    names: Names,
    /// Requests a second over the whole fleet, by position.
    per_second: Vec<f64>,
}

impl TenantTable {
    /// How many tenants there are. Their ids are below this.
    pub fn len(&self) -> usize {
        self.per_second.len()
    }

    /// Whether no tenants are told apart.
    pub fn is_empty(&self) -> bool {
        self.per_second.is_empty()
    }

    /// Adds a tenant; one of a name that is there already is never found.
    pub fn push(&mut self, name: &str, per_second: f64) {
        self.names.push(name);
        self.per_second.push(per_second);
    }

    /// The tenant of a name, as it comes with a request. Its id is its position.
    pub fn find(&self, name: &str) -> Option<Tenant> {
        let position = self.names.position(name)?;
        Some(Tenant { id: position as u32, per_second: self.per_second[position] })
    }

    /// Gives back memory that was reserved for more tenants.
    pub fn shrink_to_fit(&mut self) {
        self.names.shrink_to_fit();
        self.per_second.shrink_to_fit();
    }

    /// The quotas, by position.
    pub(super) fn quotas(&self) -> &[f64] {
        &self.per_second
    }
}
