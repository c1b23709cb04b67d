//! The messages, in protobuf. A field that a newer program adds to a message is skipped by an older one; a section that
//! has to be understood is named in the offer, so that a successor that does not know it refuses.

use prost::Oneof;

/// Descriptors that go with one message: the operating system passes no more at once.
pub const MAX_DESCRIPTORS: usize = 250;

/// What stands on the stream: one message, or none where a newer program sends one that is not known here.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The message.
    #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub message: Option<Message>,
}

/// All messages. [The crate's page](crate) has the order in which they pass.
#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum Message {
    /// From the successor: it has read its files and can take over.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// From the predecessor: what there is to take over.
    #[prost(message, tag = "2")]
    Offer(Offer),
    /// From either: the hand-over is declined, before any state was sent.
    #[prost(message, tag = "3")]
    Refuse(Refusal),
    /// From the successor: it accepts the offer.
    #[prost(message, tag = "4")]
    Prepare(Prepare),
    /// From the predecessor: a piece of a section.
    #[prost(message, tag = "5")]
    Chunk(Chunk),
    /// From the predecessor: all chunks before the pause have been sent.
    #[prost(message, tag = "6")]
    AheadComplete(ChunkCount),
    /// From the successor: it has all that was sent ahead.
    #[prost(message, tag = "7")]
    Ready(Empty),
    /// From the predecessor: all chunks of the pause have been sent.
    #[prost(message, tag = "8")]
    TransferComplete(ChunkCount),
    /// From the successor: it has restored all of the state, without acting on it.
    #[prost(message, tag = "9")]
    Loaded(Empty),
    /// From the predecessor: it gives up its right to act.
    #[prost(message, tag = "10")]
    Release(Empty),
    /// From the successor: it serves from here on.
    #[prost(message, tag = "11")]
    Started(Empty),
    /// From either: the attempt has ended.
    #[prost(message, tag = "12")]
    Abort(Refusal),
}

/// What the successor says first.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Hello {
    /// The oldest version of the protocol that it speaks.
    #[prost(uint32, tag = "1")]
    pub oldest: u32,
    /// The newest version of the protocol that it speaks.
    #[prost(uint32, tag = "2")]
    pub newest: u32,
    /// The version of its program, for the log.
    #[prost(string, tag = "3")]
    pub program: String,
    /// A digest of the settings that only a start can change: it has to be the same on both sides.
    #[prost(uint64, tag = "4")]
    pub digest: u64,
}

/// What there is to take over.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Offer {
    /// The version of the protocol that both sides go on with.
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
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The version of its format.
    #[prost(uint32, tag = "2")]
    pub version: u32,
}

/// Why a hand-over does not come about.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Refusal {
    /// The reason as text, for the log and for whoever asked for the upgrade.
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// The acceptance of an offer.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Prepare {}

/// The body of a message that is said by its kind alone.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Empty {}

/// A piece of a section.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Chunk {
    /// The section's name.
    #[prost(string, tag = "1")]
    pub section: String,
    /// The bytes that follow on those of the section's chunk before.
    #[prost(bytes = "vec", tag = "2")]
    pub bytes: Vec<u8>,
    /// How many descriptors go with the message.
    #[prost(uint32, tag = "3")]
    pub descriptors: u32,
}

/// How many chunks went before, so that a lost one is noticed.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ChunkCount {
    /// Chunks since the last count.
    #[prost(uint64, tag = "1")]
    pub chunks: u64,
}
