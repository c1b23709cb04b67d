//! The side that serves: it stands still, writes down all that it holds, and goes on where the other does not take it.

use super::keeper::Line;
use super::records::{self, KeptCall, KeptNode, KeptRpc, KeptRpcs};
use super::wire::{Heard, Wire};
use super::{stand_still, stands_still};
use crate::node::Node;
use ochrewalk_handover::giver::{Acts, Giver, Holding, Limits};
use ochrewalk_handover::messages::{Message, Part, MOST_DESCRIPTORS};
use prost::Message as _;
use std::os::fd::{BorrowedFd, RawFd};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const LIMITS: Limits = Limits { prepare_us: 5_000_000, freeze_us: 2_000_000, begin_us: 1_000_000 };
/// How often signals are looked at beside messages.
const LOOK: Duration = Duration::from_millis(10);
/// How long calls on connections that cannot move are waited for, and all to come to rest.
const UNMOVABLE: Duration = Duration::from_millis(150);
const TO_REST: Duration = Duration::from_millis(250);
/// Bytes of one part.
const PART: usize = 256 * 1024;

/// One section of what is handed over, and its descriptors.
type Section = (&'static str, Vec<u8>, Vec<RawFd>);

/// What the thread that waits for signals needs of an attempt.
#[derive(Default)]
pub struct Handing {
    state: Mutex<Option<Sender<String>>>,
    over: Condvar,
}

impl Handing {
    /// Ends an attempt that is under way and comes back once this process serves again; not at all where it has given
    /// everything away.
    pub fn interrupt(&self, why: &str) {
        let mut state = self.state.lock().unwrap_or_else(|broken| broken.into_inner());
        while let Some(to) = &*state {
            let _ = to.send(why.to_string());
            state = self.over.wait_timeout(state, LOOK).unwrap_or_else(|broken| broken.into_inner()).0;
        }
    }

    fn begin(&self) -> Receiver<String> {
        let (to, interrupts) = channel();
        *self.state.lock().unwrap_or_else(|broken| broken.into_inner()) = Some(to);
        interrupts
    }

    fn end(&self) {
        *self.state.lock().unwrap_or_else(|broken| broken.into_inner()) = None;
        self.over.notify_all();
    }
}

/// Hands over, or goes on as if nothing had been tried.
pub fn give(node: &Arc<Node>, handing: &Handing, line: &Line, wire: Wire) {
    let interrupts = handing.begin();
    let clock = node.core.clock;
    let mut giver = Giver::new(clock.now_us(), LIMITS, holding(node));
    let mut side = Side { node, line, wire, failed: None };
    while !giver.is_over() {
        if let Ok(why) = interrupts.try_recv() {
            giver.interrupt(&why, &mut side);
        }
        match side.wire.hear(LOOK) {
            Ok(Heard::Message(message)) => giver.message(clock.now_us(), &message, &mut side),
            Ok(Heard::Ended) => giver.peer_ended(&mut side),
            Ok(Heard::Unknown | Heard::Nothing) => giver.tick(clock.now_us(), &mut side),
            Err(err) => {
                giver.interrupt(&format!("its words cannot be read: {err}"), &mut side);
                // Given away already: only its end counts now.
                side.line.say("end other");
                std::thread::sleep(LOOK);
                giver.tick(clock.now_us(), &mut side);
            }
        }
        if let Some(why) = side.failed.take() {
            giver.interrupt(&why, &mut side);
        }
    }
    handing.end();
}

/// What there is, and whether two of us fit the limits.
fn holding(node: &Node) -> Holding {
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |all| all.count());
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = pages.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 4_096;
    let (memory, most) = (node.memory_bytes as u64, node.descriptors);
    let mb = |bytes: u64| bytes / 1024 / 1024;
    let unfit = if 2 * resident > memory {
        Some(format!("{} MB in use, twice that is more than the {} MB allowed", mb(resident), mb(memory)))
    } else if 2 * descriptors > most {
        Some(format!("{descriptors} descriptors in use, twice that is more than the {most} allowed"))
    } else {
        None
    };
    let (digest, sections) = (node.digest, records::sections());
    Holding { digest, sections, bytes: resident, descriptors: descriptors as u32, unfit }
}

struct Side<'a> {
    node: &'a Arc<Node>,
    line: &'a Line,
    wire: Wire,
    /// Why it cannot be handed over after all.
    failed: Option<String>,
}

