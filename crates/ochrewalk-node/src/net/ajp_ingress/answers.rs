//! Encodes answers as AJP packets: results, rejections and the node's health.

use super::AjpIngress;
use crate::interfaces::Answer;
use base64::prelude::{Engine, BASE64_STANDARD};
use ochrewalk_ajp::reply::{self, ResponseHead};
use ochrewalk_ajp::servlet_container::Refusal;

/// The header which states that an RPC never ran, so that even an RPC that is not idempotent may be retried elsewhere.
pub const NEVER_RAN: &str = "x-ochrewalk-never-ran";
const RETRY_AFTER_MS: &str = "x-ochrewalk-come-back-ms";
const LAST: &str = "x-ochrewalk-last";
const SIGNAL: &str = "x-ochrewalk-signal";

impl AjpIngress {
    /// Encodes the answer to an RPC.
    pub(super) fn packets(&self, answer: Answer, signal: Option<f64>, may_reuse: bool) -> Vec<u8> {
        let mut headers: Vec<(&[u8], String)> = Vec::new();
        let (status, reason, body): (u16, &str, Vec<u8>) = match answer {
            Answer::Served(result) => match decode_result(result) {
                Some(body) => (200, "OK", body),
                None => {
                    tracing::error!(part = "ajp", "the result of a run is not base64 and cannot be sent");
                    (500, "Aborted", b"aborted: its result cannot be given\n".to_vec())
                }
            },
            Answer::Rejected { do_not_retry, retry_after_us } => {
                headers.push((NEVER_RAN.as_bytes(), "1".into()));
                if retry_after_us > 0 {
                    headers.push((b"retry-after", retry_after_us.div_ceil(1_000_000).to_string()));
                    headers.push((RETRY_AFTER_MS.as_bytes(), retry_after_us.div_ceil(1_000).to_string()));
                }
                if do_not_retry {
                    headers.push((LAST.as_bytes(), "1".into()));
                }
                (503, "Pushed Back", b"pushed back: it never ran\n".to_vec())
            }
            Answer::Aborted => (500, "Aborted", b"aborted\n".to_vec()),
            Answer::InvalidRequest(cause) => (409, "Conflict", format!("{cause}\n").into_bytes()),
        };
        if let Some(signal) = signal {
            headers.push((SIGNAL.as_bytes(), signal.to_string()));
        }
        let content_type = if status == 200 { "application/octet-stream" } else { "text/plain" };
        self.write(status, reason, content_type, &headers, &body, may_reuse)
    }

    /// Encodes the refusal of a request, and logs it. `allow` lists the methods that the path has.
    pub(super) fn refusal(&self, refusal: Refusal, allow: &[String], may_reuse: bool) -> Vec<u8> {
        tracing::warn!(part = "ajp", "{} {}", refusal.status, refusal.reason);
        let body = format!("{}\n", refusal.reason);
        let allow = (b"allow".as_slice(), allow.join(", "));
        let headers = if allow.1.is_empty() { vec![] } else { vec![allow] };
        self.write(refusal.status, "Refused", "text/plain", &headers, body.as_bytes(), may_reuse)
    }

    /// Encodes the answer to a health check.
    pub(super) fn health(&self, may_reuse: bool) -> Vec<u8> {
        let is_healthy = self.core.coordinator.health_state().is_healthy.unwrap_or(false);
        let (status, reason, body) =
            if is_healthy { (200, "OK", "takes work\n") } else { (503, "Not Now", "takes no work\n") };
        self.write(status, reason, "text/plain", &[], body.as_bytes(), may_reuse)
    }

    fn write(
        &self,
        status: u16,
        reason: &str,
        content_type: &str,
        headers: &[(&[u8], String)],
        body: &[u8],
        may_reuse: bool,
    ) -> Vec<u8> {
        let length = body.len().to_string();
        let mut all: Vec<(&[u8], &[u8])> =
            vec![(b"content-type", content_type.as_bytes()), (b"content-length", length.as_bytes())];
        all.extend(headers.iter().map(|(name, value)| (*name, value.as_bytes())));
        let head = ResponseHead { status, reason: reason.as_bytes(), headers: all };
        let mut out = Vec::with_capacity(body.len() + 256);
        reply::write_response(&mut out, self.max_packet_bytes, head, body, may_reuse)
            .expect("the head fits any packet");
        out
    }
}

/// Decodes a JSON string of base64, in which the solidus may be escaped.
fn decode_result(json: &str) -> Option<Vec<u8>> {
    let text = json.strip_prefix('"')?.strip_suffix('"')?;
    if text.contains('\\') {
        return BASE64_STANDARD.decode(text.replace("\\/", "/")).ok();
    }
    BASE64_STANDARD.decode(text).ok()
}
