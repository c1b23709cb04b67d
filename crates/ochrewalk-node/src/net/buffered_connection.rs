//! Buffered connections: one coroutine and one descriptor carry both directions of a stream.
//!
//! `may` lets only one coroutine wait on a stream, and a clone of the stream would use a second descriptor. A
//! single coroutine therefore waits until the stream is readable, the stream is writable, or a line is queued.

use super::flood_control::{
    sleep_after_client_turn, sleep_after_trusted_turn, MAX_CLIENT_MESSAGES_PER_TURN,
    MAX_TRUSTED_MESSAGES_PER_TURN,
};
use super::input_budget::{InputBudget, ReservedInput};
pub use super::send_queue::{CloseRequest, SendQueue};
use super::send_queue::{StreamState, WriteState, MAX_UNCONFIRMED_LINES};
use crate::close_reason::CloseReason;
use crate::handover::pause::is_paused;
use crate::panics::contain;
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsRawFd, FromRawFd, IntoRawFd, OwnedFd};
use std::time::{Duration, Instant};

/// The number of bytes that one read requests.
const READ_BYTES: usize = 8 * 1024;
/// The number of reads after which a turn of the coroutine ends.
const READS_PER_TURN: usize = 16;
/// The time without any progress of a write after which a connection that is to be closed is closed without
/// flushing the queue.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The time for which a connection that this side has closed is still read.
const LINGER: Duration = Duration::from_millis(250);
/// The number of bytes that are discarded during that time.
const LINGER_BYTES: usize = 1024 * 1024;
/// The interval between two reads during that time.
const LINGER_INTERVAL: Duration = Duration::from_millis(5);
/// The interval at which [`accept`] polls for the end of a pause.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The trust in the peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// A part of this server's deployment.
    Trusted,
    /// A client, which may send more than the node can handle.
    Client,
}

/// The protocol on a connection: handles the messages that are received.
pub trait MessageHandler {
    /// The trust in the peer. The messages of a client are limited in their rate.
    fn peer_kind(&self) -> PeerKind {
        PeerKind::Trusted
    }

    /// The budget for incomplete messages, where the connection shares one with others.
    fn input_budget(&self) -> Option<&InputBudget> {
        None
    }

    /// Handles the first complete message in `input` and returns the number of bytes that it takes, or 0 where no
    /// message is complete.
    ///
    /// # Errors
    ///
    /// The connection must be closed for the returned reason.
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason>;

    /// Responds to the departure of a client whose input is not all handled yet: no answer can reach it any more.
    fn on_client_departed(&mut self) {}

    /// Whether more may be read now. The connection calls this again after each write and after each queued line.
    fn may_read(&self) -> bool {
        true
    }

    /// Responds to the state in which all received input is read, or no more of it may be read. `_is_flushed` states
    /// whether the queue is written as well.
    fn on_drained(&mut self, _is_flushed: bool) {}

    /// Whether the stream may still be closed as requested, now that all received input is read, or no more of it may
    /// be read.
    fn may_close(&self, _request: CloseRequest) -> bool {
        true
    }

    /// Responds to a message that exceeds the size limit, after which the start of the next message is unknown. An
    /// implementation with pending answers still sends them, and reads nothing more.
    ///
    /// # Errors
    ///
    /// The connection must be closed at once for the returned reason.
    fn on_oversized_message(&mut self) -> Result<(), CloseReason> {
        Err(CloseReason::MessageTooLong)
    }
}

/// Accepts the next connection. While this process is paused, new connections remain in the system's accept queue.
///
/// # Errors
///
/// The system call has failed.
pub fn accept(listener: &TcpListener) -> std::io::Result<(TcpStream, SocketAddr)> {
    loop {
        if is_paused() {
            may::coroutine::sleep(PAUSE_POLL_INTERVAL);
            continue;
        }
        match listener.inner().accept() {
            // SAFETY: the descriptor was just created, and this is its only owner.
            Ok((stream, from)) => return Ok((unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) }, from)),
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                listener.wait_io();
            }
            Err(err) => return Err(err),
        }
    }
}

/// Closes a stream for the given reason. Where this side closes it, the write side is shut first, and input is read and
/// discarded until the peer closes, a bound is reached, or `is_crowded` returns true. Closing on bytes that arrive at
/// that time would reset the connection and lose the data that is still on its way to the peer.
pub fn close_gracefully(stream: &TcpStream, reason: &CloseReason, is_crowded: impl Fn() -> bool) {
    if !reason.is_closed_locally() || stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let until = Instant::now() + LINGER;
    let (mut chunk, mut discarded) = (vec![0; READ_BYTES], 0);
    while discarded < LINGER_BYTES {
        match stream.inner().read(&mut chunk) {
            Ok(0) => return,
            Ok(got) => discarded += got,
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                if is_crowded() || Instant::now() >= until {
                    return;
                }
                may::coroutine::sleep(LINGER_INTERVAL);
            }
            Err(_) => return,
        }
    }
}

