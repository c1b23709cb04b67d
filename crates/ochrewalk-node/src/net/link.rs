//! One stream, both ways, in one coroutine and on one descriptor. may lets only one coroutine wait on a
//! stream, and a clone of it would cost a second descriptor; so a single coroutine waits for whatever comes
//! first, that something can be read, that it can be written, or that a line was put into the outbox.

use crate::close_reason::CloseReason;
use crate::handover::pause::is_paused;
use crate::handover::records::StreamRecord;
use crate::panics::contain;
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsRawFd, FromRawFd, IntoRawFd, OwnedFd, RawFd};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Read at once, and before others get their turn.
const CHUNK: usize = 8 * 1024;
const TURN: usize = 16;
/// A stream that is to end is not written out if its peer has taken nothing for so long.
const STUCK: Duration = Duration::from_secs(1);
/// How long a stream that we have ended is read on, how much of what still comes is thrown away, and how often it is
/// looked at.
const LINGER: Duration = Duration::from_millis(250);
const LINGER_BYTES: usize = 1024 * 1024;
const LINGER_STEP: Duration = Duration::from_millis(5);
/// How often a pause is looked at by whoever accepts.
const STILL: Duration = Duration::from_millis(1);
/// Written lines that are kept until they are confirmed.
const MOST_WRITTEN: usize = 4_096;

/// What waits to be written to one peer. Lines that were not written whole when a stream ended stay, for the
/// next stream.
#[derive(Default)]
pub struct Outbox {
    waiting: Mutex<Waiting>,
    /// The present stream, held while something is read or written on it. Taken before the other where both are.
    progress: Mutex<Progress>,
}

/// A stream between any two bytes.
#[derive(Default)]
struct Progress {
    /// None while there is no stream.
    fd: Option<RawFd>,
    /// Read, and no whole message yet.
    input: Vec<u8>,
    writing: Writing,
    /// It goes on from another process.
    resumed: bool,
}

#[derive(Default)]
struct Waiting {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    /// Wakes the coroutine of the present stream.
    waker: Option<WaitIoWaker>,
    finish: Option<Finish>,
    /// Lines written to this stream or one before it, where those are kept until they are confirmed.
    written: Option<VecDeque<Vec<u8>>>,
}

/// How a stream is to end once all that waits is written. The first three end it only where nothing whole lies
/// unread and [`Reader::may_end`] still holds: guards against a node that is slow to read and takes its own
/// slowness for a peer's silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// It carries nothing.
    Idle,
    /// The peer sends what means nothing.
    Faulty,
    /// The peer says nothing.
    Silent,
    /// Once what has come is read; what was not begun to be written waits for the next stream.
    Moved,
    /// Once all that was read is answered nothing more is written; what still comes is read and thrown away, as closing
    /// on unread input would reset answers that are under way.
    Leaving,
}

impl Finish {
    const ALL: [Finish; 5] = [Finish::Idle, Finish::Faulty, Finish::Silent, Finish::Moved, Finish::Leaving];
}

impl Outbox {
    /// An outbox that keeps what was written until [`Outbox::confirm`] or [`Outbox::take_written`].
    pub fn keeping() -> Outbox {
        let waiting = Waiting { written: Some(VecDeque::new()), ..Waiting::default() };
        Outbox { waiting: Mutex::new(waiting), progress: Mutex::default() }
    }

    /// The present stream, for another process to go on with. None while there is no stream.
    pub fn keep(&self) -> Option<(RawFd, StreamRecord)> {
        let progress = self.progress();
        let waiting = self.lock();
        let mut lines: Vec<Vec<u8>> = waiting.lines.iter().cloned().collect();
        let Writing { line, sent, half_closed, .. } = &progress.writing;
        if *sent < line.len() {
            lines.insert(0, line.clone());
        }
        let finish =
            waiting.finish.map_or(0, |how| 1 + Finish::ALL.iter().position(|h| *h == how).unwrap_or(0));
        let kept = StreamRecord {
            input: progress.input.clone(),
            unsent: lines,
            sent: if *sent < line.len() { *sent as u64 } else { 0 },
            half_closed: *half_closed,
            close_reason: finish as u32,
            unconfirmed: waiting.written.iter().flatten().cloned().collect(),
        };
        Some((progress.fd?, kept))
    }

    /// What waits for the next stream, where there is none.
    pub fn waiting(&self) -> Vec<Vec<u8>> {
        self.lock().lines.iter().cloned().collect()
    }

