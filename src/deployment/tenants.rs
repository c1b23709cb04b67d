//! The table of a deployment's tenants.

use crate::host::Tenant;
use crate::names::Names;

/// The tenants of a deployment, with their quotas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    names: Names,
    /// The quotas, in requests per second over the whole fleet, indexed by position.
    per_second: Vec<f64>,
}

impl TenantTable {
    /// Returns the number of tenants. All tenant ids are below this number.
    pub fn len(&self) -> usize {
        self.per_second.len()
    }

    /// Whether the table contains no tenants.
    pub fn is_empty(&self) -> bool {
        self.per_second.is_empty()
    }

    /// Adds a tenant. If the name already exists, look-ups continue to find the first tenant of that name.
    pub fn push(&mut self, name: &str, per_second: f64) {
        self.names.push(name);
        self.per_second.push(per_second);
    }

    /// Returns the tenant of a name, as given with a request. The tenant's id is its position.
    pub fn find(&self, name: &str) -> Option<Tenant> {
        let position = self.names.position(name)?;
        Some(Tenant { id: position as u32, per_second: self.per_second[position] })
    }

    /// Releases memory that was reserved for more tenants.
    pub fn shrink_to_fit(&mut self) {
        self.names.shrink_to_fit();
        self.per_second.shrink_to_fit();
    }

    /// Returns the quotas, indexed by position.
    pub(super) fn quotas(&self) -> &[f64] {
        &self.per_second
    }
}
