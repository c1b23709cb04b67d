//! The simulator's protocol: reads batches of events and writes replies with actions.

use ochrewalk::admission::AdmissionController;
use ochrewalk::deployment::{Deployment, FieldError, Fields, Parts};
use ochrewalk::host::{Arrival, Host, Readiness, Rejection, Retry};
use ochrewalk::json;
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;

const NS_PER_US: u64 = 1_000;

/// The messages to an open instance.
const MESSAGES: [&str; 8] =
    ["SUBMIT", "HANGUP", "NEEDS", "CALL_RESULT", "SETTLED", "RETIRE_SOON", "REMINDER", "STOP"];

/// The reason why a line is invalid, with the message and the field.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A field is missing or out of range, or the text is not valid JSON.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The line is not valid JSON.
    #[error("batch: not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is a JSON value other than an object.
    #[error("batch: not an object")]
    NotAnObject,
    /// A message that the protocol does not define.
    #[error("{0}: unknown message in field msg")]
    UnknownMessage(String),
    /// A message to an instance that is not open.
    #[error("{message}: field i names instance {instance}, which is not open")]
    NotOpen {
        /// The message.
        message: String,
        /// The instance.
        instance: u64,
    },
}

/// A simulated server: its controller, and the deployment that it belongs to.
struct Server {
    controller: AdmissionController<Output>,
    deployment: Deployment,
}

/// All servers that the simulator has opened, by instance.
#[derive(Default)]
pub struct Servers {
    servers: HashMap<u64, Server>,
}

impl Servers {
    /// Processes a line with a batch of events, and returns the reply.
    ///
    /// # Errors
    /// Names the first message or field that is invalid.
    pub fn batch(&mut self, line: &[u8]) -> Result<String, WireError> {
        let text = json::check(line)?;
        let document: &RawValue = serde_json::from_str(text)?;
        if !json::is_object(document) {
            return Err(WireError::NotAnObject);
        }
        let parts = Parts::read("batch", document, &["parts"])?;
        let batch = parts.fields();
        let now_us = batch.whole("wall-ns")? / NS_PER_US;
        let mut reply = format!("{{\"frame\":{},\"parts\":[", batch.whole("frame")?);
        let mut is_first = true;
        parts.required("parts")?;
        parts.for_each("parts", |part: &RawValue| -> Result<(), WireError> {
            let Some((i, output)) = self.part(now_us, part)? else { return Ok(()) };
            let comma = if is_first { "" } else { "," };
            is_first = false;
            let _ = write!(reply, "{comma}{{\"i\":{i},\"output\":[{output}]}}");
            Ok(())
        })?;
        reply.push_str("]}\n");
        Ok(reply)
    }

    /// Reports one server's events to its controller. Returns the instance and the requested actions, or `None` if the
    /// controller requests none.
    fn part(&mut self, now_us: u64, part: &RawValue) -> Result<Option<(u64, String)>, WireError> {
        let part = Parts::read("batch part", part, &["inbox"])?;
        let i = part.fields().whole("i")?;
        let mut has_events = false;
        part.required("inbox")?;
        part.for_each("inbox", |event: &RawValue| {
            has_events = true;
            self.event(i, now_us, event)
        })?;
        let Some(server) = self.servers.get_mut(&i).filter(|_| has_events) else { return Ok(None) };
        server.controller.decide(now_us);
        let output = std::mem::take(&mut server.controller.host().0);
        Ok((!output.is_empty()).then_some((i, output)))
    }

    fn event(&mut self, instance: u64, now_us: u64, event: &RawValue) -> Result<(), WireError> {
        let mut parts = Parts::read("event", event, &["options"])?;
        let message = parts.name_by("msg")?;
        if message == "OPEN_INSTANCE" {
            return self.open(instance, now_us, &message, &parts);
        }
        if !MESSAGES.contains(&message.as_str()) {
            return Err(WireError::UnknownMessage(message));
        }
        let Some(server) = self.servers.get_mut(&instance) else {
            return Err(WireError::NotOpen { message, instance });
        };
        if message == "STOP" {
            self.servers.remove(&instance);
            return Ok(());
        }
        Ok(server.event(now_us, &message, &parts.fields())?)
    }

    fn open(&mut self, instance: u64, now_us: u64, message: &str, parts: &Parts) -> Result<(), WireError> {
        let name = format!("{message} options");
        let deployment = Deployment::read(&name, parts.object_text("options")?)?;
        let seed = parts.fields().whole("random-seed")?;
        let controller = deployment.start(Output::default(), now_us, seed);
        self.servers.insert(instance, Server { controller, deployment });
        Ok(())
    }
}

/// Bit 0 of `bits`: the request's work may be used as a hint.
const HAS_WORK_HINT: u64 = 1;
/// Bit 1 of `bits`: the request is a retry.
const IS_RETRY: u64 = 2;

