//! A deployment's figures: read from JSON, checked and given defaults here and nowhere else. Every message
//! names the key at fault. A key that is not known is passed over, so that newer files still start.

use crate::admission::snapshot::{AdmissionSnapshot, SnapshotError};
use crate::admission::{AdmissionConfig, AdmissionController};
use crate::host::{
    Advice, Below, Crowd, Effect, Host, Machine, Method, Outcome, Quotas, SentBack, Stopping, Tenant,
};
use crate::json::{self, Object};
use crate::names::Names;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::borrow::Cow;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// What the operators state of a deployment: the object `options` of the simulator's wire, and `settings` in
/// a real node's file. Long lists are shared between clones.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub machine: Machine,
    pub crowd: Crowd,
    pub methods: Arc<[Method]>,
    pub below: Below,
    pub advice: Advice,
    pub quotas: Quotas,
    pub drain_grace_us: u64,
    /// The methods' names by the position that the module knows them by.
    pub method_names: Arc<Names>,
    pub tenants: Arc<TenantTable>,
    /// The order of the gauges.
    pub gauges: Vec<String>,
    /// RPCs tell how long their caller still waits.
    pub passes_deadline: bool,
}

impl Deployment {
    /// Reads an object's text; `msg` is the way to it. Its long lists are read one element at a time.
    pub fn read(msg: &str, text: &RawValue) -> Result<Deployment, String> {
        let parts = Parts::read(msg, text, &["categories", "tenants", "extra"])?;
        let options = parts.fields();
        let extra_parts = parts.object("extra", &["calls-by-class", "class-skip-worth"])?;
        let extra = extra_parts.fields();
        let rules = options.object("rules")?;
        let limits = options.object("policy-limits")?;
        let below = read_below(&extra)?;
        let (method_names, methods) = read_methods(&parts, &extra_parts, below != Below::Nothing)?;
        let mut tenants = TenantTable::default();
        parts.for_each("tenants", |tenant: Value| {
            let tenant = options.part("tenants", &tenant);
            tenants.push(tenant.text("name")?, tenant.at_least("allowance-per-s", 0.0)?);
            Ok(())
        })?;
        tenants.shrink_to_fit();
        let heeds = limits.maybe_bool("retry-after")?.unwrap_or(false);
        let machine = Machine {
            cores: extra.positive("cores")? as u32,
            memory_kb: extra.at_least("memory-kb", 1.0)?,
            run_factor: extra.at_least("run-mem-factor", 1.0)?,
            key_kb: extra.maybe_number("key-kb")?.unwrap_or(0.0),
            stopping: match extra.maybe_text("stop-mode")? {
                Some("pause") => Stopping::Pause,
                Some("drop") => Stopping::Drop,
                Some("silent") | None => Stopping::Never,
                Some(_) => return Err(extra.bad("stop-mode", "silent, drop or pause")),
            },
            idle_most_us: extra.maybe_whole("keepalive-max-ns")?.unwrap_or(0) / 1_000,
        };
        let cold_from = rules.at_least("cold-from", 0.0)?;
        if cold_from > 1.0 {
            return Err(rules.bad("cold-from", "a share of 0 to 1"));
        }
        let crowd = Crowd {
            multiple: rules.at_least("fall-multiple", 1.0)?,
            cold: extra.maybe_bool("cold")?.unwrap_or(false),
            cold_from,
            warm_within_us: rules.whole("warm-within-ns")? / 1_000,
        };
        let clients = options.maybe("clients", "an object", |v| v.is_object().then_some(v))?;
        let advice = Advice {
            sent_back: match extra.maybe_text("signal")? {
                Some("level") => SentBack::Level,
                Some("credit") => SentBack::Credit,
                Some("weight") => SentBack::Weight,
                Some("silent") | None => SentBack::Nothing,
                Some(_) => return Err(extra.bad("signal", "level, credit, weight or silent")),
            },
            callers: extra.maybe_whole("callers")?.unwrap_or(1) as u32,
            marks_tries: clients.and_then(|c| c.get("marks-retry")).and_then(Value::as_bool).unwrap_or(false),
            max_come_back_us: match limits.maybe_whole("max-retry-after-ns")? {
                Some(most) if heeds => most / 1_000,
                _ => 0,
            },
        };
        let quotas = Quotas {
            by_work: options.maybe_text("value-by")? == Some("work"),
            over_quota: options.maybe_number("over-share-worth")?.unwrap_or(1.0),
            servers: options.maybe_whole("servers")?.unwrap_or(1) as u32,
        };
        let names = extra.maybe_list("gauges")?.iter().filter_map(|g| g.as_str().map(String::from));
        Ok(Deployment {
            gauges: names.collect(),
            passes_deadline: extra.maybe_bool("passes-deadline")?.unwrap_or(false),
            drain_grace_us: rules.whole("drain-grace-ns")? / 1_000,
            machine,
            crowd,
            methods: methods.into(),
            below,
            advice,
            quotas,
            method_names: Arc::new(method_names),
            tenants: Arc::new(tenants),
        })
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
        snapshot.complete_quotas(&self.tenants.per_second, self.quotas.servers)?;
        AdmissionController::resume(host, self.admission_config(), snapshot)
    }

