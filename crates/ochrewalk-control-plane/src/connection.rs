//! A TCP connection that carries envelopes both ways without blocking.

use crate::frame::{self, FrameDecoder, FrameError};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use ochrewalk_distribution::messages::Body;
use ochrewalk_distribution::{SubscribeError, UpdateError};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// The most bytes of one read.
const READ_CHUNK: usize = 64 * 1024;

/// The reason why a connection is closed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The peer sent nothing within the timeout.
    #[error("the peer sent nothing within the timeout")]
    ReceiveTimeout,
    /// The peer did not read within the timeout.
    #[error("the peer did not read within the timeout")]
    SendTimeout,
    /// A part of an update is inconsistent with the earlier parts or the applied position.
    #[error("invalid update: {0}")]
    Update(#[from] UpdateError),
    /// A watch contains invalid names or too many names.
    #[error("invalid watch: {0}")]
    Watch(SubscribeError),
    /// The peer sent a message that relays do not send.
    #[error("unexpected message from the relay")]
    UnexpectedFromRelay,
    /// The peer sent a message that subscribers do not send.
    #[error("unexpected message from the subscriber: {kind}")]
    UnexpectedFromSubscriber {
        /// The kind of the message.
        kind: &'static str,
    },
    /// The relay asked to connect again later.
    #[error("the relay asked to connect again later")]
    RetryLater,
    /// The relay refused the subscriber.
    #[error("the relay refused the subscription: {}", reasons.join("; "))]
    Refused {
        /// The reasons that the relay sent.
        reasons: Vec<String>,
    },
    /// The received bytes are not a valid message.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The operating system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A framed connection, registered with an event loop under its token.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    token: Token,
    decoder: FrameDecoder,
    outbound: Vec<u8>,
    /// The number of bytes of `outbound` that were already written.
    written: usize,
    /// The bytes received since the connection began.
    pub bytes_in: u64,
    /// The bytes sent since the connection began.
    pub bytes_out: u64,
}

impl Connection {
    /// Registers a stream that was accepted or is being connected. Messages of more than `max_frame` bytes are refused.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop does not accept the stream.
    pub fn register(
        mut stream: TcpStream,
        token: Token,
        registry: &Registry,
        max_frame: usize,
    ) -> io::Result<Connection> {
        // Messages are small and the peer waits for them; Nagle's algorithm would delay them.
        let _ = stream.set_nodelay(true);
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let decoder = FrameDecoder::new(max_frame);
        Ok(Connection { stream, token, decoder, outbound: Vec::new(), written: 0, bytes_in: 0, bytes_out: 0 })
    }

    /// Begins to connect to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses at once, or the event loop does not accept the stream.
    pub fn connect(
        address: SocketAddr,
        token: Token,
        registry: &Registry,
        max_frame: usize,
    ) -> io::Result<Connection> {
        Connection::register(TcpStream::connect(address)?, token, registry, max_frame)
    }

    /// Returns the token under which the connection is registered.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Whether all messages have been written, so that the next message may be built.
    pub fn is_flushed(&self) -> bool {
        self.outbound.is_empty()
    }

    /// Appends a message to the output buffer, and writes as much as the operating system accepts.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed or broken.
    pub fn send(&mut self, body: Body) -> Result<(), ConnectionError> {
        frame::encode(body, &mut self.outbound);
        self.flush()
    }

    /// Writes as much of the output buffer as the operating system accepts; nothing before the connection is established.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed or broken.
    pub fn flush(&mut self) -> Result<(), ConnectionError> {
        while self.written < self.outbound.len() {
            match self.stream.write(&self.outbound[self.written..]) {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(count) => {
                    self.written += count;
                    self.bytes_out += count as u64;
                }
                Err(err) if is_retryable(&err) => return Ok(()),
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) => return Err(err.into()),
            }
        }
        self.outbound = Vec::new();
        self.written = 0;
        Ok(())
    }

    /// Reads the received bytes, up to a bound, and passes each complete message to `handle` in order. Returns whether
    /// more may be readable.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed or broken, or the bytes are not a valid message.
    pub fn receive(&mut self, mut handle: impl FnMut(Body)) -> Result<bool, ConnectionError> {
        let mut chunk = vec![0; READ_CHUNK];
        let count = match self.stream.read(&mut chunk) {
            Ok(0) => return Err(ConnectionError::Closed),
            Ok(count) => count,
            Err(err) if is_retryable(&err) => return Ok(false),
            Err(err) if err.kind() == io::ErrorKind::Interrupted => return Ok(true),
            Err(err) => return Err(err.into()),
        };
        self.bytes_in += count as u64;
        self.decoder.push(&chunk[..count]);
        while let Some(body) = self.decoder.next_message()? {
            handle(body);
        }
        Ok(true)
    }

    /// Whether the peer has accepted the connection.
    pub fn is_established(&self) -> bool {
        self.stream.peer_addr().is_ok()
    }

    /// Whether the operating system reports an error of the connection.
    pub fn is_broken(&self) -> bool {
        !matches!(self.stream.take_error(), Ok(None))
    }

    /// Closes the sending direction; messages of the peer can still be received.
    pub fn shut_write(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Removes the connection from the event loop and closes it.
    pub fn deregister(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.stream);
    }
}

fn is_retryable(err: &io::Error) -> bool {
    matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}
