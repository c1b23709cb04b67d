//! The queue of lines to one peer, and the state of the stream that carries them, which another process can resume.

use super::input_budget::ReservedInput;
use crate::handover::records::StreamRecord;
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::os::fd::RawFd;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// The maximum number of written lines that are retained until they are confirmed.
pub(super) const MAX_UNCONFIRMED_LINES: usize = 4_096;

/// The queue of lines to one peer, and the state of the current stream. Lines that were not written completely
/// when a stream closed are written to the next stream.
#[derive(Default)]
pub struct SendQueue {
    queue: Mutex<Queue>,
    /// The current stream, locked during reads and writes. Where both locks are held, this one is taken first.
    stream: Mutex<StreamState>,
}

/// The state of a stream between two reads or writes.
#[derive(Default)]
pub(super) struct StreamState {
    /// `None` while no stream is open.
    pub(super) fd: Option<RawFd>,
    /// Received bytes that do not form a complete message yet.
    pub(super) input: Vec<u8>,
    /// The part of the budget of all clients that the input takes.
    pub(super) reserved: ReservedInput,
    pub(super) writing: WriteState,
    /// Whether the stream was taken over from another process.
    pub(super) is_resumed: bool,
}

#[derive(Default)]
pub(super) struct Queue {
    pub(super) lines: VecDeque<Vec<u8>>,
    pub(super) bytes: usize,
    /// Wakes the coroutine of the current stream.
    pub(super) waker: Option<WaitIoWaker>,
    pub(super) close_request: Option<CloseRequest>,
    /// Lines that were written to this stream or an earlier one and are not confirmed, where they are retained.
    pub(super) unconfirmed: Option<VecDeque<Vec<u8>>>,
}

/// The reason for which a stream is to be closed once the queue is written. The first three close it only where no
/// complete message is unread and [`MessageHandler::may_close`](super::buffered_connection::MessageHandler::may_close) still agrees, so that a node that is slow to read
/// does not attribute its own delay to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseRequest {
    /// The stream is idle.
    Idle,
    /// The peer sends malformed input.
    Faulty,
    /// The peer has exceeded a time limit.
    TimedOut,
    /// The peer has a new address. The stream closes once all received input is read; lines that are not partly
    /// written are left for the next stream.
    Moved,
    /// The node drains. The write side is shut once all that was read is answered; later input is read and discarded,
    /// as closing on unread input would reset the connection before the peer has received the answers.
    Draining,
}

impl CloseRequest {
    const ALL: [CloseRequest; 5] = [
        CloseRequest::Idle,
        CloseRequest::Faulty,
        CloseRequest::TimedOut,
        CloseRequest::Moved,
        CloseRequest::Draining,
    ];
}

impl SendQueue {
    /// Returns a queue that retains written lines until a call of [`SendQueue::confirm_through`],
    /// [`SendQueue::confirm_matching`] or [`SendQueue::take_unconfirmed`].
    pub fn retaining_unconfirmed() -> SendQueue {
        let queue = Queue { unconfirmed: Some(VecDeque::new()), ..Queue::default() };
        SendQueue { queue: Mutex::new(queue), stream: Mutex::default() }
    }

    /// Returns the descriptor and the state of the current stream, for another process to resume. `None` while no
    /// stream is open.
    pub fn snapshot(&self) -> Option<(RawFd, StreamRecord)> {
        let state = self.lock_stream();
        let queue = self.lock();
        let mut lines: Vec<Vec<u8>> = queue.lines.iter().cloned().collect();
        let WriteState { line, sent, is_half_closed, .. } = &state.writing;
        if *sent < line.len() {
            lines.insert(0, line.clone());
        }
        let close_request = queue
            .close_request
            .map_or(0, |request| 1 + CloseRequest::ALL.iter().position(|r| *r == request).unwrap_or(0));
        let record = StreamRecord {
            input: state.input.clone(),
            unsent: lines,
            sent_bytes: if *sent < line.len() { *sent as u64 } else { 0 },
            is_half_closed: *is_half_closed,
            close_reason: close_request as u32,
            unconfirmed: queue.unconfirmed.iter().flatten().cloned().collect(),
        };
        Some((state.fd?, record))
    }

    /// Returns the lines that are queued, which the next stream writes where none is open.
    pub fn queued_lines(&self) -> Vec<Vec<u8>> {
        self.lock().lines.iter().cloned().collect()
    }

