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

/// Why a connection is closed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The peer closed the connection.
    #[error("the peer closed it")]
    Closed,
    /// The peer sent nothing for too long.
    #[error("it says nothing")]
    ReceiveTimeout,
    /// The peer did not read for too long.
    #[error("it does not read")]
    SendTimeout,
    /// A part of an update that does not fit what came before.
    #[error("it sends what it should not: {0}")]
    Update(#[from] UpdateError),
    /// A watch of invalid names, or of too many.
    #[error("it sends what it should not: {0}")]
    Watch(SubscribeError),
    /// A message that relays do not send.
    #[error("it sends what it should not: a message that relays do not send")]
    UnexpectedFromRelay,
    /// A message that subscribers do not send.
    #[error("it sends what it should not: unexpected message {kind}")]
    UnexpectedFromSubscriber {
        /// The kind of message.
        kind: &'static str,
    },
    /// The relay asked to connect again later.
    #[error("it asks to connect again later")]
    RetryLater,
    /// The relay refused the subscriber.
    #[error("it refuses: {}", reasons.join("; "))]
    Refused {
        /// Why, as the relay says.
        reasons: Vec<String>,
    },
    /// Bytes that are no message.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The operating system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// One framed connection, registered with an event loop under its token.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    token: Token,
    decoder: FrameDecoder,
    outbound: Vec<u8>,
    /// Bytes of `outbound` that were written already.
    written: usize,
    /// Bytes received since the connection began.
    pub bytes_in: u64,
    /// Bytes sent since the connection began.
    pub bytes_out: u64,
}

impl Connection {
    /// Registers a stream that was accepted or begins to connect. Messages of more than `max_frame` bytes are refused.
    ///
    /// # Errors
    ///
    /// Where the event loop does not accept the stream.
    pub fn register(
        mut stream: TcpStream,
        token: Token,
        registry: &Registry,
        max_frame: usize,
    ) -> io::Result<Connection> {
        // Messages are small and waited for: Nagle's algorithm would delay them.
        let _ = stream.set_nodelay(true);
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let decoder = FrameDecoder::new(max_frame);
        Ok(Connection { stream, token, decoder, outbound: Vec::new(), written: 0, bytes_in: 0, bytes_out: 0 })
    }

    /// Begins to connect to `address`.
    ///
    /// # Errors
    ///
    /// Where the operating system refuses at once, or the event loop does not accept the stream.
    pub fn connect(
        address: SocketAddr,
        token: Token,
        registry: &Registry,
        max_frame: usize,
    ) -> io::Result<Connection> {
        Connection::register(TcpStream::connect(address)?, token, registry, max_frame)
    }

    /// The token that it was registered under.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Whether nothing waits to be written, so that the next message may be built.
    pub fn is_flushed(&self) -> bool {
        self.outbound.is_empty()
    }

    /// Appends a message to what waits to be written, and writes what the operating system takes.
    ///
    /// # Errors
    ///
    /// Where the connection is closed or broken.
    pub fn send(&mut self, body: Body) -> Result<(), ConnectionError> {
        frame::encode(body, &mut self.outbound);
        self.flush()
    }

    /// Writes what the operating system takes; nothing while the connection is not established.
    ///
    /// # Errors
    ///
    /// Where the connection is closed or broken.
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

    /// Reads what was received, up to a bound, and passes each complete message to `handle` in order. Returns whether more
    /// may wait.
    ///
    /// # Errors
    ///
    /// Where the connection is closed or broken, or the bytes are no message.
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

    /// Whether the operating system has given the connection up.
    pub fn is_broken(&self) -> bool {
        !matches!(self.stream.take_error(), Ok(None))
    }

    /// Closes the writing side; what the peer sends may still be read.
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
