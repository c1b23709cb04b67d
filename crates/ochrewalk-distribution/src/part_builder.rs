//! Collects the resources and names of one part of an update, up to a size.

use prost::encoding::encoded_len_varint;
use prost::Message;

use crate::messages::{Resource, ResourceName};

/// The bytes of a part without its resources and names.
const PART_OVERHEAD_BYTES: usize = 128;
/// The most resources visited for one part, so that one call does not delay other subscribers.
const MAX_VISITED: usize = 20_000;

/// Returns the encoded size of a message as a field of another message.
fn field_len(message_len: usize) -> usize {
    1 + encoded_len_varint(message_len as u64) + message_len
}

/// Collects resources and names up to a size.
pub(crate) struct PartBuilder {
    pub(crate) resources: Vec<Resource>,
    pub(crate) absent: Vec<ResourceName>,
    bytes_left: usize,
    visits_left: usize,
}

impl PartBuilder {
    pub(crate) fn new(chunk_bytes: usize) -> Self {
        let bytes_left = chunk_bytes.saturating_sub(PART_OVERHEAD_BYTES);
        Self { resources: Vec::new(), absent: Vec::new(), bytes_left, visits_left: MAX_VISITED }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.resources.is_empty() && self.absent.is_empty()
    }

    /// Whether a further resource may be visited.
    pub(crate) fn try_visit(&mut self) -> bool {
        let may_visit = self.visits_left > 0;
        self.visits_left = self.visits_left.saturating_sub(1);
        may_visit
    }

    pub(crate) fn add_resource(&mut self, resource: &Resource) -> bool {
        let fits = self.reserve(field_len(resource.encoded_len()));
        if fits {
            self.resources.push(resource.clone());
        }
        fits
    }

    pub(crate) fn add_absent(&mut self, name: &ResourceName) -> bool {
        let fits = self.reserve(field_len(name.encoded_len()));
        if fits {
            self.absent.push(name.clone());
        }
        fits
    }

    /// Reserves `bytes` if they fit. The first entry always fits, so that each part contains at least one.
    fn reserve(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.bytes_left || self.is_empty();
        if fits {
            self.bytes_left = self.bytes_left.saturating_sub(bytes);
        }
        fits
    }
}