/// Returns the stream of a descriptor that was received from another process.
pub fn stream_from_descriptor(descriptor: OwnedFd) -> TcpStream {
    // SAFETY: the caller owned the descriptor and has passed it on.
    unsafe { TcpStream::from_raw_fd(descriptor.into_raw_fd()) }
}

/// Connects to `to` within the time limit.
///
/// # Errors
///
/// The connection could not be established, or its options could not be set.
pub fn connect(to: &SocketAddr, timeout: Duration) -> Result<TcpStream, CloseReason> {
    let stream =
        TcpStream::connect_timeout(to, timeout).map_err(|err| CloseReason::from_connect_error(&err))?;
    stream.set_nodelay(true).map_err(|err| CloseReason::from_io_error(&err))?;
    Ok(stream)
}

/// Drives a connection until it closes, and returns the reason. Writes `first` and then the queued lines, and passes
/// received messages to `handler`. A message may have up to `max_message_bytes`.
pub fn drive_connection(
    stream: &TcpStream,
    send_queue: &SendQueue,
    first: Option<Vec<u8>>,
    max_message_bytes: usize,
    handler: &mut impl MessageHandler,
) -> CloseReason {
    send_queue.update(|queue| queue.waker = Some(stream.waker()));
    {
        let mut state = send_queue.lock_stream();
        if !std::mem::take(&mut state.is_resumed) {
            state.writing = WriteState {
                line: first.unwrap_or_default(),
                is_for_this_stream: true,
                ..WriteState::default()
            };
            state.input = Vec::new();
        }
        state.fd = Some(stream.as_raw_fd());
    }
    let reason = loop {
        let turn = if is_paused() {
            Ok(Turn::Idle)
        } else {
            let broken = Err(CloseReason::Broken(ErrorKind::Other));
            contain(|| {
                let mut state = send_queue.lock_stream();
                let StreamState { input, reserved, writing, .. } = &mut *state;
                let turn = write_and_read(stream, send_queue, writing, input, max_message_bytes, handler)?;
                reserve_input(input, reserved, handler)?;
                Ok(turn)
            })
            .unwrap_or(broken)
        };
        match turn {
            Ok(Turn::Idle) => {
                stream.wait_io();
            }
            Ok(Turn::UsedUp { messages }) => match handler.peer_kind() {
                PeerKind::Client => sleep_after_client_turn(messages),
                PeerKind::Trusted => sleep_after_trusted_turn(),
            },
            Err(reason) => break reason,
        }
    };
    let mut state = send_queue.lock_stream();
    if let Some(budget) = handler.input_budget() {
        budget.release(&mut state.reserved);
    }
    let WriteState { line, sent, is_for_this_stream, .. } = std::mem::take(&mut state.writing);
    *state = StreamState::default();
    send_queue.update(|queue| {
        queue.waker = None;
        if !is_for_this_stream && sent < line.len() {
            queue.bytes += line.len();
            queue.lines.push_front(line);
        }
    });
    reason
}

/// Reduces the memory of the input between two turns to the incomplete message that it contains. Where the budget does not
/// allow the message, it is handled like one that exceeds the size limit.
fn reserve_input(
    input: &mut Vec<u8>,
    reserved: &mut ReservedInput,
    handler: &mut impl MessageHandler,
) -> Result<(), CloseReason> {
    input.shrink_to_fit();
    if handler.input_budget().is_none_or(|budget| budget.reserve(reserved, input.len())) {
        return Ok(());
    }
    *input = Vec::new();
    if let Some(budget) = handler.input_budget() {
        budget.release(reserved);
    }
    handler.on_oversized_message()
}

/// The end of a turn, in which a connection writes and reads without waiting.
enum Turn {
    /// Nothing more can be written or read now.
    Idle,
    /// More input may be available, but other connections are to be served first.
    UsedUp {
        /// The number of messages that were handled in the turn.
        messages: usize,
    },
}

/// Writes and reads without waiting, for one turn.
fn write_and_read(
    stream: &TcpStream,
    send_queue: &SendQueue,
    writing: &mut WriteState,
    input: &mut Vec<u8>,
    max_message_bytes: usize,
    handler: &mut impl MessageHandler,
) -> Result<Turn, CloseReason> {
    write(stream, send_queue, writing)?;
    let max_messages = match handler.peer_kind() {
        PeerKind::Client => MAX_CLIENT_MESSAGES_PER_TURN,
        PeerKind::Trusted => MAX_TRUSTED_MESSAGES_PER_TURN,
    };
    let mut messages = 0;
    for _ in 0..READS_PER_TURN {
        if !writing.is_half_closed && !handler.may_read() {
            return close_if_requested(stream, send_queue, writing, handler);
        }
        let had = input.len();
        input.resize(had + READ_BYTES, 0);
        let got = stream.inner().read(&mut input[had..]);
        input.truncate(had + *got.as_ref().unwrap_or(&0));
        match got {
            Ok(0) if writing.is_half_closed => return Err(CloseReason::Draining),
            Ok(0) => return Err(CloseReason::ClosedByPeer),
            Ok(_) => {}
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                // The stream is closed only where no input is left unread. Unread input would cause a reset, which
                // could lose commands that are on their way to the peer.
                return close_if_requested(stream, send_queue, writing, handler);
            }
            Err(err) if err.kind() == ErrorKind::Interrupted => continue,
            Err(err) => return Err(CloseReason::from_io_error(&err)),
        }
        // Input after the write side is shut is discarded, because an RPC from it could not be answered.
        if writing.is_half_closed {
            input.clear();
            continue;
        }
        if handler.peer_kind() == PeerKind::Client && has_peer_closed(stream) {
            handler.on_client_departed();
        }
        let mut at = 0;
        while at < input.len() {
            match handler.handle_message(&input[at..])? {
                0 if input.len() - at > max_message_bytes => {
                    handler.on_oversized_message()?;
                    at = input.len();
                }
                0 => break,
                taken => {
                    at += taken;
                    messages += 1;
                }
            }
        }
        input.drain(..at);
        write(stream, send_queue, writing)?;
        if messages > max_messages {
            break;
        }
    }
    Ok(Turn::UsedUp { messages })
}