    fn admission_config(&self) -> AdmissionConfig {
        AdmissionConfig {
            machine: self.machine,
            crowd: self.crowd,
            methods: self.methods.clone(),
            below: self.below,
            advice: self.advice,
            quotas: self.quotas.clone(),
            drain_grace_us: self.drain_grace_us,
        }
    }

    pub fn method(&self, name: &str) -> Option<usize> {
        self.method_names.position(name)
    }

    pub fn tenant(&self, name: &str) -> Option<Tenant> {
        self.tenants.find(name)
    }

    /// The module's gauges from a row in the deployment's order.
    pub fn gauges<'a>(&self, row: impl Fn(usize) -> Option<f64> + 'a) -> crate::host::Gauges {
        let gauge = |name: &str| row(self.gauges.iter().position(|n| n == name)?);
        crate::host::Gauges {
            busy: gauge("cpu_busy"),
            runnable: gauge("runnable"),
            connections: gauge("sockets"),
        }
    }
}

fn read_below(extra: &Fields) -> Result<Below, String> {
    Ok(match extra.maybe_text("below")? {
        Some("shared") => Below::Shared {
            share: extra.at_least("call-share", 0.0)?,
            window_us: extra.whole("dep-window-ns")? / 1_000,
            linger_us: extra.maybe_whole("stays-for-ns")?.unwrap_or(0) / 1_000,
        },
        Some("tier") => Below::Tier,
        Some("silent") | None => Below::Nothing,
        Some(_) => return Err(extra.bad("below", "shared, tier or silent")),
    })
}

fn read_methods(options: &Parts, extra: &Parts, below: bool) -> Result<(Names, Vec<Method>), String> {
    let (mut may_call, mut skip) = (Vec::new(), Vec::new());
    extra.for_each("calls-by-class", |may: Value| {
        may_call.push(may.as_bool());
        Ok(())
    })?;
    extra.for_each("class-skip-worth", |share: Value| {
        skip.push(share.as_f64());
        Ok(())
    })?;
    let (mut names, mut methods) = (Names::default(), Vec::new());
    let fields = options.fields();
    options.required("categories")?;
    options.for_each("categories", |category: Value| {
        let (at, category) = (methods.len(), fields.part("categories", &category));
        names.push(category.text("name")?);
        methods.push(Method {
            criticality: category.at_least("worth", 0.0)?,
            latency_target_us: category.positive("on-time-ns")? / 1_000,
            target_stretch: category.maybe_number("aim-stretch")?.unwrap_or(0.0),
            deadline_us: category.positive("deadline-ns")? / 1_000,
            effect: match category.text("idempotency")? {
                "free" => Effect::Idempotent,
                "guarded" => Effect::Tokened,
                "single_shot" => Effect::NonIdempotent,
                _ => return Err(category.bad("idempotency", "free, guarded or single_shot")),
            },
            window_us: category.maybe_whole("window-ns")?.unwrap_or(0) / 1_000,
            calls: below && may_call.get(at).copied().flatten().unwrap_or(true),
            skip_share: skip.get(at).copied().flatten().unwrap_or(0.0),
        });
        Ok(())
    })?;
    names.shrink_to_fit();
    Ok((names, methods))
}

/// The tenants that a deployment knows, with their quotas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    names: Names,
    /// RPCs a second over the whole fleet, by position.
    per_second: Vec<f64>,
}

