//! The wire itself: batches in, replies out.

use ochrewalk::decide::Decide;
use ochrewalk::host::{
    Advice, Arrival, Below, Crowd, Customer, Effect, Gauges, Host, Machine, Method, Outcome, SentBack,
    Shares, Stopping,
};
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;

/// One server as the wire knows it: its module, and the names that its settings gave to positions.
struct Server {
    module: Decide<Output>,
    kinds: Vec<String>,
    tenants: Vec<String>,
    gauges: Vec<String>,
    passes_deadline: bool,
}

#[derive(Default)]
pub struct Servers {
    servers: HashMap<u64, Server>,
}

impl Servers {
    /// Answers one line. The error is one plain line that names the message and the field at fault.
    pub fn batch(&mut self, line: &[u8]) -> Result<String, String> {
        let value: Value = serde_json::from_slice(line).map_err(|err| format!("batch: not JSON: {err}"))?;
        let batch = Fields { msg: "batch", value: &value };
        if !value.is_object() {
            return Err("batch: not an object".into());
        }
        let now_us = batch.whole("wall-ns")? / 1_000;
        let mut reply = format!("{{\"frame\":{},\"parts\":[", batch.whole("frame")?);
        let mut first = true;
        for part in batch.list("parts")? {
            let part = Fields { msg: "batch part", value: part };
            let i = part.whole("i")?;
            let inbox = part.list("inbox")?;
            if inbox.is_empty() {
                continue;
            }
            for event in inbox {
                self.event(i, now_us, event)?;
            }
            let Some(server) = self.servers.get_mut(&i) else { continue };
            server.module.turn(now_us);
            let output = std::mem::take(&mut server.module.host().0);
            if !output.is_empty() {
                let comma = if first { "" } else { "," };
                first = false;
                let _ = write!(reply, "{comma}{{\"i\":{i},\"output\":[{output}]}}");
            }
        }
        reply.push_str("]}\n");
        Ok(reply)
    }

