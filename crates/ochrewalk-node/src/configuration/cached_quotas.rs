//! Quotas of tenants, as far as RPCs of this node have named them.

use ochrewalk::host::Tenant;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A tenant's quota that was requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedQuota {
    /// The tenant's number here, as long as its quota is cached.
    pub(super) id: u32,
    /// RPCs a second over the whole fleet; none where it is known to have no quota.
    pub(super) per_second: Option<f64>,
}

impl CachedQuota {
    /// What the decision module is told of an RPC of this tenant; nothing where it has no quota.
    pub fn quota(&self) -> Option<Tenant> {
        self.per_second.map(|per_second| Tenant { id: self.id, per_second })
    }
}

/// Quotas by tenant. One that is not there was not requested yet: its RPCs count as within their quota until the
/// answer comes.
pub type CachedQuotas = BTreeMap<Arc<str>, CachedQuota>;