impl TenantTable {
    /// How many tenants there are. Their numbers are below this.
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

    /// The tenant of a name, as it comes with an RPC. Its id is its position.
    pub fn find(&self, name: &str) -> Option<Tenant> {
        let position = self.names.position(name)?;
        Some(Tenant { id: position as u32, per_second: self.per_second[position] })
    }

    /// Gives back what was set aside for more tenants.
    pub fn shrink_to_fit(&mut self) {
        self.names.shrink_to_fit();
        self.per_second.shrink_to_fit();
    }
}

/// Where one real node stands: its file, with the deployment inside.
#[derive(Clone, Debug)]
pub struct Placement {
    pub name: String,
    pub listen: SocketAddr,
    pub executor: SocketAddr,
    pub directory: SocketAddr,
    /// Servers of the last tier have nothing below.
    pub below: Option<SocketAddr>,
    pub seed: u64,
    pub stop_ms: u64,
    pub memory_mb: u64,
    pub descriptors: usize,
    pub deployment: Deployment,
}

impl Placement {
    /// Reads the text of a node's file.
    ///
    /// ```
    /// let said = ochrewalk::deployment::Placement::read(br#"{"name":"n1","limits":[]}"#).unwrap_err();
    /// assert_eq!(said, "config: field limits is missing or not an object");
    /// ```
    pub fn read(text: &[u8]) -> Result<Placement, String> {
        let text = json::check(text).map_err(not_json)?;
        let object = Object::read(text, &["settings"]).map_err(not_json)?;
        let parts = Parts { msg: "config".into(), object };
        let file = parts.fields();
        let name = file.text("name")?.to_string();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(plain) {
            return Err(file.bad("name", "made of letters, digits, '-', '_' and '.'"));
        }
        let limits = file.object("limits")?;
        limits.above("cores", 0.0)?;
        let placement = Placement {
            name,
            listen: file.address("listen")?.ok_or_else(|| file.bad("listen", "an address and port"))?,
            executor: file.address("executor")?.ok_or_else(|| file.bad("executor", "an address and port"))?,
            directory: file.address("lookup")?.ok_or_else(|| file.bad("lookup", "an address and port"))?,
            below: file.address("store")?,
            seed: u64::from_str_radix(file.text("seed")?, 16)
                .map_err(|_| file.bad("seed", "up to 16 hex digits"))?,
            stop_ms: file.positive("stop_ms")?,
            memory_mb: limits.positive("memory_mb")?,
            descriptors: limits.positive("sockets")? as usize,
            deployment: Deployment::read("config settings", parts.object_text("settings")?)?,
        };
        if placement.memory_mb < 16 {
            return Err(limits.bad("memory_mb", "16 or more"));
        }
        if placement.descriptors < 64 {
            return Err(limits.bad("sockets", "64 or more"));
        }
        Ok(placement)
    }
}

impl Placement {
    /// Reads a node's file; a message names it.
    pub fn read_file(file: &Path) -> Result<Placement, String> {
        let text = std::fs::read(file).map_err(|err| format!("{}: {err}", file.display()))?;
        Placement::read(&text).map_err(|why| format!("{}: {why}", file.display()))
    }

    /// What of a node's file cannot be changed while the node runs, as text: programs that agree in it may follow one
    /// another. The other keys are those that [`Placement::take_over`] takes, and the seed.
    ///
    /// ```
    /// use ochrewalk::deployment::Placement;
    /// let of = |text: &str| Placement::lasting(text.as_bytes()).unwrap();
    /// assert_eq!(of(r#"{"seed":"1","name":"n","store":"a"}"#), of(r#"{"name":"n","store":"b","stop_ms":2}"#));
    /// assert_ne!(of(r#"{"name":"n","store":"a"}"#), of(r#"{"name":"n"}"#));
    /// ```
    pub fn lasting(text: &[u8]) -> Result<String, String> {
        let mut lasting = Vec::new();
        Placement::write_lasting(text, &mut lasting)?;
        String::from_utf8(lasting).map_err(|err| format!("config: {err}"))
    }

    /// Writes what [`Placement::lasting`] gives, in pieces: none is longer than an element of a list.
    pub fn write_lasting(text: &[u8], out: &mut impl Write) -> Result<(), String> {
        let text = json::check(text).map_err(not_json)?;
        write_lasting(text, out).map_err(|err| format!("config: {err}"))
    }