    fn event(&mut self, i: u64, now_us: u64, event: &Value) -> Result<(), String> {
        let msg =
            event.get("msg").and_then(Value::as_str).ok_or("event: field msg is missing or not a string")?;
        let fields = Fields { msg, value: event };
        if msg == "OPEN_INSTANCE" {
            self.servers.insert(i, open(&fields, now_us)?);
            return Ok(());
        }
        const KNOWN: [&str; 8] =
            ["SUBMIT", "HANGUP", "NEEDS", "CALL_RESULT", "SETTLED", "RETIRE_SOON", "REMINDER", "STOP"];
        if !KNOWN.contains(&msg) {
            return Err(format!("{msg}: unknown message in field msg"));
        }
        let Some(server) = self.servers.get_mut(&i) else {
            return Err(format!("{msg}: field i names instance {i}, which is not open"));
        };
        match msg {
            "SUBMIT" => {
                let bits = fields.whole("bits")?;
                let kind = fields.text("kind")?;
                let arrival = Arrival {
                    id: fields.text("handle")?.into(),
                    method: position(&server.kinds, kind)
                        .ok_or_else(|| fields.bad("kind", "a known class"))?,
                    kb: fields.number("size-kb")?,
                    queued_us: fields.maybe_whole("queued-for-ns")?.unwrap_or(0) / 1_000,
                    left_us: fields
                        .maybe_whole("expires-in-ns")?
                        .filter(|_| server.passes_deadline)
                        .map(|ns| ns / 1_000),
                    effort_us: fields
                        .maybe_whole("effort-ns")?
                        .filter(|hint| *hint > 0 && bits & 1 != 0)
                        .map(|ns| ns / 1_000),
                    repeats: fields.maybe_text("repeats")?.map(Into::into),
                    further_try: bits & 2 != 0,
                    customer: fields.maybe_text("customer")?.and_then(|name| position(&server.tenants, name)),
                };
                server.module.arrived(now_us, arrival);
            }
            "HANGUP" => server.module.gone(fields.text("handle")?),
            "NEEDS" => server.module.needs_call(now_us, fields.text("handle")?),
            "CALL_RESULT" => {
                let took_us = fields.maybe_whole("lag-ns")?.unwrap_or(0) / 1_000;
                server.module.call_ended(now_us, fields.text("handle")?, fields.outcome()?, took_us);
            }
            "SETTLED" => server.module.run_ended(now_us, fields.text("handle")?, fields.outcome()?),
            "RETIRE_SOON" => server.module.leave(now_us, fields.whole("expires-in-ns")? / 1_000),
            "REMINDER" => {
                let token = fields.whole("token")?;
                let row = fields.maybe_list("health-info")?;
                let gauge = |name: &str| row.get(position(&server.gauges, name)?)?.as_f64();
                let gauges = Gauges {
                    busy: gauge("cpu_busy"),
                    runnable: gauge("runnable"),
                    connections: gauge("sockets"),
                };
                server.module.timer(now_us, token, gauges);
            }
            _ => {
                self.servers.remove(&i);
            }
        }
        Ok(())
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Reads a server's settings and starts its module.
fn open(fields: &Fields, now_us: u64) -> Result<Server, String> {
    let options = fields.object("options")?;
    let extra = options.object("extra")?;
    let rules = options.object("rules")?;
    let limits = options.object("policy-limits")?;
    let may_call = extra.maybe_list("calls-by-class")?;
    let skip = extra.maybe_list("class-skip-worth")?;
    let stopping = match extra.maybe_text("stop-mode")? {
        Some("pause") => Stopping::Pause,
        Some("drop") => Stopping::Drop,
        Some("silent") | None => Stopping::Never,
        Some(_) => return Err(extra.bad("stop-mode", "silent, drop or pause")),
    };
    let below = match extra.maybe_text("below")? {
        Some("shared") => Below::Shared {
            share: extra.number("call-share")?,
            window_us: extra.whole("dep-window-ns")? / 1_000,
            linger_us: extra.maybe_whole("stays-for-ns")?.unwrap_or(0) / 1_000,
        },
        Some("tier") => Below::Tier,
        Some("silent") | None => Below::Nothing,
        Some(_) => return Err(extra.bad("below", "shared, tier or silent")),
    };
    let sent_back = match extra.maybe_text("signal")? {
        Some("level") => SentBack::Level,
        Some("credit") => SentBack::Credit,
        Some("weight") => SentBack::Weight,
        Some("silent") | None => SentBack::Nothing,
        Some(_) => return Err(extra.bad("signal", "level, credit, weight or silent")),
    };
    let (mut kinds, mut methods) = (Vec::new(), Vec::new());
    for (at, category) in options.list("categories")?.iter().enumerate() {
        let category = Fields { msg: "OPEN_INSTANCE categories", value: category };
        kinds.push(category.text("name")?.to_string());
        methods.push(Method {
            criticality: category.number("worth")?,
            latency_target_us: category.whole("on-time-ns")? / 1_000,
            target_stretch: category.maybe_number("aim-stretch")?.unwrap_or(0.0),
            deadline_us: category.whole("deadline-ns")? / 1_000,
            effect: match category.text("idempotency")? {
                "free" => Effect::Idempotent,
                "guarded" => Effect::Tokened,
                "single_shot" => Effect::NonIdempotent,
                _ => return Err(category.bad("idempotency", "free, guarded or single_shot")),
            },
            window_us: category.maybe_whole("window-ns")?.unwrap_or(0) / 1_000,
            calls: below != Below::Nothing && may_call.get(at).and_then(Value::as_bool).unwrap_or(true),
            skip_share: skip.get(at).and_then(Value::as_f64).unwrap_or(0.0),
        });
    }
    let (mut tenants, mut customers) = (Vec::new(), Vec::new());
    for tenant in options.maybe_list("tenants")? {
        let tenant = Fields { msg: "OPEN_INSTANCE tenants", value: tenant };
        tenants.push(tenant.text("name")?.to_string());
        customers.push(Customer { per_second: tenant.number("allowance-per-s")? });
    }
    let heeds = limits.maybe_bool("retry-after")?.unwrap_or(false);
    let machine = Machine {
        cores: extra.whole("cores")? as u32,
        memory_kb: extra.number("memory-kb")?,
        run_factor: extra.number("run-mem-factor")?,
        key_kb: extra.maybe_number("key-kb")?.unwrap_or(0.0),
        stopping,
        idle_most_us: extra.maybe_whole("keepalive-max-ns")?.unwrap_or(0) / 1_000,
    };
    let crowd = Crowd {
        multiple: rules.number("fall-multiple")?,
        cold: extra.maybe_bool("cold")?.unwrap_or(false),
        cold_from: rules.number("cold-from")?,
        warm_within_us: rules.whole("warm-within-ns")? / 1_000,
    };
    let clients = options.maybe("clients", "an object", |v| v.is_object().then_some(v))?;
    let marks_tries = clients.and_then(|c| c.get("marks-retry")).and_then(Value::as_bool).unwrap_or(false);
    let advice = Advice {
        sent_back,
        callers: extra.maybe_whole("callers")?.unwrap_or(1) as u32,
        marks_tries,
        max_come_back_us: match limits.maybe_whole("max-retry-after-ns")? {
            Some(most) if heeds => most / 1_000,
            _ => 0,
        },
    };
    let shares = Shares {
        by_work: options.maybe_text("value-by")? == Some("work"),
        over_share: options.maybe_number("over-share-worth")?.unwrap_or(1.0),
        customers,
        servers: options.maybe_whole("servers")?.unwrap_or(1) as u32,
    };
    let gauges = extra.maybe_list("gauges")?.iter().filter_map(|g| g.as_str().map(String::from)).collect();
    let module = Decide::start(
        Output::default(),
        now_us,
        fields.whole("random-seed")?,
        machine,
        crowd,
        methods,
        below,
        advice,
        shares,
        rules.whole("drain-grace-ns")? / 1_000,
    );
    let passes_deadline = extra.maybe_bool("passes-deadline")?.unwrap_or(false);
    Ok(Server { module, kinds, tenants, gauges, passes_deadline })
}

/// A message's fields, read with plain words on what is wrong.
struct Fields<'a> {
    msg: &'a str,
    value: &'a Value,
}

impl<'a> Fields<'a> {
    fn bad(&self, field: &str, wanted: &str) -> String {
        format!("{}: field {field} is missing or not {wanted}", self.msg)
    }