impl Acts for Side<'_> {
    fn send(&mut self, message: Message) {
        // Where it cannot be written the other has ended, which is heard next.
        let _ = self.wire.send(message, &[]);
    }

    /// All that is held changes with every RPC.
    fn send_ahead(&mut self) -> u64 {
        0
    }

    fn freeze(&mut self) -> u64 {
        if !self.line.may("still?") {
            self.failed = Some("the keeper does not answer".into());
            return 0;
        }
        let (to, snapshot) = channel();
        let node = self.node.clone();
        may::go!(move || drop(to.send(write_down(&node))));
        let sections = match snapshot.recv() {
            Ok(Ok(sections)) => sections,
            Ok(Err(why)) => {
                self.failed = Some(why.into());
                return 0;
            }
            Err(_) => {
                self.failed = Some("its state cannot be written down".into());
                return 0;
            }
        };
        let mut parts = 0;
        for (section, bytes, descriptors) in sections {
            let (mut bytes, mut descriptors) = (bytes.as_slice(), descriptors.as_slice());
            loop {
                let (now, later) = bytes.split_at(bytes.len().min(PART));
                let (beside, others) = descriptors.split_at(descriptors.len().min(MOST_DESCRIPTORS));
                // SAFETY: this process stands still, so that none of its streams is closed before this is over.
                let borrowed: Vec<BorrowedFd> =
                    beside.iter().map(|fd| unsafe { BorrowedFd::borrow_raw(*fd) }).collect();
                let count = beside.len() as u32;
                let part = Part { section: section.into(), bytes: now.to_vec(), descriptors: count };
                // Where it cannot be written the other has ended, which is heard next.
                if self.wire.send(Message::Part(part), &borrowed).is_err() {
                    return parts;
                }
                parts += 1;
                (bytes, descriptors) = (later, others);
                if bytes.is_empty() && descriptors.is_empty() {
                    break;
                }
            }
        }
        parts
    }

    fn thaw(&mut self) {
        if !self.line.may("on?") {
            tracing::error!(part = "upgrade", "another acts in this node's place; this process ends");
            crate::logger::flush();
            std::process::exit(71);
        }
        go_on(self.node);
    }

    fn end_peer(&mut self) {
        self.line.say("end other");
    }

    fn retire(&mut self) {
        tracing::info!(part = "upgrade", "handed over; this process ends");
        crate::logger::flush();
        std::process::exit(0);
    }

    fn tell(&mut self, how: &str) {
        tracing::warn!(part = "upgrade", "{how}");
        self.line.say(&format!("told {how}"));
    }
}

fn go_on(node: &Node) {
    stand_still(false);
    if let Some(below) = &node.core.below {
        below.hold(false);
        below.nudge();
    }
    node.core.executor.nudge();
    node.dispatchers.nudge();
    if let Some(front) = &node.ajp {
        front.nudge();
    }
}

/// Stands still and writes all of it down, in a coroutine: nothing else runs between the first and the last look.
fn write_down(node: &Node) -> Result<Vec<Section>, &'static str> {
    let core = &node.core;
    let clock = core.clock;
    let until = |wait: Duration| clock.now_us() + wait.as_micros() as u64;
    let nap = || may::coroutine::sleep(Duration::from_millis(1));
    if let Some(below) = &core.below {
        below.hold(true);
        let by_us = until(UNMOVABLE);
        while below.is_unmovable() && clock.now_us() < by_us {
            nap();
        }
    }
    stand_still(true);
    let by_us = until(TO_REST);
    loop {
        debug_assert!(stands_still());
        let json = node.dispatchers.keep();
        let ajp = node.ajp.as_ref().map(|front| front.keep());
        if let (true, Some(json), Some(ajp)) =
            (core.gate.is_at_rest(), json, ajp.map_or(Some(None), |kept| kept.map(Some)))
        {
            return Ok(sections(node, json, ajp));
        }
        if clock.now_us() >= by_us {
            return Err("it does not come to rest");
        }
        nap();
    }
}

fn sections(
    node: &Node,
    json: (records::KeptDispatchers, Vec<RawFd>),
    ajp: Option<(records::KeptAjps, Vec<RawFd>)>,
) -> Vec<Section> {
    let core = &node.core;
    let (print_key, print_key_more) = core.print_key();
    let mut kept =
        KeptNode { clock_base_ns: core.clock.base_ns(), print_key, print_key_more, ..KeptNode::default() };
    core.gate.keep(&mut kept);
    let living = core.living();
    let rpcs = living.values().map(|living| {
        let life = living.lock();
        let call = life.call.as_ref().map(|call| KeptCall {
            pos: call.pos,
            body: call.body.clone(),
            placed: call.placed.is_some(),
            at_us: call.placed.map_or(0, |placed| placed.at_us),
            until_us: call.placed.map_or(0, |placed| placed.until_us),
        });
        let token = living.rpc.token.as_ref();
        KeptRpc {
            id: living.rpc.id.to_string(),
            method: living.rpc.method as u32,
            kb: living.rpc.kb,
            ts_ms: living.rpc.ts_ms,
            left_us: living.rpc.left_us,
            token: token.map(|t| t.key.to_string()),
            work: token.map_or(0, |t| t.work),
            body: living.body.to_string(),
            owed: life.owed,
            running: life.running,
            call,
            asker: life.owed.then(|| living.asker.whereabouts()),
        }
    });
    let rpcs = KeptRpcs { rpcs: rpcs.collect() };
    let (executor, link) = core.executor.keep();
    let (below, links) = core.below.as_ref().map(|below| below.keep()).unwrap_or_default();
    let listeners = [node.dispatchers.listener(), node.ajp.as_ref().and_then(|front| front.listener())];
    let mut all = vec![
        ("node", kept.encode_to_vec(), Vec::new()),
        ("listeners", Vec::new(), listeners.into_iter().flatten().collect()),
        ("rpcs", rpcs.encode_to_vec(), Vec::new()),
        ("json", json.0.encode_to_vec(), json.1),
        ("executor", executor.encode_to_vec(), link.into_iter().collect()),
        ("below", below.encode_to_vec(), links),
    ];
    if let Some((kept, descriptors)) = ajp {
        all.push(("ajp", kept.encode_to_vec(), descriptors));
    }
    all
}
