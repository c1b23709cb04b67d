//! The messages, in protobuf. An older program skips a field that a newer one has added to a message. A
//! section that must be understood is named in the offer, so that a successor that does not know it refuses.

use prost::Oneof;

/// The maximum number of descriptors that are sent with one message, which the operating system limits.
pub const MAX_DESCRIPTORS: usize = 250;

/// The content of a frame: one message, or none if a newer program sent a message that this program does not
/// know.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The message.
    #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub message: Option<Message>,
}

/// All messages. [The crate's documentation](crate) has their order.
#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum Message {
    /// The successor has read its files and can take over.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The predecessor lists the state that it will transfer.
    #[prost(message, tag = "2")]
    Offer(Offer),
    /// Either side declines the hand-over, before any state was sent.
    #[prost(message, tag = "3")]
    Refuse(Refusal),
    /// The successor accepts the offer.
    #[prost(message, tag = "4")]
    Prepare(Prepare),
    /// The predecessor sends a part of a section.
    #[prost(message, tag = "5")]
    Chunk(Chunk),
    /// The predecessor has sent all chunks that are transferred ahead of the pause.
    #[prost(message, tag = "6")]
    AheadComplete(ChunkCount),
    /// The successor has received all chunks that were sent ahead.
    #[prost(message, tag = "7")]
    Ready(Empty),
    /// The predecessor has sent all chunks of the pause.
    #[prost(message, tag = "8")]
    TransferComplete(ChunkCount),
    /// The successor has restored the complete state, without acting on it.
    #[prost(message, tag = "9")]
    Loaded(Empty),
    /// The predecessor gives up its right to act.
    #[prost(message, tag = "10")]
    Release(Empty),
    /// The successor is serving from now on.
    #[prost(message, tag = "11")]
    Started(Empty),
    /// Either side has ended the attempt.
    #[prost(message, tag = "12")]
    Abort(Refusal),
}

/// The first message of the successor.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Hello {
    /// The oldest version of the protocol that the successor speaks.
    #[prost(uint32, tag = "1")]
    pub oldest: u32,
    /// The newest version of the protocol that the successor speaks.
    #[prost(uint32, tag = "2")]
    pub newest: u32,
    /// The version of the successor's program, for the log.
    #[prost(string, tag = "3")]
    pub program: String,
    /// A digest of the settings that only a restart can change. It must be the same on both sides.
    #[prost(uint64, tag = "4")]
    pub digest: u64,
}

/// The state that the predecessor will transfer.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Offer {
    /// The version of the protocol that both sides use from now on.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// All sections that will be sent.
    #[prost(message, repeated, tag = "2")]
    pub sections: Vec<Section>,
    /// Resident memory of the predecessor, in bytes.
    #[prost(uint64, tag = "3")]
    pub bytes: u64,
    /// Open descriptors of the predecessor.
    #[prost(uint32, tag = "4")]
    pub descriptors: u32,
}

/// A kind of state, and the version of its format.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Section {
    /// The name of the section.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The version of the section's format.
    #[prost(uint32, tag = "2")]
    pub version: u32,
}

/// A message that declines a hand-over or ends an attempt.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Refusal {
    /// The reason as text, for the log and for the requester of the upgrade.
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// The acceptance of an offer.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Prepare {}

/// The empty body of a message whose type is its whole content.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Empty {}

/// A part of a section.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Chunk {
    /// The section's name.
    #[prost(string, tag = "1")]
    pub section: String,
    /// The bytes that follow those of the section's previous chunk.
    #[prost(bytes = "vec", tag = "2")]
    pub bytes: Vec<u8>,
    /// The number of descriptors that are sent with the message.
    #[prost(uint32, tag = "3")]
    pub descriptors: u32,
}

/// The number of chunks that were sent, so that a lost one is detected.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ChunkCount {
    /// The number of chunks since the last count.
    #[prost(uint64, tag = "1")]
    pub chunks: u64,
}
