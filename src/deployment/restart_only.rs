//! What of a node's file cannot change while the node runs, as text. A program may hand over only to one for which it is the
//! same; the text is hashed and compared between versions of the program, so it never changes its form.

use super::fields::FieldError;
use super::placement::{Placement, MESSAGE};
use crate::json;
use serde_json::value::RawValue;
use std::io::{self, Write};

/// Keys that [`Placement::apply_reload`] takes, and the seed.
const CHANGEABLE_KEYS: [&str; 4] = ["executor", "lookup", "stop_ms", "seed"];
/// Of this key it lasts only that it is there.
const UPSTREAM_KEY: &str = "store";

/// Why the text cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum RestartOnlyError {
    /// The file is no JSON.
    #[error(transparent)]
    NotJson(#[from] FieldError),
    /// It cannot be written.
    #[error("{MESSAGE}: {0}")]
    Write(#[from] io::Error),
    /// It is no UTF-8.
    #[error("{MESSAGE}: {0}")]
    Encoding(#[from] std::string::FromUtf8Error),
}

impl Placement {
    /// What of a node's file cannot change while the node runs.
    ///
    /// ```
    /// use ochrewalk::deployment::Placement;
    /// let of = |text: &str| Placement::restart_only_settings(text.as_bytes()).unwrap();
    /// assert_eq!(of(r#"{"seed":"1","name":"n","store":"a"}"#), of(r#"{"name":"n","store":"b","stop_ms":2}"#));
    /// assert_ne!(of(r#"{"name":"n","store":"a"}"#), of(r#"{"name":"n"}"#));
    /// ```
    ///
    /// # Errors
    /// The text is no JSON.
    pub fn restart_only_settings(text: &[u8]) -> Result<String, RestartOnlyError> {
        let mut settings = Vec::new();
        Placement::write_restart_only_settings(text, &mut settings)?;
        Ok(String::from_utf8(settings)?)
    }

    /// Writes the same in pieces: none is longer than an element of a list.
    ///
    /// # Errors
    /// The text is no JSON, or it cannot be written.
    pub fn write_restart_only_settings(text: &[u8], out: &mut impl Write) -> Result<(), RestartOnlyError> {
        let text = json::check(text).map_err(|source| FieldError::not_json(MESSAGE, source))?;
        Ok(write(text, out)?)
    }
}

fn write(text: &str, out: &mut impl Write) -> io::Result<()> {
    let whole: &RawValue = serde_json::from_str(text)?;
    if !json::is_object(whole) {
        return json::write_value(whole, out);
    }
    let mut fields = json::fields(whole.get())?;
    for key in CHANGEABLE_KEYS {
        fields.remove(key);
    }
    if let Some(upstream) = fields.get_mut(UPSTREAM_KEY) {
        *upstream = serde_json::from_str("true")?;
    }
    json::write_fields(&fields, out)
}
