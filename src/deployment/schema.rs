//! The schema of a deployment's settings: the keys, their ranges and their defaults. The keys are an external format
//! and keep their names; the fields that they are read into use the terms of the field.

use super::fields::{FieldError, Fields, Parts};
use super::tenants::TenantTable;
use super::Deployment;
use crate::host::{
    Callers, Effect, Machine, Method, QuotaSettings, SignalKind, Stopping, SurvivableLoad, Upstream,
};
use crate::names::Names;
use serde_json::value::RawValue;
use serde_json::Value;
use std::sync::Arc;

const NS_PER_US: u64 = 1_000;

/// Reads the text of an object, whose long lists are read one element at a time. `message` is the path to the object,
/// for errors.
pub(super) fn read(message: &str, text: &RawValue) -> Result<Deployment, FieldError> {
    let parts = Parts::read(message, text, &["categories", "tenants", "extra"])?;
    let options = parts.fields();
    let extra_parts = parts.object("extra", &["calls-by-class", "class-skip-worth"])?;
    let extra = extra_parts.fields();
    let rules = options.object("rules")?;
    let limits = options.object("policy-limits")?;
    let upstream = upstream(&extra)?;
    let (method_names, methods) = methods(&parts, &extra_parts, upstream)?;
    let tenants = tenants(&parts)?;
    // Keys are checked in this order, so that the error names the first invalid one.
    let respects_retry_after = limits.optional_bool("retry-after")?.unwrap_or(false);
    let machine = machine(&extra)?;
    let survivable_load = survivable_load(&rules, &extra)?;
    let callers = callers(&options, &extra, &limits, respects_retry_after)?;
    let quotas = quota_settings(&options)?;
    let gauge_names =
        extra.optional_list("gauges")?.iter().filter_map(|name| name.as_str().map(String::from));
    Ok(Deployment {
        gauge_names: gauge_names.collect(),
        conveys_time_left: extra.optional_bool("passes-deadline")?.unwrap_or(false),
        drain_grace_us: rules.whole("drain-grace-ns")? / NS_PER_US,
        machine,
        survivable_load,
        methods: methods.into(),
        upstream,
        callers,
        quotas,
        method_names: Arc::new(method_names),
        tenants: Arc::new(tenants),
    })
}

fn upstream(extra: &Fields) -> Result<Upstream, FieldError> {
    Ok(match extra.optional_text("below")? {
        Some("shared") => Upstream::Shared {
            max_calls_in_flight: extra.at_least("call-share", 0.0)?,
            window_us: extra.whole("dep-window-ns")? / NS_PER_US,
            linger_us: extra.optional_whole("stays-for-ns")?.unwrap_or(0) / NS_PER_US,
        },
        Some("tier") => Upstream::Tier,
        Some("silent") | None => Upstream::None,
        Some(_) => return Err(extra.invalid("below", "shared, tier or silent")),
    })
}

fn tenants(parts: &Parts) -> Result<TenantTable, FieldError> {
    let options = parts.fields();
    let mut tenants = TenantTable::default();
    parts.for_each("tenants", |tenant: Value| -> Result<(), FieldError> {
        let tenant = options.part("tenants", &tenant);
        tenants.push(tenant.text("name")?, tenant.at_least("allowance-per-s", 0.0)?);
        Ok(())
    })?;
    tenants.shrink_to_fit();
    Ok(tenants)
}

fn machine(extra: &Fields) -> Result<Machine, FieldError> {
    Ok(Machine {
        cores: extra.positive("cores")? as u32,
        memory_kb: extra.at_least("memory-kb", 1.0)?,
        run_memory_factor: extra.at_least("run-mem-factor", 1.0)?,
        key_kb: extra.optional_number("key-kb")?.unwrap_or(0.0),
        stopping: match extra.optional_text("stop-mode")? {
            Some("pause") => Stopping::Pause,
            Some("drop") => Stopping::Drop,
            Some("silent") | None => Stopping::Never,
            Some(_) => return Err(extra.invalid("stop-mode", "silent, drop or pause")),
        },
        max_connection_idle_us: extra.optional_whole("keepalive-max-ns")?.unwrap_or(0) / NS_PER_US,
    })
}