/// Whether the peer has closed or reset the stream, although input may still be unread.
fn has_peer_closed(stream: &TcpStream) -> bool {
    let mut descriptors = [PollFd::new(stream.inner(), PollFlags::RDHUP)];
    let has_event = poll(&mut descriptors, Some(&Timespec::default())).is_ok_and(|ready| ready > 0);
    has_event && descriptors[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// Closes the stream where a close is requested, the queue is written and the handler agrees. Withdraws the request
/// where the handler does not agree.
fn close_if_requested(
    stream: &TcpStream,
    send_queue: &SendQueue,
    writing: &mut WriteState,
    handler: &mut impl MessageHandler,
) -> Result<Turn, CloseReason> {
    let is_line_sent = writing.sent == writing.line.len();
    handler.on_drained(is_line_sent && send_queue.lock().lines.is_empty());
    let requested = {
        let queue = send_queue.lock();
        // Queued lines do not delay the close where the peer has a new address; the next stream writes them. In any
        // other case the queue is written first, including lines that the handler has just queued, which wake this
        // stream again.
        let is_due = |request: &CloseRequest| {
            is_line_sent && (queue.lines.is_empty() || *request == CloseRequest::Moved)
        };
        queue.close_request.filter(is_due)
    };
    let reason = match requested {
        Some(CloseRequest::Draining) => {
            // The write side stays open while an answer is pending, so that the answer can still be written.
            if !writing.is_half_closed && handler.may_close(CloseRequest::Draining) {
                writing.is_half_closed = true;
                let _ = stream.shutdown(Shutdown::Write);
            }
            return Ok(Turn::Idle);
        }
        None => return Ok(Turn::Idle),
        Some(_) if writing.is_half_closed => CloseReason::Draining,
        Some(CloseRequest::Idle) => CloseReason::Idle,
        Some(CloseRequest::Faulty) => CloseReason::Malformed("too many faults".into()),
        Some(CloseRequest::TimedOut) => CloseReason::TimedOut,
        Some(CloseRequest::Moved) => return Err(CloseReason::Moved),
    };
    if requested.is_some_and(|request| handler.may_close(request)) {
        return Err(reason);
    }
    let mut queue = send_queue.lock();
    queue.close_request = queue.close_request.filter(|request| Some(*request) != requested);
    Ok(Turn::Idle)
}

/// Writes queued lines until the queue is empty or the stream would block.
fn write(stream: &TcpStream, send_queue: &SendQueue, writing: &mut WriteState) -> Result<(), CloseReason> {
    loop {
        if writing.sent == writing.line.len() {
            let next = {
                let mut queue = send_queue.lock();
                let written = std::mem::take(&mut writing.line);
                if let Some(unconfirmed) =
                    queue.unconfirmed.as_mut().filter(|_| !writing.is_for_this_stream && !written.is_empty())
                {
                    unconfirmed.push_back(written);
                    // Bounds the memory that a peer uses which confirms nothing.
                    if unconfirmed.len() > MAX_UNCONFIRMED_LINES {
                        unconfirmed.pop_front();
                    }
                }
                let has_moved = queue.close_request == Some(CloseRequest::Moved);
                let next = if has_moved { None } else { queue.lines.pop_front() };
                queue.bytes -= next.as_ref().map_or(0, Vec::len);
                next
            };
            (writing.sent, writing.is_for_this_stream) = (0, false);
            writing.line = next.unwrap_or_default();
            if writing.line.is_empty() {
                return Ok(());
            }
        }
        match stream.inner().write(&writing.line[writing.sent..]) {
            Ok(0) => return Err(CloseReason::ClosedByPeer),
            Ok(wrote) => (writing.sent, writing.stalled_since) = (writing.sent + wrote, None),
            // A connection that is to be closed does not wait for a peer that reads nothing.
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                let since = *writing.stalled_since.get_or_insert_with(Instant::now);
                return match send_queue.lock().close_request {
                    Some(CloseRequest::Idle | CloseRequest::Faulty | CloseRequest::TimedOut)
                        if since.elapsed() >= WRITE_STALL_TIMEOUT =>
                    {
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
