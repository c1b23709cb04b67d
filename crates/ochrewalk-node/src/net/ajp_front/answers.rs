//! Answers as AJP packets: results, refusals and the node's health.

use super::AjpFront;
use crate::interfaces::Answer;
use base64::prelude::{Engine, BASE64_STANDARD};
use ochrewalk_ajp::answerer::Refusal;
use ochrewalk_ajp::reply::{self, Head};

/// Says that an RPC never ran, so that it may go elsewhere whatever its kind.
pub const NEVER_RAN: &str = "x-ochrewalk-never-ran";
const COME_BACK: &str = "x-ochrewalk-come-back-ms";
const LAST: &str = "x-ochrewalk-last";
const SIGNAL: &str = "x-ochrewalk-signal";

impl AjpFront {
    /// The answer as packets.
    pub(super) fn packets(&self, answer: Answer, signal: Option<f64>, reuse: bool) -> Vec<u8> {
        let mut headers: Vec<(&[u8], String)> = Vec::new();
        let (status, words, body): (u16, &str, Vec<u8>) = match answer {
            Answer::Served(result) => match decoded(result) {
                Some(body) => (200, "OK", body),
                None => {
                    tracing::error!(part = "ajp", "a result that is no base64 cannot be given");
                    (500, "Aborted", b"aborted: its result cannot be given\n".to_vec())
                }
            },
            Answer::Rejected { do_not_retry, retry_after_us } => {
                headers.push((NEVER_RAN.as_bytes(), "1".into()));
                if retry_after_us > 0 {
                    headers.push((b"retry-after", retry_after_us.div_ceil(1_000_000).to_string()));
                    headers.push((COME_BACK.as_bytes(), retry_after_us.div_ceil(1_000).to_string()));
                }
                if do_not_retry {
                    headers.push((LAST.as_bytes(), "1".into()));
                }
                (503, "Pushed Back", b"pushed back: it never ran\n".to_vec())
            }
            Answer::Aborted => (500, "Aborted", b"aborted\n".to_vec()),
            Answer::InvalidRequest(why) => (409, "Conflict", format!("{why}\n").into_bytes()),
        };
        if let Some(signal) = signal {
            headers.push((SIGNAL.as_bytes(), signal.to_string()));
        }
        let kind = if status == 200 { "application/octet-stream" } else { "text/plain" };
        self.write(status, words, kind, &headers, &body, reuse)
    }

    pub(super) fn refusal(&self, refusal: Refusal, allow: &[String], reuse: bool) -> Vec<u8> {
        tracing::warn!(part = "ajp", "{} {}", refusal.status, refusal.why);
        let body = format!("{}\n", refusal.why);
        let allow = (b"allow".as_slice(), allow.join(", "));
        let headers = if allow.1.is_empty() { vec![] } else { vec![allow] };
        self.write(refusal.status, "Refused", "text/plain", &headers, body.as_bytes(), reuse)
    }

    pub(super) fn health(&self, reuse: bool) -> Vec<u8> {
        let good = self.core.coordinator.health_state().is_healthy.unwrap_or(false);
        let (status, words, body) =
            if good { (200, "OK", "takes work\n") } else { (503, "Not Now", "takes no work\n") };
        self.write(status, words, "text/plain", &[], body.as_bytes(), reuse)
    }

    fn write(
        &self,
        status: u16,
        words: &str,
        kind: &str,
        headers: &[(&[u8], String)],
        body: &[u8],
        reuse: bool,
    ) -> Vec<u8> {
        let length = body.len().to_string();
        let mut all: Vec<(&[u8], &[u8])> =
            vec![(b"content-type", kind.as_bytes()), (b"content-length", length.as_bytes())];
        all.extend(headers.iter().map(|(name, value)| (*name, value.as_bytes())));
        let head = Head { status, words: words.as_bytes(), headers: all };
        let mut out = Vec::with_capacity(body.len() + 256);
        reply::write_answer(&mut out, self.packet, head, body, reuse).expect("a head that fits any packet");
        out
    }
}

/// The bytes of a JSON string of base64, in which the solidus may be escaped.
fn decoded(json: &str) -> Option<Vec<u8>> {
    let text = json.strip_prefix('"')?.strip_suffix('"')?;
    if text.contains('\\') {
        return BASE64_STANDARD.decode(text.replace("\\/", "/")).ok();
    }
    BASE64_STANDARD.decode(text).ok()
}
