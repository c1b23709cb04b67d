//! A cache of the quotas of tenants that RPCs of this node have named.

use ochrewalk::host::Tenant;
use ochrewalk_distribution::messages::{ResourceKind, ResourceName, Value};
use ochrewalk_distribution::CompleteUpdate;
use ochrewalk_operator_config::resources::quota_name;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The cached reply to a request for a tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedQuota {
    /// The tenant's number on this node, valid as long as the quota is cached.
    tenant_id: u32,
    /// The quota in RPCs per second over the whole fleet; none where the tenant is known to have no quota.
    per_second: Option<f64>,
}

impl CachedQuota {
    /// Returns the quota to which the admission controller charges RPCs of this tenant; none where the tenant has no quota.
    pub fn quota(&self) -> Option<Tenant> {
        self.per_second.map(|per_second| Tenant { id: self.tenant_id, per_second })
    }
}

/// Quotas by tenant. The quota of a tenant without an entry is not known yet: its RPCs count as within the quota until the
/// reply to the request arrives.
pub type CachedQuotas = BTreeMap<Arc<str>, CachedQuota>;

/// The name of a cached quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedQuotaName {
    /// The name of the resource.
    pub name: ResourceName,
    /// Whether the tenant has a quota; otherwise the cached entry states that it has none.
    pub is_present: bool,
}

/// The cached quotas, and the numbers of their tenants. A clone shares the quotas with its original.
#[derive(Clone, Debug)]
pub(super) struct QuotaCache {
    quotas: Arc<CachedQuotas>,
    /// The number of the next tenant. No number is assigned twice.
    next_tenant_id: u32,
}

impl QuotaCache {
    /// Returns an empty cache, whose tenants are numbered from `first_tenant_id` on.
    pub(super) fn new(first_tenant_id: u32) -> QuotaCache {
        QuotaCache { quotas: Arc::default(), next_tenant_id: first_tenant_id }
    }

    pub(super) fn quotas(&self) -> Arc<CachedQuotas> {
        self.quotas.clone()
    }

    /// Returns the names of the first `limit` quotas.
    pub(super) fn names(&self, limit: usize) -> Vec<CachedQuotaName> {
        let to_name = |(tenant, quota): (&Arc<str>, &CachedQuota)| CachedQuotaName {
            name: quota_name(tenant),
            is_present: quota.per_second.is_some(),
        };
        self.quotas.iter().take(limit).map(to_name).collect()
    }

    /// Returns the names of the quotas that are known not to exist.
    pub(super) fn absent(&self) -> Vec<ResourceName> {
        let absent = self.quotas.iter().filter(|(_, quota)| quota.per_second.is_none());
        absent.map(|(tenant, _)| quota_name(tenant)).collect()
    }

    pub(super) fn remove(&mut self, tenant: &str) {
        Arc::make_mut(&mut self.quotas).remove(tenant);
    }

    /// Returns the cache after an update. Both caches share their quotas where the update changes none.
    pub(super) fn after(&self, update: &CompleteUpdate) -> QuotaCache {
        let mut changed = changed_quotas(update).peekable();
        if !update.is_snapshot && changed.peek().is_none() {
            return self.clone();
        }
        let mut quotas = if update.is_snapshot { CachedQuotas::new() } else { (*self.quotas).clone() };
        let mut next_tenant_id = self.next_tenant_id;
        for (tenant, per_second) in changed {
            // A tenant keeps its number over a change, so that the charges of the admission controller to its quota remain.
            let tenant_id = self.quotas.get(tenant).map_or(next_tenant_id, |quota| quota.tenant_id);
            if tenant_id == next_tenant_id {
                next_tenant_id = next_tenant_id.wrapping_add(1);
            }
            quotas.insert(tenant.into(), CachedQuota { tenant_id, per_second });
        }
        QuotaCache { quotas: Arc::new(quotas), next_tenant_id }
    }
}

/// Returns the tenants whose quota an update changes, with the RPCs per second; none where the quota was deleted or does not
/// exist.
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
