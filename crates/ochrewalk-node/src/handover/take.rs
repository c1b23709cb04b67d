//! The side that is to take over: it reads its files, takes all that the running program holds, puts it together
//! without acting on any of it, and begins at the word.

use super::records::{
    self, KeptAjps, KeptBelow, KeptDispatchers, KeptExecutor, KeptNode, KeptRpcs, KeptTokens,
};
use super::supervisor_link::{Question, SupervisorLink};
use super::wire::{Heard, Wire};
use crate::clock::Clock;
use crate::keys::Keys;
use ochrewalk_handover::messages::{Message, Refusal};
use ochrewalk_handover::successor::{Actions, Capabilities, Limits, State, Successor, SuccessorError};
use prost::Message as _;
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use std::time::Duration;
use thiserror::Error;

const LIMITS: Limits = Limits { answer_us: 5_000_000, pause_us: 3_000_000 };
const BEGIN_TRIES: u32 = 100;
/// How long the supervisor may take to say whether this program may begin.
const BEGIN: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(10);
/// For tests of what fails: a step of the hand-over, and whether to crash or hang there, as in `crash:ready`.
const FAILS: &str = "OCHREWALK_TAKE_FAILS";

/// All that the program before held.
pub struct Taken {
    pub node: KeptNode,
    pub listeners: Vec<OwnedFd>,
    pub rpcs: KeptRpcs,
    pub json: (KeptDispatchers, Vec<OwnedFd>),
    pub ajp: (KeptAjps, Vec<OwnedFd>),
    pub executor: (KeptExecutor, Option<OwnedFd>),
    pub below: (KeptBelow, Vec<OwnedFd>),
    /// Tokens that went ahead.
    pub tokens: Keys,
}

/// Why the state that came cannot be restored.
#[derive(Debug, Error)]
pub enum LoadError {
    /// Something that was announced is missing.
    #[error("fewer descriptors came than were announced, or tokens that cannot be read")]
    Incomplete,
    /// A section is not of its format.
    #[error("section {name}: {error}")]
    Section {
        /// The section's name.
        name: &'static str,
        /// What is wrong with its bytes.
        error: prost::DecodeError,
    },
    /// A section names more streams than came with it, or fewer.
    #[error("streams and descriptors differ in number")]
    DescriptorCount,
    /// The node cannot be put together from the state.
    #[error("{reason}")]
    Assembly {
        /// What does not fit.
        reason: String,
    },
}

/// How this process is to begin.
pub enum Begin<P> {
    /// With what was put together.
    With(P),
    /// As after any start: the program before died with all that it held.
    Anew,
}

/// Says that nothing is to be taken over, as the files cannot be used.
pub fn refuse(wire: &Wire, why: &str) {
    let _ = wire.send(Message::Refuse(Refusal { reason: why.replace('\n', "; ") }), &[]);
}

/// Takes over, by `build` from what was taken. An error says why not; the program before goes on then.
pub fn take<P>(
    wire: Wire,
    link: &SupervisorLink,
    digest: u64,
    (bytes, descriptors): (u64, u32),
    interrupted: impl Fn() -> bool,
    build: impl FnMut(Taken) -> Result<P, String>,
) -> Result<Begin<P>, String> {
    fails("start");
    let clock = Clock::start();
    let program = env!("CARGO_PKG_VERSION").to_string();
    let (mut known_sections, ahead) = records::sections();
    known_sections.extend(ahead);
    let capabilities = Capabilities { digest, program, known_sections, bytes, descriptors };
    let mut side = Side {
        wire,
        link,
        build,
        kept: HashMap::new(),
        tokens: Keys::new(usize::MAX),
        short: false,
        built: None,
        begin: None,
        end: None,
    };
    let mut successor = Successor::new(clock.now_us(), LIMITS, capabilities, &mut side);
    fails("greet");
    loop {
        if let Some(why) = side.end.take() {
            return Err(why);
        }
        if let Some(begin) = side.begin.take() {
            fails("done");
            return Ok(begin);
        }
        if interrupted() {
            successor.drain(&mut side);
        }
        match side.wire.hear(LOOK) {
            Ok(Heard::Message(message)) => {
                let before = successor.state();
                successor.message(clock.now_us(), &message, &mut side);
                match (before, successor.state()) {
                    (State::Receiving { .. }, State::Ready { .. }) => fails("ready"),
                    (State::Ready { .. }, State::Loaded { .. }) => fails("commit"),
                    _ => {}
                }
            }
            Ok(Heard::Ended) => successor.peer_ended(&mut side),
            Ok(Heard::Unknown | Heard::Nothing) => successor.tick(clock.now_us(), &mut side),
            Err(err) => return Err(format!("what is passed on cannot be read: {err}")),
        }
    }
}

