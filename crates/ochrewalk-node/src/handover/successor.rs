//! The side that is to take over: it reads its files, takes all that the running program holds, puts it together
//! without acting on any of it, and begins at the word.

use super::hand_over_stream::{HandOverStream, Received};
use super::received_state::{LoadError, ReceivedState};
use super::records::{self, ExecutorRecord, IdempotencyKeyRecords, NodeRecord, RpcRecords};
use super::supervisor_link::{Question, SupervisorLink};
use crate::clock::Clock;
use crate::keys::Keys;
use ochrewalk_handover::messages::{Message, Refusal};
use ochrewalk_handover::successor::{Actions, Capabilities, Limits, State, Successor, SuccessorError};
use prost::Message as _;
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use std::time::Duration;

const LIMITS: Limits = Limits { answer_us: 5_000_000, pause_us: 3_000_000 };
const MAX_START_ATTEMPTS: u32 = 100;
/// How long the supervisor may take to say whether this program may begin.
const MAX_START_WAIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// For tests of what fails: a step of the hand-over, and whether to crash or hang there, as in `crash:ready`.
const FAILURE_VARIABLE: &str = "OCHREWALK_TAKE_FAILS";

/// How this process is to begin.
pub enum StartMode<P> {
    /// With what was put together.
    WithState(P),
    /// As after any start: the program before died with all that it held.
    Fresh,
}

/// Says that nothing is to be taken over, as the files cannot be used.
pub fn refuse(stream: &HandOverStream, why: &str) {
    let _ = stream.send(Message::Refuse(Refusal { reason: why.replace('\n', "; ") }), &[]);
}

/// Takes over, by `build` from what was received. An error says why not; the program before goes on then.
pub fn take_over<P>(
    stream: HandOverStream,
    link: &SupervisorLink,
    digest: u64,
    (bytes, descriptors): (u64, u32),
    interrupted: impl Fn() -> bool,
    build: impl FnMut(ReceivedState) -> Result<P, String>,
) -> Result<StartMode<P>, String> {
    fail_on_purpose("start");
    let clock = Clock::start();
    let program = env!("CARGO_PKG_VERSION").to_string();
    let (mut known_sections, ahead) = records::sections();
    known_sections.extend(ahead);
    let capabilities = Capabilities { digest, program, known_sections, bytes, descriptors };
    let mut actions = ProcessActions {
        stream,
        link,
        build,
        sections: HashMap::new(),
        tokens: Keys::new(usize::MAX),
        incomplete: false,
        built: None,
        start_mode: None,
        end: None,
    };
    let mut successor = Successor::new(clock.now_us(), LIMITS, capabilities, &mut actions);
    fail_on_purpose("greet");
    loop {
        if let Some(why) = actions.end.take() {
            return Err(why);
        }
        if let Some(begin) = actions.start_mode.take() {
            fail_on_purpose("done");
            return Ok(begin);
        }
        if interrupted() {
            successor.drain(&mut actions);
        }
        match actions.stream.receive(POLL_INTERVAL) {
            Ok(Received::Message(message)) => {
                let before = successor.state();
                successor.message(clock.now_us(), &message, &mut actions);
                match (before, successor.state()) {
                    (State::Receiving, State::Ready) => fail_on_purpose("ready"),
                    (State::Ready, State::Loaded) => fail_on_purpose("commit"),
                    _ => {}
                }
            }
            Ok(Received::Ended) => successor.peer_ended(&mut actions),
            Ok(Received::Unknown | Received::TimedOut) => successor.tick(clock.now_us(), &mut actions),
            Err(err) => return Err(format!("what is passed on cannot be read: {err}")),
        }
    }
}

fn fail_on_purpose(step: &str) {
    let Ok(wanted) = std::env::var(FAILURE_VARIABLE) else { return };
    match wanted.split_once(':') {
        Some(("crash", at)) if at == step => std::process::abort(),
        Some(("hang", at)) if at == step => loop {
            std::thread::sleep(Duration::from_secs(1));
        },
        _ => {}
    }
}

