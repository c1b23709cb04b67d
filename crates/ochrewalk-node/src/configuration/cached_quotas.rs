//! Quotas of tenants, as far as RPCs of this node have named them.

use ochrewalk::host::Tenant;
use ochrewalk_distribution::messages::{ResourceKind, ResourceName, Value};
use ochrewalk_distribution::CompleteUpdate;
use ochrewalk_operator_config::resources::quota_name;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A tenant's quota that was requested and answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedQuota {
    /// The tenant's number here, as long as its quota is cached.
    tenant_id: u32,
    /// RPCs a second over the whole fleet; none where the tenant is known to have no quota.
    per_second: Option<f64>,
}

impl CachedQuota {
    /// The quota that the admission controller charges an RPC of this tenant to; none where the tenant has no quota.
    pub fn quota(&self) -> Option<Tenant> {
        self.per_second.map(|per_second| Tenant { id: self.tenant_id, per_second })
    }
}

/// Quotas by tenant. A tenant that is not there was not requested yet: its RPCs count as within their quota until the answer
/// arrives.
pub type CachedQuotas = BTreeMap<Arc<str>, CachedQuota>;

/// The name of a cached quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedQuotaName {
    /// The name of the resource.
    pub name: ResourceName,
    /// Whether the tenant has a quota; if not, that is what is cached.
    pub is_present: bool,
}

/// The cached quotas, and the numbers of their tenants. A clone shares the quotas with its original.
#[derive(Clone, Debug)]
pub(super) struct QuotaCache {
    quotas: Arc<CachedQuotas>,
    /// The number of the next tenant: none is given twice.
    next_tenant_id: u32,
}

impl QuotaCache {
    /// An empty cache, whose tenants are numbered from `first_tenant_id` on.
    pub(super) fn new(first_tenant_id: u32) -> QuotaCache {
        QuotaCache { quotas: Arc::default(), next_tenant_id: first_tenant_id }
    }

    pub(super) fn quotas(&self) -> Arc<CachedQuotas> {
        self.quotas.clone()
    }

    /// The names of the first `limit` quotas.
    pub(super) fn names(&self, limit: usize) -> Vec<CachedQuotaName> {
        let to_name = |(tenant, quota): (&Arc<str>, &CachedQuota)| CachedQuotaName {
            name: quota_name(tenant),
            is_present: quota.per_second.is_some(),
        };
        self.quotas.iter().take(limit).map(to_name).collect()
    }

    /// Tenants that are known to have no quota.
    pub(super) fn absent(&self) -> Vec<ResourceName> {
        let absent = self.quotas.iter().filter(|(_, quota)| quota.per_second.is_none());
        absent.map(|(tenant, _)| quota_name(tenant)).collect()
    }

    pub(super) fn remove(&mut self, tenant: &str) {
        Arc::make_mut(&mut self.quotas).remove(tenant);
    }

    /// The cache after an update. It shares its quotas with this one where the update changes none.
    pub(super) fn after(&self, update: &CompleteUpdate) -> QuotaCache {
        let mut changed = changed_quotas(update).peekable();
        if !update.is_snapshot && changed.peek().is_none() {
            return self.clone();
        }
        let mut quotas = if update.is_snapshot { CachedQuotas::new() } else { (*self.quotas).clone() };
        let mut next_tenant_id = self.next_tenant_id;
        for (tenant, per_second) in changed {
            // A tenant keeps its number over a change, and with it what the admission controller has charged to its quota.
            let tenant_id = self.quotas.get(tenant).map_or(next_tenant_id, |quota| quota.tenant_id);
            if tenant_id == next_tenant_id {
                next_tenant_id = next_tenant_id.wrapping_add(1);
            }
            quotas.insert(tenant.into(), CachedQuota { tenant_id, per_second });
        }
        QuotaCache { quotas: Arc::new(quotas), next_tenant_id }
    }
}

/// Tenants whose quota an update changes, with the RPCs a second; none where there is no quota any more, or was none.
fn changed_quotas(update: &CompleteUpdate) -> impl Iterator<Item = (&str, Option<f64>)> {
    let is_quota = |name: &ResourceName| name.kind() == ResourceKind::Quota;
    let changed = update.resources.iter().filter(move |resource| is_quota(&resource.name));
    let changed = changed.map(|resource| match &resource.value {
        Some(Value::Quota(quota)) => (resource.name.name.as_str(), Some(quota.per_second)),
        _ => (resource.name.name.as_str(), None),
    });
    let absent = update.absent.iter().filter(move |name| is_quota(name));
    changed.chain(absent.map(|name| (name.name.as_str(), None)))
}