    /// A field that is there and not null must be of its type.
    fn maybe<T>(
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

    fn maybe_whole(&self, field: &str) -> Result<Option<u64>, String> {
        self.maybe(field, "a whole number", Value::as_u64)
    }

    fn whole(&self, field: &str) -> Result<u64, String> {
        self.maybe_whole(field)?.ok_or_else(|| self.bad(field, "a whole number"))
    }

    fn maybe_number(&self, field: &str) -> Result<Option<f64>, String> {
        self.maybe(field, "a number", Value::as_f64)
    }

    fn number(&self, field: &str) -> Result<f64, String> {
        self.maybe_number(field)?.ok_or_else(|| self.bad(field, "a number"))
    }

    fn maybe_bool(&self, field: &str) -> Result<Option<bool>, String> {
        self.maybe(field, "true or false", Value::as_bool)
    }

    /// Absent texts may also stand as 0.
    fn maybe_text(&self, field: &str) -> Result<Option<&'a str>, String> {
        match self.value.get(field).and_then(Value::as_u64) {
            Some(0) => Ok(None),
            _ => self.maybe(field, "a string", Value::as_str),
        }
    }

    fn text(&self, field: &str) -> Result<&'a str, String> {
        self.maybe_text(field)?.ok_or_else(|| self.bad(field, "a string"))
    }

    fn maybe_list(&self, field: &str) -> Result<&'a [Value], String> {
        Ok(self.maybe(field, "an array", Value::as_array)?.map_or(&[], Vec::as_slice))
    }

    fn list(&self, field: &str) -> Result<&'a [Value], String> {
        self.maybe(field, "an array", Value::as_array)?
            .map(Vec::as_slice)
            .ok_or_else(|| self.bad(field, "an array"))
    }

    fn object(&self, field: &str) -> Result<Fields<'a>, String> {
        let value = self.maybe(field, "an object", |v| v.is_object().then_some(v))?;
        value.map(|value| Fields { msg: self.msg, value }).ok_or_else(|| self.bad(field, "an object"))
    }

    fn outcome(&self) -> Result<Outcome, String> {
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

/// Writes each thing that the module asks for, as it asks.
#[derive(Default)]
struct Output(String);

impl Output {
    fn action(&mut self, msg: &str, rest: std::fmt::Arguments) {
        let comma = if self.0.is_empty() { "" } else { "," };
        let _ = write!(self.0, "{comma}{{\"msg\":\"{msg}\"{rest}}}");
    }

    fn handle(&mut self, msg: &str, id: &str) {
        self.action(msg, format_args!(",\"handle\":{}", quoted(id)));
    }
}

fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}

impl Host for Output {
    fn run(&mut self, id: &str) {
        self.handle("LAUNCH", id);
    }

    fn stop(&mut self, id: &str) {
        self.handle("TAKE_OFF", id);
    }

    fn push_back(&mut self, id: &str, last: bool, come_back_us: u64) {
        let (id, stay_ns) = (quoted(id), come_back_us * 1_000);
        let rest = format_args!(",\"handle\":{id},\"final\":{last},\"stay-away-ns\":{stay_ns}").to_string();
        self.action("OVERLOAD_REPLY", format_args!("{rest}"));
    }

    fn abort(&mut self, id: &str) {
        self.handle("LOSE", id);
    }

    fn call(&mut self, id: &str, until_us: u64) {
        let id = quoted(id);
        self.action("GO_CALL", format_args!(",\"handle\":{id},\"until-ns\":{}", until_us * 1_000));
    }

    fn skip_call(&mut self, id: &str) {
        self.handle("GO_ON", id);
    }

    fn remember(&mut self, id: &str, ttl_us: u64) {
        let id = quoted(id);
        self.action("RECORD_KEY", format_args!(",\"handle\":{id},\"ttl-ns\":{}", ttl_us * 1_000));
    }

    fn forget_key(&mut self, id: &str) {
        self.handle("DROP_KEY", id);
    }

    fn share_outcome(&mut self, id: &str) {
        self.handle("SHARE", id);
    }

    fn health(&mut self, on: bool, cheap: bool) {
        self.action("READINESS", format_args!(",\"on\":{on},\"cheap\":{cheap}"));
    }

    fn send_back(&mut self, value: f64) {
        self.action("SIGNAL", format_args!(",\"value\":{value}"));
    }

    fn close_idle(&mut self, idle_us: u64) {
        self.action("KEEPALIVE", format_args!(",\"ttl-ns\":{}", idle_us * 1_000));
    }

    fn wake(&mut self, at_us: u64, token: u64) {
        self.action("REMIND", format_args!(",\"moment-ns\":{},\"token\":{token}", at_us * 1_000));
    }
}