    /// Goes on with a stream of another process; `keeping` as for [`Outbox::keeping`].
    pub fn resume(kept: StreamRecord, keeping: bool) -> Outbox {
        let mut lines: VecDeque<Vec<u8>> = kept.unsent.into();
        let mut writing = Writing { half_closed: kept.half_closed, ..Writing::default() };
        if kept.sent > 0 {
            (writing.line, writing.sent) = (lines.pop_front().unwrap_or_default(), kept.sent as usize);
        }
        let waiting = Waiting {
            bytes: lines.iter().map(Vec::len).sum(),
            lines,
            waker: None,
            finish: (kept.close_reason as usize).checked_sub(1).and_then(|at| Finish::ALL.get(at).copied()),
            written: keeping.then(|| kept.unconfirmed.into()),
        };
        let progress = Progress { fd: None, input: kept.input, writing, resumed: true };
        Outbox { waiting: Mutex::new(waiting), progress: Mutex::new(progress) }
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn push(&self, line: Vec<u8>) {
        self.change(|w| {
            // Guards against a line that is written to a stream just about to be closed as idle.
            w.finish = w.finish.filter(|how| *how != Finish::Idle);
            w.bytes += line.len();
            w.lines.push_back(line);
        });
    }

    /// Bytes that wait, less the line that is being written.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    pub fn finish(&self, how: Finish) {
        // One that leaves does not go as idle: what still comes on it is read.
        self.change(|w| {
            let stays = w.finish == Some(Finish::Leaving) && how == Finish::Idle;
            w.finish = if stays { w.finish } else { Some(how) };
        });
    }

    /// As [`Outbox::finish`], but nothing where that was asked already.
    pub fn finish_once(&self, how: Finish) {
        let asked = self.lock().finish;
        if asked != Some(how) {
            self.finish(how);
        }
    }

    /// Has the stream looked at again, as time has passed.
    pub fn nudge(&self) {
        self.change(|_| ());
    }

    /// The next stream is not asked to end yet.
    pub fn begin(&self) {
        self.change(|w| w.finish = None);
    }

    /// Takes back what was not written.
    pub fn take_unwritten(&self) -> VecDeque<Vec<u8>> {
        self.change(|w| {
            w.bytes = 0;
            std::mem::take(&mut w.lines)
        })
    }

    /// The peer has read this line, and so all that was written before it.
    pub fn confirm(&self, line: &[u8]) {
        self.change(|w| {
            let written = w.written.as_mut();
            let at = written.as_ref().and_then(|written| written.iter().position(|l| l == line));
            if let (Some(written), Some(at)) = (written, at) {
                written.drain(..=at);
            }
        });
    }

    /// The peer has read those of the lines that were written.
    pub fn settle(&self, is_read: impl Fn(&[u8]) -> bool) {
        if let Some(written) = &mut self.lock().written {
            written.retain(|line| !is_read(line));
        }
    }

    /// Takes what was written and not confirmed.
    pub fn take_written(&self) -> VecDeque<Vec<u8>> {
        self.change(|w| w.written.as_mut().map(std::mem::take).unwrap_or_default())
    }

    fn change<T>(&self, what: impl FnOnce(&mut Waiting) -> T) -> T {
        let mut waiting = self.lock();
        let answer = what(&mut waiting);
        if let Some(waker) = &waiting.waker {
            waker.wakeup();
        }
        answer
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

/// What a protocol does with what is read.
pub trait Reader {
    /// Takes the first whole message and says how many bytes it took; 0 where none is whole.
    fn take(&mut self, input: &[u8]) -> Result<usize, CloseReason>;

    /// Whether more may be read now. It is asked again after anything was written or put into the outbox.
    fn ready(&self) -> bool {
        true
    }

    /// All that had come was read, or no more of it is to be; `written` says whether all is written, too.
    fn drained(&mut self, _written: bool) {}

    /// Whether the stream may still end so, now that all that had come was read (or no more of it is to be).
    fn may_end(&self, _how: Finish) -> bool {
        true
    }

    /// A message has come that is longer than any may be, so that where the next one begins is not known. Where answers
    /// are owed they are still given, and nothing more is read.
    fn too_long(&mut self) -> Result<(), CloseReason> {
        Err(CloseReason::MessageTooLong)
    }
}

/// The next connection. While this process stands still none is taken; it waits with the system.
pub fn accept(listener: &TcpListener) -> std::io::Result<(TcpStream, SocketAddr)> {
    loop {
        if is_paused() {
            may::coroutine::sleep(STILL);
            continue;
        }
        match listener.inner().accept() {
            // SAFETY: the descriptor was just made and is owned by nobody else.
            Ok((stream, from)) => return Ok((unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) }, from)),
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                listener.wait_io();
            }
            Err(err) => return Err(err),
        }
    }
}