fn fails(step: &str) {
    let Ok(wanted) = std::env::var(FAILS) else { return };
    match wanted.split_once(':') {
        Some(("crash", at)) if at == step => std::process::abort(),
        Some(("hang", at)) if at == step => loop {
            std::thread::sleep(Duration::from_secs(1));
        },
        _ => {}
    }
}

struct Side<'a, P, B> {
    wire: Wire,
    link: &'a SupervisorLink,
    build: B,
    /// Bytes and descriptors of each section.
    kept: HashMap<String, (Vec<u8>, Vec<OwnedFd>)>,
    /// Put together as they come: there may be a million of them.
    tokens: Keys,
    /// Fewer descriptors came than were announced.
    short: bool,
    built: Option<P>,
    begin: Option<Begin<P>>,
    end: Option<String>,
}

impl<P, B: FnMut(Taken) -> Result<P, String>> Side<'_, P, B> {
    fn section<M: prost::Message + Default>(
        &mut self,
        name: &'static str,
    ) -> Result<(M, Vec<OwnedFd>), LoadError> {
        let (bytes, descriptors) = self.kept.remove(name).unwrap_or_default();
        let kept = M::decode(bytes.as_slice()).map_err(|error| LoadError::Section { name, error })?;
        Ok((kept, descriptors))
    }

    fn taken(&mut self) -> Result<Taken, LoadError> {
        if self.short {
            return Err(LoadError::Incomplete);
        }
        let (node, _) = self.section::<KeptNode>("node")?;
        let (rpcs, _) = self.section::<KeptRpcs>("rpcs")?;
        let (_, listeners) = self.kept.remove("listeners").unwrap_or_default();
        let (executor, link) = self.section::<KeptExecutor>("executor")?;
        let taken = Taken {
            node,
            listeners,
            rpcs,
            json: self.section("json")?,
            ajp: self.section("ajp")?,
            executor: (executor, link.into_iter().next()),
            below: self.section("below")?,
            tokens: std::mem::replace(&mut self.tokens, Keys::new(0)),
        };
        let matches = taken.json.0.of.len() == taken.json.1.len()
            && taken.ajp.0.of.len() == taken.ajp.1.len()
            && taken.below.0.links.len() == taken.below.1.len()
            && taken.executor.0.stream.is_some() == taken.executor.1.is_some();
        if matches {
            Ok(taken)
        } else {
            Err(LoadError::DescriptorCount)
        }
    }
}

impl<P, B: FnMut(Taken) -> Result<P, String>> Actions for Side<'_, P, B> {
    type LoadError = LoadError;

    fn send(&mut self, message: Message) {
        let _ = self.wire.send(message, &[]);
    }

    fn store(&mut self, section: &str, bytes: &[u8], descriptors: u32) {
        let came = self.wire.take(descriptors as usize);
        self.short |= came.is_none();
        if section == records::AHEAD.0 {
            match KeptTokens::decode(bytes) {
                Ok(piece) => self.tokens.take(piece.tokens, &[]),
                Err(_) => self.short = true,
            }
            return;
        }
        let kept = self.kept.entry(section.to_string()).or_default();
        kept.0.extend_from_slice(bytes);
        kept.1.extend(came.unwrap_or_default());
    }

    fn load(&mut self) -> Result<(), LoadError> {
        let taken = self.taken()?;
        let built = (self.build)(taken).map_err(|reason| LoadError::Assembly { reason })?;
        self.built = Some(built);
        Ok(())
    }

    fn start(&mut self) {
        self.begins(true);
    }

    fn start_fresh(&mut self) {
        self.begins(false);
    }

    fn kill_peer(&mut self) {
        self.link.report("end other");
    }

    fn exit(&mut self, error: &SuccessorError) {
        self.end = Some(error.to_string());
    }
}

impl<P, B> Side<'_, P, B> {
    fn begins(&mut self, with: bool) {
        // Whoever started both has the last word on who acts; that the other died it may hear a moment later.
        let may = (0..BEGIN_TRIES).any(|tried| {
            if tried > 0 {
                std::thread::sleep(LOOK);
            }
            self.link.ask(Question::MayBegin, BEGIN) == Some(true)
        });
        if !may {
            self.end = Some("the running program goes on".into());
            return;
        }
        self.begin = Some(match self.built.take().filter(|_| with) {
            Some(built) => Begin::With(built),
            None => Begin::Anew,
        });
    }
}
