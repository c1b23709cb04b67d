//! Decides, on the side of the program that is to take over, how far a hand-over goes: whether it takes what is
//! offered, when it may begin, and when it ends instead.

use crate::messages::{Empty, Hello, Message, Offer, Prepare, Refusal, Section};
use crate::{NEWEST_VERSION, OLDEST_VERSION};

/// What is asked of the program that is to take over.
pub trait Actions {
    fn send(&mut self, message: Message);
    /// Keeps a part of the other's state.
    fn store(&mut self, section: &str, bytes: &[u8], descriptors: u32);
    /// Puts together all that was kept. An error says what is wrong with it; nothing may be done with it yet.
    fn load(&mut self) -> Result<(), String>;
    /// Serves from here on, with what was taken.
    fn start(&mut self);
    /// Serves from here on as after a start: the other died before it had given all of it.
    fn start_fresh(&mut self);
    /// Has the other process ended, so that its end can be heard.
    fn kill_peer(&mut self);
    /// Ends, as nothing is to be taken over.
    fn exit(&mut self, why: &str);
}

/// How long each step may take, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// For the other side's next word before it stands still.
    pub answer_us: u64,
    /// For its word once it stands still.
    pub pause_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    HelloSent {
        deadline_us: u64,
    },
    Receiving {
        deadline_us: u64,
    },
    /// What went ahead is here; the other stands still, or will.
    Ready {
        deadline_us: u64,
    },
    /// All of it is here.
    Loaded {
        deadline_us: u64,
    },
    Serving,
    Ended,
}

/// What this program can take.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Capabilities {
    pub digest: u64,
    pub program: String,
    /// The newest version of each section that it knows.
    pub known_sections: Vec<Section>,
    pub bytes: u64,
    pub descriptors: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    state: State,
    limits: Limits,
    capabilities: Capabilities,
    chunks: u64,
}

impl Successor {
    /// Its files are read and good: the first word goes out.
    pub fn new(
        now_us: u64,
        limits: Limits,
        capabilities: Capabilities,
        actions: &mut impl Actions,
    ) -> Successor {
        let (digest, program) = (capabilities.digest, capabilities.program.clone());
        actions.send(Message::Hello(Hello {
            oldest: OLDEST_VERSION,
            newest: NEWEST_VERSION,
            program,
            digest,
        }));
        Successor {
            state: State::HelloSent { deadline_us: now_us + limits.answer_us },
            limits,
            capabilities,
            chunks: 0,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether it may read, start, answer and call.
    pub fn may_act(&self) -> bool {
        self.state == State::Serving
    }

    pub fn message(&mut self, now_us: u64, message: &Message, actions: &mut impl Actions) {
        match (self.state, message) {
            (State::Serving | State::Ended, _) => {}
            (State::HelloSent { .. }, Message::Offer(offer)) => match self.check(offer) {
                Err(why) => self.refuse(&why, actions),
                Ok(()) => {
                    actions.send(Message::Prepare(Prepare {}));
                    self.state = State::Receiving { deadline_us: now_us + self.limits.answer_us };
                }
            },
            (State::Receiving { .. } | State::Ready { .. }, Message::Chunk(chunk)) => {
                self.chunks += 1;
                // What goes ahead may take long as a whole; the running program serves meanwhile.
                if let State::Receiving { deadline_us } = &mut self.state {
                    *deadline_us = (*deadline_us).max(now_us + self.limits.answer_us);
                }
                actions.store(&chunk.section, &chunk.bytes, chunk.descriptors);
            }
            (State::Receiving { .. }, Message::AheadComplete(count)) if count.chunks == self.chunks => {
                self.chunks = 0;
                actions.send(Message::Ready(Empty {}));
                self.state = State::Ready { deadline_us: now_us + self.limits.pause_us };
            }
            (State::Ready { .. }, Message::TransferComplete(count)) if count.chunks == self.chunks => {
                match actions.load() {
                    Err(why) => self.refuse(&why, actions),
                    Ok(()) => {
                        actions.send(Message::Loaded(Empty {}));
                        self.state = State::Loaded { deadline_us: now_us + self.limits.pause_us };
                    }
                }
            }
            (State::Loaded { .. }, Message::Release(_)) => self.serve(actions),
            (_, Message::Refuse(refuse) | Message::Abort(refuse)) => self.end(&refuse.reason, actions),
            (_, _) => self.refuse("a message out of turn", actions),
        }
    }

    /// The stream has ended, which only the other process's end brings about: nobody serves.
    pub fn peer_ended(&mut self, actions: &mut impl Actions) {
        match self.state {
            State::Serving | State::Ended => {}
            // It stood still when it died, and all that it held is here.
            State::Loaded { .. } => self.serve(actions),
            State::HelloSent { .. } | State::Receiving { .. } | State::Ready { .. } => {
                self.state = State::Serving;
                actions.start_fresh();
            }
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now_us: u64, actions: &mut impl Actions) {
        if self.deadline_us().is_none_or(|deadline_us| now_us < deadline_us) {
            return;
        }
        match self.state {
            // The other stands still, or has let go: it answers in its time, or it hangs and has to be ended.
            State::Loaded { .. } => {
                actions.kill_peer();
                self.state = State::Loaded { deadline_us: now_us + self.limits.pause_us };
            }
            _ => self.refuse("the running program took too long", actions),
        }
    }

    /// Until when something has to come.
    pub fn deadline_us(&self) -> Option<u64> {
        match self.state {
            State::HelloSent { deadline_us }
            | State::Receiving { deadline_us }
            | State::Ready { deadline_us }
            | State::Loaded { deadline_us } => Some(deadline_us),
            State::Serving | State::Ended => None,
        }
    }

    /// It is told to leave. Once it holds everything it may be the last one alive: then it serves first, and is told
    /// again.
    pub fn leave(&mut self, actions: &mut impl Actions) {
        if matches!(self.state, State::HelloSent { .. } | State::Receiving { .. } | State::Ready { .. }) {
            self.refuse("told to leave", actions);
        }
    }

    fn check(&self, offer: &Offer) -> Result<(), String> {
        for section in &offer.sections {
            let knows = self.capabilities.known_sections.iter().find(|known| known.name == section.name);
            if knows.is_none_or(|known| known.version < section.version) {
                return Err(format!("it does not know {} of version {}", section.name, section.version));
            }
        }
        let Capabilities { bytes, descriptors, .. } = self.capabilities;
        if offer.bytes > bytes {
            return Err(format!("{} bytes of state, room for {bytes}", offer.bytes));
        }
        if offer.descriptors > descriptors {
            return Err(format!("{} descriptors, room for {descriptors}", offer.descriptors));
        }
        Ok(())
    }

    /// The word comes before the first act: a predecessor that has not heard it may take all of it up again.
    fn serve(&mut self, actions: &mut impl Actions) {
        self.state = State::Serving;
        actions.send(Message::Started(Empty {}));
        actions.start();
    }

    fn refuse(&mut self, why: &str, actions: &mut impl Actions) {
        actions.send(Message::Abort(Refusal { reason: why.into() }));
        self.end(why, actions);
    }

    fn end(&mut self, why: &str, actions: &mut impl Actions) {
        self.state = State::Ended;
        actions.exit(why);
    }
}