/// Ends a stream that was carried to this ending, whoever is at the other side: where we end it our side is shut first,
/// then what still comes is read and thrown away until the peer's end or a bound, or while `crowded`. Guards against bytes
/// that come in that instant: closing over them resets the stream, and takes with it what is still on its way.
pub fn let_go(stream: &TcpStream, ending: &CloseReason, crowded: impl Fn() -> bool) {
    if !ending.is_closed_locally() || stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let until = Instant::now() + LINGER;
    let (mut chunk, mut thrown) = (vec![0; CHUNK], 0);
    while thrown < LINGER_BYTES {
        match stream.inner().read(&mut chunk) {
            Ok(0) => return,
            Ok(got) => thrown += got,
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                if crowded() || Instant::now() >= until {
                    return;
                }
                may::coroutine::sleep(LINGER_STEP);
            }
            Err(_) => return,
        }
    }
}

/// A stream that came from another process.
pub fn adopt(descriptor: OwnedFd) -> TcpStream {
    // SAFETY: the descriptor is owned by the caller, who gives it away.
    unsafe { TcpStream::from_raw_fd(descriptor.into_raw_fd()) }
}

pub fn connect(to: &SocketAddr, within: Duration) -> Result<TcpStream, CloseReason> {
    let stream =
        TcpStream::connect_timeout(to, within).map_err(|err| CloseReason::from_connect_error(&err))?;
    stream.set_nodelay(true).map_err(|err| CloseReason::from_io_error(&err))?;
    Ok(stream)
}

/// Carries `first`, then what is put into the outbox, and hands what is read to the reader, until the stream
/// ends. No message may be longer than `longest`.
pub fn carry(
    stream: &TcpStream,
    outbox: &Outbox,
    first: Option<Vec<u8>>,
    longest: usize,
    reader: &mut impl Reader,
) -> CloseReason {
    outbox.change(|w| w.waker = Some(stream.waker()));
    {
        let mut progress = outbox.progress();
        if !std::mem::take(&mut progress.resumed) {
            progress.writing = Writing { line: first.unwrap_or_default(), own: true, ..Writing::default() };
            progress.input = Vec::new();
        }
        progress.fd = Some(stream.as_raw_fd());
    }
    let ending = loop {
        let went = if is_paused() {
            Ok(false)
        } else {
            let broken = Err(CloseReason::Broken(ErrorKind::Other));
            contain(|| {
                let mut progress = outbox.progress();
                let Progress { input, writing, .. } = &mut *progress;
                turn(stream, outbox, writing, input, longest, reader)
            })
            .unwrap_or(broken)
        };
        match went {
            Ok(false) => {
                stream.wait_io();
            }
            Ok(true) => may::coroutine::yield_now(),
            Err(ending) => break ending,
        }
    };
    let mut progress = outbox.progress();
    let Writing { line, sent, own, .. } = std::mem::take(&mut progress.writing);
    *progress = Progress::default();
    outbox.change(|w| {
        w.waker = None;
        if !own && sent < line.len() {
            w.bytes += line.len();
            w.lines.push_front(line);
        }
    });
    ending
}

#[derive(Default)]
struct Writing {
    line: Vec<u8>,
    sent: usize,
    /// The line belongs to this stream alone.
    own: bool,
    half_closed: bool,
    /// Since when the peer has taken nothing.
    stuck: Option<Instant>,
}

