//! The text of the restart-only settings: those parts of a node's file that cannot change while the node runs. A
//! program may hand over only to a successor with the same text. The text is hashed and compared between versions of
//! the program, so its form never changes.

use super::fields::FieldError;
use super::placement::{Placement, MESSAGE};
use crate::json;
use serde_json::value::RawValue;
use std::io::{self, Write};

/// The keys that may change: those that [`Placement::apply_reload`] applies, and the seed.
const CHANGEABLE_KEYS: [&str; 4] = ["executor", "lookup", "stop_ms", "seed"];
/// The key whose value may change while its presence may not.
const UPSTREAM_KEY: &str = "store";

/// The reason why the text cannot be produced.
#[derive(Debug, thiserror::Error)]
pub enum RestartOnlyError {
    /// The file is not valid JSON.
    #[error(transparent)]
    NotJson(#[from] FieldError),
    /// The text cannot be written.
    #[error("{MESSAGE}: {0}")]
    Write(#[from] io::Error),
    /// The text is not valid UTF-8.
    #[error("{MESSAGE}: {0}")]
    Encoding(#[from] std::string::FromUtf8Error),
}

impl Placement {
    /// Returns the restart-only settings of a node's file as text.
    ///
    /// ```
    /// use ochrewalk::deployment::Placement;
    /// let settings = |text: &str| Placement::restart_only_settings(text.as_bytes()).unwrap();
    /// assert_eq!(settings(r#"{"seed":"1","name":"n","store":"a"}"#), settings(r#"{"name":"n","store":"b","stop_ms":2}"#));
    /// assert_ne!(settings(r#"{"name":"n","store":"a"}"#), settings(r#"{"name":"n"}"#));
    /// ```
    ///
    /// # Errors
    /// Returns an error if the text is not valid JSON.
    pub fn restart_only_settings(text: &[u8]) -> Result<String, RestartOnlyError> {
        let mut settings = Vec::new();
        Placement::write_restart_only_settings(text, &mut settings)?;
        Ok(String::from_utf8(settings)?)
    }

    /// Writes the same text in pieces, none of which is longer than an element of a list.
    ///
    /// # Errors
    /// Returns an error if the text is not valid JSON, or if the output cannot be written.
    pub fn write_restart_only_settings(text: &[u8], out: &mut impl Write) -> Result<(), RestartOnlyError> {
        let text = json::check(text).map_err(|source| FieldError::not_json(MESSAGE, source))?;
        Ok(write(text, out)?)
    }
}

fn write(text: &str, out: &mut impl Write) -> io::Result<()> {
    let document: &RawValue = serde_json::from_str(text)?;
    if !json::is_object(document) {
        return json::write_value(document, out);
    }
    let mut fields = json::fields(document.get())?;
    for key in CHANGEABLE_KEYS {
        fields.remove(key);
    }
    if let Some(upstream) = fields.get_mut(UPSTREAM_KEY) {
        *upstream = serde_json::from_str("true")?;
    }
    json::write_fields(&fields, out)
}