impl Server {
    /// Reports one event to the controller.
    fn event(&mut self, now_us: u64, message: &str, fields: &Fields) -> Result<(), FieldError> {
        match message {
            "SUBMIT" => {
                let arrival = self.arrival(fields)?;
                self.controller.request_arrived(now_us, arrival);
            }
            "HANGUP" => self.controller.caller_left(fields.text("handle")?),
            "NEEDS" => self.controller.call_needed(now_us, fields.text("handle")?),
            "CALL_RESULT" => {
                let took_us = fields.optional_whole("lag-ns")?.unwrap_or(0) / NS_PER_US;
                self.controller.call_ended(now_us, fields.text("handle")?, fields.outcome()?, took_us);
            }
            "SETTLED" => self.controller.run_ended(now_us, fields.text("handle")?, fields.outcome()?),
            "RETIRE_SOON" => {
                self.controller.drain(now_us, fields.whole("expires-in-ns")? / NS_PER_US);
            }
            _ => {
                let token = fields.whole("token")?;
                let row = fields.optional_list("health-info")?;
                let gauges = self.deployment.gauges(|position| row.get(position)?.as_f64());
                self.controller.timer_fired(now_us, token, gauges);
            }
        }
        Ok(())
    }

    fn arrival(&self, fields: &Fields) -> Result<Arrival, FieldError> {
        let bits = fields.whole("bits")?;
        let kind = fields.text("kind")?;
        let deployment = &self.deployment;
        Ok(Arrival {
            id: fields.text("handle")?.into(),
            method: deployment.method(kind).ok_or_else(|| fields.invalid("kind", "a known class"))?,
            memory_kb: fields.number("size-kb")?,
            queued_us: fields.optional_whole("queued-for-ns")?.unwrap_or(0) / NS_PER_US,
            time_left_us: fields
                .optional_whole("expires-in-ns")?
                .filter(|_| deployment.conveys_time_left)
                .map(|ns| ns / NS_PER_US),
            work_hint_us: fields
                .optional_whole("effort-ns")?
                .filter(|hint_ns| *hint_ns > 0 && bits & HAS_WORK_HINT != 0)
                .map(|ns| ns / NS_PER_US),
            repeats: fields.optional_text("repeats")?.map(Into::into),
            is_retry: bits & IS_RETRY != 0,
            tenant: fields.optional_text("customer")?.and_then(|name| deployment.tenant(name)),
        })
    }
}

/// A host that writes each action that the controller requests as JSON, in the order of the requests.
#[derive(Default)]
struct Output(String);

impl Output {
    fn write_action(&mut self, msg: &str, rest: std::fmt::Arguments) {
        let comma = if self.0.is_empty() { "" } else { "," };
        let _ = write!(self.0, "{comma}{{\"msg\":\"{msg}\"{rest}}}");
    }

    fn write_action_with_handle(&mut self, msg: &str, id: &str) {
        self.write_action(msg, format_args!(",\"handle\":{}", quoted(id)));
    }
}

fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}

impl Host for Output {
    fn start(&mut self, id: &str) {
        self.write_action_with_handle("LAUNCH", id);
    }

    fn stop(&mut self, id: &str) {
        self.write_action_with_handle("TAKE_OFF", id);
    }

    fn reject(&mut self, id: &str, rejection: Rejection) {
        let is_last = rejection.retry == Retry::DoNotRetry;
        let (id, retry_after_ns) = (quoted(id), rejection.retry_after_us * NS_PER_US);
        let rest = format_args!(",\"handle\":{id},\"final\":{is_last},\"stay-away-ns\":{retry_after_ns}")
            .to_string();
        self.write_action("OVERLOAD_REPLY", format_args!("{rest}"));
    }

    fn abort(&mut self, id: &str) {
        self.write_action_with_handle("LOSE", id);
    }

    fn place_call(&mut self, id: &str, until_us: u64) {
        let id = quoted(id);
        self.write_action("GO_CALL", format_args!(",\"handle\":{id},\"until-ns\":{}", until_us * NS_PER_US));
    }

    fn skip_call(&mut self, id: &str) {
        self.write_action_with_handle("GO_ON", id);
    }

    fn remember_key(&mut self, id: &str, ttl_us: u64) {
        let id = quoted(id);
        self.write_action("RECORD_KEY", format_args!(",\"handle\":{id},\"ttl-ns\":{}", ttl_us * NS_PER_US));
    }

    fn forget_key(&mut self, id: &str) {
        self.write_action_with_handle("DROP_KEY", id);
    }

    fn share_outcome(&mut self, id: &str) {
        self.write_action_with_handle("SHARE", id);
    }

    fn set_readiness(&mut self, readiness: Readiness) {
        // Health checks are answered without real work.
        let on = readiness == Readiness::Ready;
        self.write_action("READINESS", format_args!(",\"on\":{on},\"cheap\":true"));
    }

    fn send_load_signal(&mut self, value: f64) {
        self.write_action("SIGNAL", format_args!(",\"value\":{value}"));
    }

    fn close_idle_connections(&mut self, idle_us: u64) {
        self.write_action("KEEPALIVE", format_args!(",\"ttl-ns\":{}", idle_us * NS_PER_US));
    }

    fn set_timer(&mut self, at_us: u64, token: u64) {
        self.write_action("REMIND", format_args!(",\"moment-ns\":{},\"token\":{token}", at_us * NS_PER_US));
    }
}