/// Writes and reads what can be without waiting. True where more could have been read.
fn turn(
    stream: &TcpStream,
    outbox: &Outbox,
    writing: &mut Writing,
    input: &mut Vec<u8>,
    longest: usize,
    reader: &mut impl Reader,
) -> Result<bool, CloseReason> {
    write(stream, outbox, writing)?;
    for _ in 0..TURN {
        if !writing.half_closed && !reader.ready() {
            return end_if_asked(stream, outbox, writing, reader);
        }
        let had = input.len();
        input.resize(had + CHUNK, 0);
        let got = stream.inner().read(&mut input[had..]);
        input.truncate(had + *got.as_ref().unwrap_or(&0));
        match got {
            Ok(0) if writing.half_closed => return Err(CloseReason::Draining),
            Ok(0) => return Err(CloseReason::ClosedByPeer),
            Ok(_) => {}
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                if input.is_empty() {
                    *input = Vec::new();
                }
                // Guards against a reset, which could take commands with it that are on their way: nothing is
                // left unread.
                return end_if_asked(stream, outbox, writing, reader);
            }
            Err(err) if err.kind() == ErrorKind::Interrupted => continue,
            Err(err) => return Err(CloseReason::from_io_error(&err)),
        }
        // Guards against a start for which no answer could be written any more.
        if writing.half_closed {
            input.clear();
            continue;
        }
        let mut at = 0;
        while at < input.len() {
            match reader.take(&input[at..])? {
                0 if input.len() - at > longest => {
                    reader.too_long()?;
                    at = input.len();
                }
                0 => break,
                taken => at += taken,
            }
        }
        input.drain(..at);
        write(stream, outbox, writing)?;
    }
    Ok(true)
}

/// Ends the stream if it was asked to, all is written and the reader agrees; else forgets that it was asked.
fn end_if_asked(
    stream: &TcpStream,
    outbox: &Outbox,
    writing: &mut Writing,
    reader: &mut impl Reader,
) -> Result<bool, CloseReason> {
    let sent = writing.sent == writing.line.len();
    reader.drained(sent && outbox.lock().lines.is_empty());
    let asked = {
        let waiting = outbox.lock();
        // Nothing more is written on one that moves: what waits goes out on the next stream, and holds up no end. On any
        // other it is written first, also what the reader has just put into the outbox, which wakes this stream again.
        let ends = |how: &Finish| sent && (waiting.lines.is_empty() || *how == Finish::Moved);
        waiting.finish.filter(ends)
    };
    let ending = match asked {
        Some(Finish::Leaving) => {
            // Not while an answer is owed: guards against one that comes a moment too late to be written.
            if !writing.half_closed && reader.may_end(Finish::Leaving) {
                writing.half_closed = true;
                let _ = stream.shutdown(Shutdown::Write);
            }
            return Ok(false);
        }
        None => return Ok(false),
        Some(_) if writing.half_closed => CloseReason::Draining,
        Some(Finish::Idle) => CloseReason::Idle,
        Some(Finish::Faulty) => CloseReason::Malformed("too many faults".into()),
        Some(Finish::Silent) => CloseReason::TimedOut,
        Some(Finish::Moved) => return Err(CloseReason::Moved),
    };
    if asked.is_some_and(|how| reader.may_end(how)) {
        return Err(ending);
    }
    let mut waiting = outbox.lock();
    waiting.finish = waiting.finish.filter(|how| Some(*how) != asked);
    Ok(false)
}

fn write(stream: &TcpStream, outbox: &Outbox, writing: &mut Writing) -> Result<(), CloseReason> {
    loop {
        if writing.sent == writing.line.len() {
            let next = {
                let mut waiting = outbox.lock();
                let whole = std::mem::take(&mut writing.line);
                if let Some(written) = waiting.written.as_mut().filter(|_| !writing.own && !whole.is_empty())
                {
                    written.push_back(whole);
                    // Guards against a peer that confirms nothing.
                    if written.len() > MOST_WRITTEN {
                        written.pop_front();
                    }
                }
                let moved = waiting.finish == Some(Finish::Moved);
                let next = if moved { None } else { waiting.lines.pop_front() };
                waiting.bytes -= next.as_ref().map_or(0, Vec::len);
                next
            };
            (writing.sent, writing.own) = (0, false);
            writing.line = next.unwrap_or_default();
            if writing.line.is_empty() {
                return Ok(());
            }
        }
        match stream.inner().write(&writing.line[writing.sent..]) {
            Ok(0) => return Err(CloseReason::ClosedByPeer),
            Ok(wrote) => (writing.sent, writing.stuck) = (writing.sent + wrote, None),
            // Guards against a peer that reads nothing: what is to end does not wait for it.
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                let since = *writing.stuck.get_or_insert_with(Instant::now);
                return match outbox.lock().finish {
                    Some(Finish::Idle | Finish::Faulty | Finish::Silent) if since.elapsed() >= STUCK => {
                        Err(CloseReason::TimedOut)
                    }
                    _ => Ok(()),
                };
            }
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(err) => return Err(CloseReason::from_io_error(&err)),
        }
    }
}
