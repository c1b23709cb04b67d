//! The messages, in protobuf. What a newer program adds to one is passed over by an older one; a section that has to
//! be understood is named in the offer, so that a successor that does not know it refuses.

use prost::{Message as _, Oneof};

/// Bytes that say how long a message is.
pub const LENGTH_PREFIX_BYTES: usize = 4;
/// The longest message.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Descriptors that go with one message: the system passes no more at once.
pub const MAX_DESCRIPTORS: usize = 250;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub message: Option<Message>,
}

#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum Message {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Offer(Offer),
    #[prost(message, tag = "3")]
    Refuse(Refusal),
    #[prost(message, tag = "4")]
    Prepare(Prepare),
    #[prost(message, tag = "5")]
    Chunk(Chunk),
    #[prost(message, tag = "6")]
    AheadComplete(ChunkCount),
    #[prost(message, tag = "7")]
    Ready(Empty),
    #[prost(message, tag = "8")]
    TransferComplete(ChunkCount),
    #[prost(message, tag = "9")]
    Loaded(Empty),
    #[prost(message, tag = "10")]
    Release(Empty),
    #[prost(message, tag = "11")]
    Started(Empty),
    #[prost(message, tag = "12")]
    Abort(Refusal),
}

/// The successor's first word.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub oldest: u32,
    #[prost(uint32, tag = "2")]
    pub newest: u32,
    /// The program's version, for the log.
    #[prost(string, tag = "3")]
    pub program: String,
    /// A digest of what the files set: both sides have to go by the same.
    #[prost(uint64, tag = "4")]
    pub digest: u64,
}

/// What there is to take.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Offer {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(message, repeated, tag = "2")]
    pub sections: Vec<Section>,
    #[prost(uint64, tag = "3")]
    pub bytes: u64,
    #[prost(uint32, tag = "4")]
    pub descriptors: u32,
}

/// A kind of state.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Section {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint32, tag = "2")]
    pub version: u32,
}

/// Why it goes no further, in plain words.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Refusal {
    #[prost(string, tag = "1")]
    pub reason: String,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Prepare {}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Empty {}

/// A piece of a section, and how many descriptors go with it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Chunk {
    #[prost(string, tag = "1")]
    pub section: String,
    #[prost(bytes = "vec", tag = "2")]
    pub bytes: Vec<u8>,
    #[prost(uint32, tag = "3")]
    pub descriptors: u32,
}

/// How many parts went before: one that got lost shows.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ChunkCount {
    #[prost(uint64, tag = "1")]
    pub chunks: u64,
}

/// A message as it goes over the stream.
pub fn encode(message: Message) -> Vec<u8> {
    let envelope = Envelope { message: Some(message) };
    let mut out = (envelope.encoded_len() as u32).to_be_bytes().to_vec();
    envelope.encode(&mut out).expect("a vector has room");
    out
}

/// The first whole message and how many bytes it takes. `Ok(None)` is one that a newer program has added, or one
/// that is not whole: the second number tells them apart.
pub fn decode(input: &[u8]) -> Result<(Option<Message>, usize), &'static str> {
    let Some(length) = input.get(..LENGTH_PREFIX_BYTES) else { return Ok((None, 0)) };
    let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err("a message longer than any");
    }
    let Some(bytes) = input.get(LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length) else {
        return Ok((None, 0));
    };
    let envelope = Envelope::decode(bytes).map_err(|_| "bytes that are no message")?;
    Ok((envelope.message, LENGTH_PREFIX_BYTES + length))
}
