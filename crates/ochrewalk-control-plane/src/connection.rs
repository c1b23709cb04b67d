//! A TCP connection that carries envelopes both ways without blocking.

use crate::frame::{self, FrameDecoder, FrameError};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use ochrewalk_distribution::messages::Body;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// What is read from one connection before others get their turn.
const READ_CHUNK: usize = 64 * 1024;

/// Why a connection is of no further use.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    #[error("the peer closed it")]
    Closed,
    #[error("it says nothing")]
    Silent,
    #[error("it does not read")]
    NotReading,
    #[error("it sends what it should not: {0}")]
    Protocol(String),
    #[error("it asks to come back later")]
    RetryLater,
    #[error("it refuses: {0}")]
    Refused(String),
    #[error(transparent)]
    Frame(#[from] FrameError),
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
    /// Bytes received and sent since the connection began.
    pub bytes_in: u64,
    pub bytes_out: u64,
}

impl Connection {
    /// Takes over a stream that was accepted, or begins to connect.
    pub fn register(
        mut stream: TcpStream,
        token: Token,
        registry: &Registry,
        max_frame: usize,
    ) -> io::Result<Connection> {
        // Messages are small and awaited: Nagle's algorithm would hold them back.
        let _ = stream.set_nodelay(true);
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let decoder = FrameDecoder::new(max_frame);
        Ok(Connection { stream, token, decoder, outbound: Vec::new(), written: 0, bytes_in: 0, bytes_out: 0 })
    }

    /// Begins to connect to `address`.
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

    /// Nothing waits to be written, so that the next message may be made.
    pub fn is_flushed(&self) -> bool {
        self.outbound.is_empty()
    }

    /// Puts a message behind what waits to be written, and writes what the system takes.
    pub fn send(&mut self, body: Body) -> Result<(), ConnectionError> {
        frame::encode(body, &mut self.outbound);
        self.flush()
    }

    /// Writes what the system takes. One that is still connecting takes nothing.
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

    /// Reads what has come, up to a bound, and gives each whole message to `handle` in order. True where more may wait.
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

    /// The peer has accepted it.
    pub fn is_established(&self) -> bool {
        self.stream.peer_addr().is_ok()
    }

    /// The system has given it up.
    pub fn is_broken(&self) -> bool {
        !matches!(self.stream.take_error(), Ok(None))
    }

    /// Nothing more is written, and what comes may still be read.
    pub fn shut_write(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Takes it out of the event loop; the stream closes with the value.
    pub fn deregister(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.stream);
    }
}

fn is_retryable(err: &io::Error) -> bool {
    matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}