    /// Takes over from a newer file what may change while the node runs: the addresses of its peers and
    /// `stop_ms`. Gives the keys that have changed and wait for the next start. `seed` is new in any file.
    pub fn take_over(&mut self, newer: Placement) -> Vec<&'static str> {
        let same = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("limits", (self.memory_mb, self.descriptors) == (newer.memory_mb, newer.descriptors)),
            ("settings", self.deployment == newer.deployment),
            ("store", self.below.is_some() == newer.below.is_some()),
        ];
        (self.executor, self.directory, self.stop_ms) = (newer.executor, newer.directory, newer.stop_ms);
        // A tier that calls below goes on doing so, and the last one has no calls.
        self.below = self.below.map(|old| newer.below.unwrap_or(old));
        same.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect()
    }
}

fn not_json(err: serde_json::Error) -> String {
    format!("config: not JSON: {err}")
}

fn write_lasting(text: &str, out: &mut impl Write) -> io::Result<()> {
    let whole: &RawValue = serde_json::from_str(text)?;
    if !json::is_object(whole) {
        return json::write_value(whole, out);
    }
    let mut fields = json::fields(whole.get())?;
    for key in ["executor", "lookup", "stop_ms", "seed"] {
        fields.remove(key);
    }
    if let Some(store) = fields.get_mut("store") {
        *store = serde_json::from_str("true")?;
    }
    json::write_fields(&fields, out)
}

/// A message, or an object in one, of which long fields stay text.
pub struct Parts<'a> {
    msg: Cow<'a, str>,
    object: Object<'a>,
}

impl<'a> Parts<'a> {
    /// Reads a text that [`json::check`] has passed; `long` are the fields that stay text.
    pub fn read(msg: &'a str, text: &'a RawValue, long: &[&'static str]) -> Result<Parts<'a>, String> {
        let object = Object::read(text.get(), long).map_err(|err| format!("{msg}: not JSON: {err}"))?;
        Ok(Parts { msg: msg.into(), object })
    }

    /// Names the message by the text in one of its fields, and gives that.
    pub fn name_by(&mut self, field: &str) -> Result<String, String> {
        let name = self.object.small.get(field).and_then(Value::as_str).map(String::from);
        let name = name.ok_or_else(|| self.fields().bad(field, "a string"))?;
        self.msg = name.clone().into();
        Ok(name)
    }

    /// The fields that are not text.
    pub fn fields(&self) -> Fields<'_> {
        Fields { msg: self.msg.as_ref().into(), value: &self.object.small }
    }

    /// The text of a field that must be an object.
    pub fn object_text(&self, field: &str) -> Result<&'a RawValue, String> {
        let text = self.object.long(field).filter(|text| json::is_object(text));
        text.ok_or_else(|| self.fields().bad(field, "an object"))
    }

    /// A field that must be an object, of which other long fields stay text.
    pub fn object(&self, field: &str, long: &[&'static str]) -> Result<Parts<'a>, String> {
        let text = self.object_text(field)?;
        let msg = format!("{} {field}", self.msg);
        let object = Object::read(text.get(), long).map_err(|err| format!("{msg}: not JSON: {err}"))?;
        Ok(Parts { msg: msg.into(), object })
    }

    /// A list that must be there.
    pub fn required(&self, field: &str) -> Result<(), String> {
        let list = self.object.long(field).filter(|text| json::is_list(text));
        list.map(|_| ()).ok_or_else(|| self.fields().bad(field, "an array"))
    }

    /// Hands over the elements of a list one at a time, up to the first error. A list that is absent has none.
    pub fn for_each<T: Deserialize<'a>>(
        &self,
        field: &str,
        take: impl FnMut(T) -> Result<(), String>,
    ) -> Result<(), String> {
        let Some(list) = self.object.long(field) else { return Ok(()) };
        self.required(field)?;
        json::for_each(list, take).map_err(|err| format!("{}: not JSON: {err}", self.msg))?
    }
}

/// A message's fields, read with plain words on what is wrong.
pub struct Fields<'a> {
    /// The message, or the way to this object in it.
    pub msg: Cow<'a, str>,
    pub value: &'a Value,
}