fn survivable_load(rules: &Fields, extra: &Fields) -> Result<SurvivableLoad, FieldError> {
    let min_cold_speed = rules.at_least("cold-from", 0.0)?;
    if min_cold_speed > 1.0 {
        return Err(rules.invalid("cold-from", "a share of 0 to 1"));
    }
    Ok(SurvivableLoad {
        requests_per_core: rules.at_least("fall-multiple", 1.0)?,
        is_cold: extra.optional_bool("cold")?.unwrap_or(false),
        min_cold_speed,
        warm_within_us: rules.whole("warm-within-ns")? / NS_PER_US,
    })
}

fn callers(
    options: &Fields,
    extra: &Fields,
    limits: &Fields,
    respects_retry_after: bool,
) -> Result<Callers, FieldError> {
    let clients = options.optional("clients", "an object", |value| value.is_object().then_some(value))?;
    let mark_retries = clients.and_then(|clients| clients.get("marks-retry")).and_then(Value::as_bool);
    Ok(Callers {
        signal: match extra.optional_text("signal")? {
            Some("level") => SignalKind::Level,
            Some("credit") => SignalKind::Credit,
            Some("weight") => SignalKind::Weight,
            Some("silent") | None => SignalKind::None,
            Some(_) => return Err(extra.invalid("signal", "level, credit, weight or silent")),
        },
        count: extra.optional_whole("callers")?.unwrap_or(1) as u32,
        mark_retries: mark_retries.unwrap_or(false),
        max_retry_after_us: match limits.optional_whole("max-retry-after-ns")? {
            Some(max_ns) if respects_retry_after => max_ns / NS_PER_US,
            _ => 0,
        },
    })
}

fn quota_settings(options: &Fields) -> Result<QuotaSettings, FieldError> {
    Ok(QuotaSettings {
        counts_by_work: options.optional_text("value-by")? == Some("work"),
        over_quota_value: options.optional_number("over-share-worth")?.unwrap_or(1.0),
        servers: options.optional_whole("servers")?.unwrap_or(1) as u32,
    })
}

/// Reads the methods and their names. `extra` contains further properties of the methods, in separate lists by
/// position.
fn methods(options: &Parts, extra: &Parts, upstream: Upstream) -> Result<(Names, Vec<Method>), FieldError> {
    let (mut may_call, mut value_without_call) = (Vec::new(), Vec::new());
    extra.for_each("calls-by-class", |value: Value| -> Result<(), FieldError> {
        may_call.push(value.as_bool());
        Ok(())
    })?;
    extra.for_each("class-skip-worth", |value: Value| -> Result<(), FieldError> {
        value_without_call.push(value.as_f64());
        Ok(())
    })?;
    let (mut names, mut methods) = (Names::default(), Vec::new());
    let fields = options.fields();
    options.required("categories")?;
    options.for_each("categories", |category: Value| -> Result<(), FieldError> {
        let position = methods.len();
        let category = fields.part("categories", &category);
        names.push(category.text("name")?);
        let may_call = may_call.get(position).copied().flatten().unwrap_or(true);
        methods.push(Method {
            makes_calls: upstream != Upstream::None && may_call,
            value_without_call: value_without_call.get(position).copied().flatten().unwrap_or(0.0),
            ..method(&category)?
        });
        Ok(())
    })?;
    names.shrink_to_fit();
    Ok((names, methods))
}

/// Reads the properties of a method from its category.
fn method(category: &Fields) -> Result<Method, FieldError> {
    Ok(Method {
        criticality: category.at_least("worth", 0.0)?,
        latency_target_us: category.positive("on-time-ns")? / NS_PER_US,
        target_stretch: category.optional_number("aim-stretch")?.unwrap_or(0.0),
        deadline_us: category.positive("deadline-ns")? / NS_PER_US,
        effect: match category.text("idempotency")? {
            "free" => Effect::Idempotent,
            "guarded" => Effect::WithKey,
            "single_shot" => Effect::NonIdempotent,
            _ => return Err(category.invalid("idempotency", "free, guarded or single_shot")),
        },
        key_window_us: category.optional_whole("window-ns")?.unwrap_or(0) / NS_PER_US,
        makes_calls: false,
        value_without_call: 0.0,
    })
}
