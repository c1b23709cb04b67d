//! Messages of the servlet container: the head of a response, the chunks of its body, its end, and requests for more of a
//! request's body.

use crate::codes::HeaderTable;
use crate::packet::{header, split, write, HeaderList, PayloadReader, ProtocolError, Sender};

const SEND_BODY_CHUNK: u8 = 3;
const SEND_HEADERS: u8 = 4;
const END_RESPONSE: u8 = 5;
const GET_BODY_CHUNK: u8 = 6;
const CPONG_REPLY: u8 = 9;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message<'a> {
    /// Send Headers: the head of a response.
    SendHeaders(ResponseHead<'a>),
    /// Send Body Chunk: a part of the response's body.
    SendBodyChunk(&'a [u8]),
    /// End Response: the response is complete. `reuse` is whether the connection may carry another request.
    EndResponse { reuse: bool },
    /// Get Body Chunk: requests more of the request's body, up to this number of bytes.
    GetBodyChunk(u16),
    /// CPong Reply: the reply to a CPing.
    CPong,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead<'a> {
    pub status: u16,
    pub reason: &'a [u8],
    pub headers: HeaderList<'a>,
}

impl<'a> ResponseHead<'a> {
    pub fn header(&self, name: &str) -> Option<&'a [u8]> {
        header(&self.headers, name)
    }
}

impl Message<'_> {
    pub fn write(&self, out: &mut Vec<u8>, max_packet_bytes: usize) -> Result<(), ProtocolError> {
        write(out, Sender::ServletContainer, max_packet_bytes, |payload| {
            match self {
                Message::SendHeaders(head) => {
                    payload.byte(SEND_HEADERS);
                    payload.integer(head.status);
                    payload.string(Some(head.reason))?;
                    payload.headers(HeaderTable::Response, &head.headers)?;
                }
                Message::SendBodyChunk(chunk) => {
                    payload.byte(SEND_BODY_CHUNK);
                    payload.count(chunk.len())?;
                    payload.bytes(chunk);
                    payload.byte(0);
                }
                Message::EndResponse { reuse } => {
                    payload.byte(END_RESPONSE);
                    payload.byte(u8::from(*reuse));
                }
                Message::GetBodyChunk(max_chunk_bytes) => {
                    payload.byte(GET_BODY_CHUNK);
                    payload.integer(*max_chunk_bytes);
                }
                Message::CPong => payload.byte(CPONG_REPLY),
            }
            Ok(())
        })
    }
}

/// Returns the maximum size of a body chunk that fits a packet of this size, in bytes.
pub fn max_chunk_bytes(max_packet_bytes: usize) -> usize {
    max_packet_bytes - crate::packet::HEADER_BYTES - 4
}

/// Writes a complete response: its head, its body in as many chunks as necessary, and its end.
pub fn write_response(
    out: &mut Vec<u8>,
    max_packet_bytes: usize,
    head: ResponseHead,
    body: &[u8],
    reuse: bool,
) -> Result<(), ProtocolError> {
    Message::SendHeaders(head).write(out, max_packet_bytes)?;
    for chunk in body.chunks(max_chunk_bytes(max_packet_bytes)) {
        Message::SendBodyChunk(chunk).write(out, max_packet_bytes)?;
    }
    Message::EndResponse { reuse }.write(out, max_packet_bytes)
}

/// Returns the first complete message and the size of its packet; `None` if the packet is incomplete.
pub fn read(input: &[u8], max_packet_bytes: usize) -> Result<Option<(Message<'_>, usize)>, ProtocolError> {
    let Some((payload, packet_bytes)) = split(input, Sender::ServletContainer, max_packet_bytes)? else {
        return Ok(None);
    };
    let mut reader = PayloadReader(payload);
    let message = match reader.byte()? {
        SEND_HEADERS => Message::SendHeaders(ResponseHead {
            status: reader.integer()?,
            reason: reader.string()?,
            headers: reader.headers(HeaderTable::Response)?,
        }),
        SEND_BODY_CHUNK => {
            let length = usize::from(reader.integer()?);
            let chunk = reader.bytes(length)?;
            // Some servlet containers append a zero byte to a chunk, others do not.
            if reader.0 == [0] {
                reader.0 = &[];
            }
            Message::SendBodyChunk(chunk)
        }
        END_RESPONSE => Message::EndResponse { reuse: reader.boolean()? },
        GET_BODY_CHUNK => Message::GetBodyChunk(reader.integer()?),
        CPONG_REPLY => Message::CPong,
        _ => return Err(ProtocolError::UnknownCode),
    };
    reader.end()?;
    Ok(Some((message, packet_bytes)))
}