    /// Restores the queue of a stream that another process carried. `retain_unconfirmed` has the effect that
    /// [`SendQueue::retaining_unconfirmed`] describes.
    pub fn resume(record: StreamRecord, retain_unconfirmed: bool) -> SendQueue {
        let mut lines: VecDeque<Vec<u8>> = record.unsent.into();
        let mut writing = WriteState { is_half_closed: record.is_half_closed, ..WriteState::default() };
        if record.sent_bytes > 0 {
            (writing.line, writing.sent) =
                (lines.pop_front().unwrap_or_default(), record.sent_bytes as usize);
        }
        let queue = Queue {
            bytes: lines.iter().map(Vec::len).sum(),
            lines,
            waker: None,
            close_request: (record.close_reason as usize)
                .checked_sub(1)
                .and_then(|at| CloseRequest::ALL.get(at).copied()),
            unconfirmed: retain_unconfirmed.then(|| record.unconfirmed.into()),
        };
        let stream = StreamState { input: record.input, writing, is_resumed: true, ..StreamState::default() };
        SendQueue { queue: Mutex::new(queue), stream: Mutex::new(stream) }
    }

    /// Locks the stream for one turn.
    pub(super) fn lock_stream(&self) -> MutexGuard<'_, StreamState> {
        self.stream.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Queues a line and wakes the stream.
    pub fn push(&self, line: Vec<u8>) {
        self.update(|queue| {
            // Withdraws a request to close the stream as idle, so that the line is not written to a closing stream.
            queue.close_request = queue.close_request.filter(|request| *request != CloseRequest::Idle);
            queue.bytes += line.len();
            queue.lines.push_back(line);
        });
    }

    /// Returns the number of queued bytes, without the line that is being written.
    pub fn queued_bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Requests that the stream is closed once the queue is written.
    pub fn request_close(&self, request: CloseRequest) {
        // A draining stream is not closed as idle, because later input on it is still read.
        self.update(|queue| {
            let keeps_draining =
                queue.close_request == Some(CloseRequest::Draining) && request == CloseRequest::Idle;
            queue.close_request = if keeps_draining { queue.close_request } else { Some(request) };
        });
    }

    /// Requests the close as [`SendQueue::request_close`] does, and has no effect where the same request is pending.
    pub fn request_close_once(&self, request: CloseRequest) {
        let pending = self.lock().close_request;
        if pending != Some(request) {
            self.request_close(request);
        }
    }

    /// Wakes the coroutine of the stream, which evaluates its time limits again.
    pub fn wake(&self) {
        self.update(|_| ());
    }

    /// Withdraws any pending close request, before a new stream begins.
    pub fn clear_close_request(&self) {
        self.update(|queue| queue.close_request = None);
    }

    /// Removes the queued lines that satisfy `is_withdrawn` and of which nothing was written. Returns whether there were any.
    pub fn withdraw(&self, is_withdrawn: impl Fn(&[u8]) -> bool) -> bool {
        let mut queue = self.lock();
        let before = queue.bytes;
        let Queue { lines, bytes, .. } = &mut *queue;
        lines.retain(|line| {
            let stays = !is_withdrawn(line);
            *bytes -= if stays { 0 } else { line.len() };
            stays
        });
        queue.bytes < before
    }

    /// Removes and returns the lines that were not written.
    pub fn take_unwritten(&self) -> VecDeque<Vec<u8>> {
        self.update(|queue| {
            queue.bytes = 0;
            std::mem::take(&mut queue.lines)
        })
    }

    /// Confirms that the peer has read this line, and therefore each line written before it.
    pub fn confirm_through(&self, line: &[u8]) {
        self.update(|queue| {
            let unconfirmed = queue.unconfirmed.as_mut();
            let at = unconfirmed.as_ref().and_then(|unconfirmed| unconfirmed.iter().position(|l| l == line));
            if let (Some(unconfirmed), Some(at)) = (unconfirmed, at) {
                unconfirmed.drain(..=at);
            }
        });
    }

    /// Confirms that the peer has read the written lines that satisfy `is_read`.
    pub fn confirm_matching(&self, is_read: impl Fn(&[u8]) -> bool) {
        if let Some(unconfirmed) = &mut self.lock().unconfirmed {
            unconfirmed.retain(|line| !is_read(line));
        }
    }

    /// Removes and returns the lines that were written and not confirmed.
    pub fn take_unconfirmed(&self) -> VecDeque<Vec<u8>> {
        self.update(|queue| queue.unconfirmed.as_mut().map(std::mem::take).unwrap_or_default())
    }

    /// Changes the queue and wakes the stream.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut Queue) -> T) -> T {
        let mut queue = self.lock();
        let result = change(&mut queue);
        if let Some(waker) = &queue.waker {
            waker.wakeup();
        }
        result
    }

    /// Locks the queue.
    pub(super) fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The line that is being written.
#[derive(Default)]
pub(super) struct WriteState {
    pub(super) line: Vec<u8>,
    pub(super) sent: usize,
    /// Whether the line belongs to this stream alone, and is not written to the next one.
    pub(super) is_for_this_stream: bool,
    pub(super) is_half_closed: bool,
    /// The time since which writes have made no progress.
    pub(super) stalled_since: Option<Instant>,
}
