//! What the answerer sends: the head of an answer, its body in pieces, its end, and questions for more of a
//! request's body.

use crate::codes::Headers;
use crate::packet::{header, split, write, Broken, Pairs, Rest, Sender};

const SEND_BODY_CHUNK: u8 = 3;
const SEND_HEADERS: u8 = 4;
const END_RESPONSE: u8 = 5;
const GET_BODY_CHUNK: u8 = 6;
const CPONG_REPLY: u8 = 9;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message<'a> {
    Head(Head<'a>),
    Piece(&'a [u8]),
    /// The answer is whole; `reuse` says whether the connection may carry another request.
    End {
        reuse: bool,
    },
    /// Asks for so many bytes of the request's body at most.
    GetBody(u16),
    CPong,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head<'a> {
    pub status: u16,
    pub words: &'a [u8],
    pub headers: Pairs<'a>,
}

impl<'a> Head<'a> {
    pub fn header(&self, name: &str) -> Option<&'a [u8]> {
        header(&self.headers, name)
    }
}

impl Message<'_> {
    pub fn write(&self, out: &mut Vec<u8>, most: usize) -> Result<(), Broken> {
        write(out, Sender::Answerer, most, |to| {
            match self {
                Message::Head(head) => {
                    to.byte(SEND_HEADERS);
                    to.number(head.status);
                    to.text(Some(head.words))?;
                    to.headers(Headers::Reply, &head.headers)?;
                }
                Message::Piece(piece) => {
                    to.byte(SEND_BODY_CHUNK);
                    to.count(piece.len())?;
                    to.bytes(piece);
                    to.byte(0);
                }
                Message::End { reuse } => {
                    to.byte(END_RESPONSE);
                    to.byte(u8::from(*reuse));
                }
                Message::GetBody(most) => {
                    to.byte(GET_BODY_CHUNK);
                    to.number(*most);
                }
                Message::CPong => to.byte(CPONG_REPLY),
            }
            Ok(())
        })
    }
}

/// The longest piece of an answer's body that fits a packet.
pub fn longest_piece(most: usize) -> usize {
    most - crate::packet::HEADER - 4
}

/// A whole answer: its head, its body in as many pieces as it takes, its end.
pub fn write_answer(
    out: &mut Vec<u8>,
    most: usize,
    head: Head,
    body: &[u8],
    reuse: bool,
) -> Result<(), Broken> {
    Message::Head(head).write(out, most)?;
    for piece in body.chunks(longest_piece(most)) {
        Message::Piece(piece).write(out, most)?;
    }
    Message::End { reuse }.write(out, most)
}

/// The first whole message and how many bytes it takes.
pub fn read(input: &[u8], most: usize) -> Result<Option<(Message<'_>, usize)>, Broken> {
    let Some((payload, taken)) = split(input, Sender::Answerer, most)? else { return Ok(None) };
    let mut rest = Rest(payload);
    let message = match rest.byte()? {
        SEND_HEADERS => Message::Head(Head {
            status: rest.number()?,
            words: rest.text()?,
            headers: rest.headers(Headers::Reply)?,
        }),
        SEND_BODY_CHUNK => {
            let length = usize::from(rest.number()?);
            let piece = rest.bytes(length)?;
            // Some end a piece with a zero, some do not.
            if rest.0 == [0] {
                rest.0 = &[];
            }
            Message::Piece(piece)
        }
        END_RESPONSE => Message::End { reuse: rest.flag()? },
        GET_BODY_CHUNK => Message::GetBody(rest.number()?),
        CPONG_REPLY => Message::CPong,
        _ => return Err(Broken::Code),
    };
    rest.end()?;
    Ok(Some((message, taken)))
}