impl<'a> Fields<'a> {
    pub fn bad(&self, field: &str, wanted: &str) -> String {
        format!("{}: field {field} is missing or not {wanted}", self.msg)
    }

    /// A field that is there and not null must be of its type.
    pub fn maybe<T>(
        &self,
        field: &str,
        wanted: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, String> {
        match self.value.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => read(value).map(Some).ok_or_else(|| self.bad(field, wanted)),
        }
    }

    pub fn maybe_whole(&self, field: &str) -> Result<Option<u64>, String> {
        self.maybe(field, "a whole number", Value::as_u64)
    }

    pub fn whole(&self, field: &str) -> Result<u64, String> {
        self.maybe_whole(field)?.ok_or_else(|| self.bad(field, "a whole number"))
    }

    pub fn maybe_number(&self, field: &str) -> Result<Option<f64>, String> {
        self.maybe(field, "a number", Value::as_f64)
    }

    pub fn number(&self, field: &str) -> Result<f64, String> {
        self.maybe_number(field)?.ok_or_else(|| self.bad(field, "a number"))
    }

    pub fn maybe_bool(&self, field: &str) -> Result<Option<bool>, String> {
        self.maybe(field, "true or false", Value::as_bool)
    }

    /// Absent texts may also stand as 0.
    pub fn maybe_text(&self, field: &str) -> Result<Option<&'a str>, String> {
        match self.value.get(field).and_then(Value::as_u64) {
            Some(0) => Ok(None),
            _ => self.maybe(field, "a string", Value::as_str),
        }
    }

    pub fn text(&self, field: &str) -> Result<&'a str, String> {
        self.maybe_text(field)?.ok_or_else(|| self.bad(field, "a string"))
    }

    pub fn maybe_list(&self, field: &str) -> Result<&'a [Value], String> {
        Ok(self.maybe(field, "an array", Value::as_array)?.map_or(&[], Vec::as_slice))
    }

    pub fn list(&self, field: &str) -> Result<&'a [Value], String> {
        self.maybe(field, "an array", Value::as_array)?
            .map(Vec::as_slice)
            .ok_or_else(|| self.bad(field, "an array"))
    }

    pub fn object(&self, field: &str) -> Result<Fields<'a>, String> {
        let value = self.maybe(field, "an object", |v| v.is_object().then_some(v))?;
        value.map(|value| self.part(field, value)).ok_or_else(|| self.bad(field, "an object"))
    }

    /// A whole number above 0.
    pub fn positive(&self, field: &str) -> Result<u64, String> {
        let wanted = "a whole number above 0";
        self.maybe(field, wanted, |v| v.as_u64().filter(|n| *n > 0))?.ok_or_else(|| self.bad(field, wanted))
    }

    pub fn at_least(&self, field: &str, least: f64) -> Result<f64, String> {
        let wanted = format!("a number of {least} or more");
        let read = |v: &Value| v.as_f64().filter(|n| *n >= least);
        self.maybe(field, &wanted, read)?.ok_or_else(|| self.bad(field, &wanted))
    }

    pub fn above(&self, field: &str, bound: f64) -> Result<f64, String> {
        let wanted = format!("a number above {bound}");
        let read = |v: &Value| v.as_f64().filter(|n| *n > bound);
        self.maybe(field, &wanted, read)?.ok_or_else(|| self.bad(field, &wanted))
    }

    /// An address and port, where there is one.
    pub fn address(&self, field: &str) -> Result<Option<SocketAddr>, String> {
        self.maybe(field, "an address and port", |v| v.as_str()?.parse().ok())
    }

    /// A part of this object, named by the way to it.
    pub fn part(&self, field: &str, value: &'a Value) -> Fields<'a> {
        Fields { msg: format!("{} {field}", self.msg).into(), value }
    }

    pub fn outcome(&self) -> Result<Outcome, String> {
        Ok(match self.whole("state-code")? {
            100 => Outcome::Ok,
            301 => Outcome::Error,
            302 => Outcome::PushedBack,
            303 => Outcome::TimedOut,
            304 => Outcome::Unreachable,
            305 => Outcome::Interrupted,
            306 => Outcome::Stopped,
            307 => Outcome::Moot,
            _ => return Err(self.bad("state-code", "a known outcome")),
        })
    }
}
