//! The wire itself: batches in, replies out.

use ochrewalk::admission::AdmissionController;
use ochrewalk::deployment::{Deployment, Parts};
use ochrewalk::host::{Arrival, Host};
use ochrewalk::json;
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;

/// One server as the wire knows it: its controller, and the deployment it belongs to.
struct Server {
    controller: AdmissionController<Output>,
    deployment: Deployment,
}

#[derive(Default)]
pub struct Servers {
    servers: HashMap<u64, Server>,
}

impl Servers {
    /// Answers one line. The error is one plain line that names the message and the field at fault.
    pub fn batch(&mut self, line: &[u8]) -> Result<String, String> {
        let not_json = |err: serde_json::Error| format!("batch: not JSON: {err}");
        let text = json::check(line).map_err(not_json)?;
        let whole: &RawValue = serde_json::from_str(text).map_err(not_json)?;
        if !json::is_object(whole) {
            return Err("batch: not an object".into());
        }
        let parts = Parts::read("batch", whole, &["parts"])?;
        let batch = parts.fields();
        let now_us = batch.whole("wall-ns")? / 1_000;
        let mut reply = format!("{{\"frame\":{},\"parts\":[", batch.whole("frame")?);
        let mut first = true;
        parts.required("parts")?;
        parts.for_each("parts", |part: &RawValue| {
            let Some((i, output)) = self.part(now_us, part)? else { return Ok(()) };
            let comma = if first { "" } else { "," };
            first = false;
            let _ = write!(reply, "{comma}{{\"i\":{i},\"output\":[{output}]}}");
            Ok(())
        })?;
        reply.push_str("]}\n");
        Ok(reply)
    }

    /// Tells one server its events. Gives what it asks for, where it asks for anything.
    fn part(&mut self, now_us: u64, part: &RawValue) -> Result<Option<(u64, String)>, String> {
        let part = Parts::read("batch part", part, &["inbox"])?;
        let i = part.fields().whole("i")?;
        let mut any = false;
        part.required("inbox")?;
        part.for_each("inbox", |event: &RawValue| {
            any = true;
            self.event(i, now_us, event)
        })?;
        let Some(server) = self.servers.get_mut(&i).filter(|_| any) else { return Ok(None) };
        server.controller.decide(now_us);
        let output = std::mem::take(&mut server.controller.host().0);
        Ok((!output.is_empty()).then_some((i, output)))
    }

    fn event(&mut self, i: u64, now_us: u64, event: &RawValue) -> Result<(), String> {
        let mut parts = Parts::read("event", event, &["options"])?;
        let msg = parts.name_by("msg")?;
        let (msg, fields) = (msg.as_str(), parts.fields());
        if msg == "OPEN_INSTANCE" {
            let name = format!("{msg} options");
            let deployment = Deployment::read(&name, parts.object_text("options")?)?;
            let controller = deployment.start(Output::default(), now_us, fields.whole("random-seed")?);
            self.servers.insert(i, Server { controller, deployment });
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
                    method: server
                        .deployment
                        .method(kind)
                        .ok_or_else(|| fields.bad("kind", "a known class"))?,
                    kb: fields.number("size-kb")?,
                    queued_us: fields.maybe_whole("queued-for-ns")?.unwrap_or(0) / 1_000,
                    left_us: fields
                        .maybe_whole("expires-in-ns")?
                        .filter(|_| server.deployment.passes_deadline)
                        .map(|ns| ns / 1_000),
                    effort_us: fields
                        .maybe_whole("effort-ns")?
                        .filter(|hint| *hint > 0 && bits & 1 != 0)
                        .map(|ns| ns / 1_000),
                    repeats: fields.maybe_text("repeats")?.map(Into::into),
                    further_try: bits & 2 != 0,
                    tenant: fields.maybe_text("customer")?.and_then(|name| server.deployment.tenant(name)),
                };
                server.controller.request_arrived(now_us, arrival);
            }
            "HANGUP" => server.controller.caller_left(fields.text("handle")?),
            "NEEDS" => server.controller.call_needed(now_us, fields.text("handle")?),
            "CALL_RESULT" => {
                let took_us = fields.maybe_whole("lag-ns")?.unwrap_or(0) / 1_000;
                server.controller.call_ended(now_us, fields.text("handle")?, fields.outcome()?, took_us);
            }
            "SETTLED" => server.controller.run_ended(now_us, fields.text("handle")?, fields.outcome()?),
            "RETIRE_SOON" => server.controller.drain(now_us, fields.whole("expires-in-ns")? / 1_000),
            "REMINDER" => {
                let token = fields.whole("token")?;
                let row = fields.maybe_list("health-info")?;
                let gauges = server.deployment.gauges(|at| row.get(at)?.as_f64());
                server.controller.timer_fired(now_us, token, gauges);
            }
            _ => {
                self.servers.remove(&i);
            }
        }
        Ok(())
    }
}

/// Writes each action that the controller asks for, as it asks.
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