struct ProcessActions<'a, P, B> {
    stream: HandOverStream,
    link: &'a SupervisorLink,
    build: B,
    /// Bytes and descriptors of each section.
    sections: HashMap<String, (Vec<u8>, Vec<OwnedFd>)>,
    /// Put together as they come: there may be a million of them.
    tokens: Keys,
    /// Fewer descriptors came than were announced.
    incomplete: bool,
    built: Option<P>,
    start_mode: Option<StartMode<P>>,
    end: Option<String>,
}

impl<P, B: FnMut(ReceivedState) -> Result<P, String>> ProcessActions<'_, P, B> {
    fn section<M: prost::Message + Default>(
        &mut self,
        name: &'static str,
    ) -> Result<(M, Vec<OwnedFd>), LoadError> {
        let (bytes, descriptors) = self.sections.remove(name).unwrap_or_default();
        let record = M::decode(bytes.as_slice()).map_err(|error| LoadError::Section { name, error })?;
        Ok((record, descriptors))
    }

    fn received_state(&mut self) -> Result<ReceivedState, LoadError> {
        if self.incomplete {
            return Err(LoadError::Incomplete);
        }
        let (node, _) = self.section::<NodeRecord>("node")?;
        let (rpcs, _) = self.section::<RpcRecords>("rpcs")?;
        let (_, listeners) = self.sections.remove("listeners").unwrap_or_default();
        let (executor, link) = self.section::<ExecutorRecord>("executor")?;
        let received = ReceivedState {
            node,
            listeners,
            rpcs,
            json: self.section("json")?,
            ajp: self.section("ajp")?,
            executor: (executor, link.into_iter().next()),
            below: self.section("below")?,
            tokens: std::mem::replace(&mut self.tokens, Keys::new(0)),
        };
        let matches = received.json.0.connections.len() == received.json.1.len()
            && received.ajp.0.connections.len() == received.ajp.1.len()
            && received.below.0.links.len() == received.below.1.len()
            && received.executor.0.stream.is_some() == received.executor.1.is_some();
        if matches {
            Ok(received)
        } else {
            Err(LoadError::DescriptorCount)
        }
    }
}

impl<P, B: FnMut(ReceivedState) -> Result<P, String>> Actions for ProcessActions<'_, P, B> {
    type LoadError = LoadError;

    fn send(&mut self, message: Message) {
        let _ = self.stream.send(message, &[]);
    }

    fn store(&mut self, section: &str, bytes: &[u8], descriptors: u32) {
        let came = self.stream.take_descriptors(descriptors as usize);
        self.incomplete |= came.is_none();
        if section == records::AHEAD.0 {
            match IdempotencyKeyRecords::decode(bytes) {
                Ok(piece) => self.tokens.take(piece.keys, &[]),
                Err(_) => self.incomplete = true,
            }
            return;
        }
        let sections = self.sections.entry(section.to_string()).or_default();
        sections.0.extend_from_slice(bytes);
        sections.1.extend(came.unwrap_or_default());
    }

    fn load(&mut self) -> Result<(), LoadError> {
        let received = self.received_state()?;
        let built = (self.build)(received).map_err(|reason| LoadError::Assembly { reason })?;
        self.built = Some(built);
        Ok(())
    }

    fn start(&mut self) {
        self.ask_and_start(true);
    }

    fn start_fresh(&mut self) {
        self.ask_and_start(false);
    }

    fn kill_peer(&mut self) {
        self.link.report("end other");
    }

    fn exit(&mut self, error: &SuccessorError) {
        self.end = Some(error.to_string());
    }
}

impl<P, B> ProcessActions<'_, P, B> {
    fn ask_and_start(&mut self, with: bool) {
        // Whoever started both has the last word on who acts; that the other died it may hear a moment later.
        let may = (0..MAX_START_ATTEMPTS).any(|tried| {
            if tried > 0 {
                std::thread::sleep(POLL_INTERVAL);
            }
            self.link.ask(Question::MayBegin, MAX_START_WAIT) == Some(true)
        });
        if !may {
            self.end = Some("the running program goes on".into());
            return;
        }
        self.start_mode = Some(match self.built.take().filter(|_| with) {
            Some(built) => StartMode::WithState(built),
            None => StartMode::Fresh,
        });
    }
}
