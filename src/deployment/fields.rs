//! Reads JSON messages and objects field by field. Every error names the message and the field.

use crate::host::Outcome;
use crate::json::{self, Object};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;

/// The reason why a message is invalid.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// A field is missing, has another type, or is out of range.
    #[error("{message}: field {field} is missing or not {expected}")]
    Invalid {
        /// The message, or the path to the object in it.
        message: String,
        /// The field's name.
        field: String,
        /// The expected type or range.
        expected: String,
    },
    /// The text is not valid JSON.
    #[error("{message}: not JSON: {source}")]
    NotJson {
        /// The message.
        message: String,
        /// The position and the reason.
        source: serde_json::Error,
    },
}

impl FieldError {
    pub(super) fn not_json(message: impl Into<String>, source: serde_json::Error) -> FieldError {
        FieldError::NotJson { message: message.into(), source }
    }
}

/// A message or an object in a message, of which the long fields remain unparsed text.
pub struct Parts<'a> {
    message: Cow<'a, str>,
    object: Object<'a>,
}

impl<'a> Parts<'a> {
    pub(super) fn new(message: &'a str, object: Object<'a>) -> Parts<'a> {
        Parts { message: message.into(), object }
    }

    /// Reads a text that has passed [`json::check`]. `unparsed` lists the fields that remain text.
    ///
    /// # Errors
    /// Returns an error if the text is not valid JSON.
    pub fn read(
        message: &'a str,
        text: &'a RawValue,
        unparsed: &[&'static str],
    ) -> Result<Parts<'a>, FieldError> {
        let object =
            Object::read(text.get(), unparsed).map_err(|source| FieldError::not_json(message, source))?;
        Ok(Parts::new(message, object))
    }

    /// Takes the name of the message from one of its fields, and returns the name.
    ///
    /// # Errors
    /// Returns an error if the field is not a string.
    pub fn name_by(&mut self, field: &str) -> Result<String, FieldError> {
        let name = self.object.parsed.get(field).and_then(Value::as_str).map(String::from);
        let name = name.ok_or_else(|| self.fields().invalid(field, "a string"))?;
        self.message = name.clone().into();
        Ok(name)
    }

    /// Returns the fields that have been parsed.
    pub fn fields(&self) -> Fields<'_> {
        Fields { message: self.message.as_ref().into(), value: &self.object.parsed }
    }

    /// Returns the text of a field that must be an object.
    ///
    /// # Errors
    /// Returns an error if the field is not an object.
    pub fn object_text(&self, field: &str) -> Result<&'a RawValue, FieldError> {
        let text = self.object.unparsed(field).filter(|text| json::is_object(text));
        text.ok_or_else(|| self.fields().invalid(field, "an object"))
    }

    /// Reads a field that must be an object. `unparsed` lists the fields of the object that remain text.
    ///
    /// # Errors
    /// Returns an error if the field is not an object.
    pub fn object(&self, field: &str, unparsed: &[&'static str]) -> Result<Parts<'a>, FieldError> {
        let text = self.object_text(field)?;
        let message = format!("{} {field}", self.message);
        match Object::read(text.get(), unparsed) {
            Ok(object) => Ok(Parts { message: message.into(), object }),
            Err(source) => Err(FieldError::NotJson { message, source }),
        }
    }

    /// Checks that a field is a list.
    ///
    /// # Errors
    /// Returns an error if the field is missing or not a list.
    pub fn required(&self, field: &str) -> Result<(), FieldError> {
        let list = self.object.unparsed(field).filter(|text| json::is_list(text));
        list.map(|_| ()).ok_or_else(|| self.fields().invalid(field, "an array"))
    }

    /// Passes the elements of a list to `take` one at a time, up to the first error. An absent list has no elements.
    ///
    /// # Errors
    /// Returns an error if the field is not a list or an element is not a `T`, or the first error of `take`.
    pub fn for_each<T: Deserialize<'a>, E: From<FieldError>>(
        &self,
        field: &str,
        take: impl FnMut(T) -> Result<(), E>,
    ) -> Result<(), E> {
        let Some(list) = self.object.unparsed(field) else { return Ok(()) };
        self.required(field)?;
        match json::for_each(list, take) {
            Ok(result) => result,
            Err(source) => Err(FieldError::not_json(self.message.as_ref(), source).into()),
        }
    }
}

/// The parsed fields of a message or of an object in a message.
pub struct Fields<'a> {
    /// The message, or the path to this object in it.
    message: Cow<'a, str>,
    value: &'a Value,
}

impl<'a> Fields<'a> {
    /// Returns the error for a field that is not as expected.
    pub fn invalid(&self, field: &str, expected: &str) -> FieldError {
        FieldError::Invalid {
            message: self.message.to_string(),
            field: field.to_string(),
            expected: expected.to_string(),
        }
    }

    /// Reads a field with `read`, or returns `None` if the field is absent or null.
    ///
    /// # Errors
    /// Returns an error if `read` does not accept the value.
    pub fn optional<T>(
        &self,
        field: &str,
        expected: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, FieldError> {
        match self.value.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => read(value).map(Some).ok_or_else(|| self.invalid(field, expected)),
        }
    }

    /// Reads a field with `read`, and requires the field to be present.
    fn required<T>(
        &self,
        field: &str,
        expected: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, FieldError> {
        self.optional(field, expected, read)?.ok_or_else(|| self.invalid(field, expected))
    }

    /// Reads a whole number, if present.
    ///
    /// # Errors
    /// Returns an error if the field has another type or range.
    pub fn optional_whole(&self, field: &str) -> Result<Option<u64>, FieldError> {
        self.optional(field, "a whole number", Value::as_u64)
    }

    /// Reads a whole number.
    ///
    /// # Errors
    /// Returns an error if the field is missing, or has another type or range.
    pub fn whole(&self, field: &str) -> Result<u64, FieldError> {
        self.required(field, "a whole number", Value::as_u64)
    }

    /// Reads a number, if present.
    ///
    /// # Errors
    /// Returns an error if the field has another type or range.
    pub fn optional_number(&self, field: &str) -> Result<Option<f64>, FieldError> {
        self.optional(field, "a number", Value::as_f64)
    }

    /// Reads a number.
    ///
    /// # Errors
    /// Returns an error if the field is missing, or has another type or range.
    pub fn number(&self, field: &str) -> Result<f64, FieldError> {
        self.required(field, "a number", Value::as_f64)
    }

    /// Reads a boolean, if present.
    ///
    /// # Errors
    /// Returns an error if the field has another type or range.
    pub fn optional_bool(&self, field: &str) -> Result<Option<bool>, FieldError> {
        self.optional(field, "true or false", Value::as_bool)
    }

    /// Reads a string, if present. The number 0 also counts as an absent string.
    ///
    /// # Errors
    /// Returns an error if the field has another type or range.
    pub fn optional_text(&self, field: &str) -> Result<Option<&'a str>, FieldError> {
        match self.value.get(field).and_then(Value::as_u64) {
            Some(0) => Ok(None),
            _ => self.optional(field, "a string", Value::as_str),
        }
    }

    /// Reads a string.
    ///
    /// # Errors
    /// Returns an error if the field is missing, or has another type or range.
    pub fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.optional_text(field)?.ok_or_else(|| self.invalid(field, "a string"))
    }

    /// Reads a list. An absent list is empty.
    ///
    /// # Errors
    /// Returns an error if the field has another type or range.
    pub fn optional_list(&self, field: &str) -> Result<&'a [Value], FieldError> {
        Ok(self.optional(field, "an array", Value::as_array)?.map_or(&[], Vec::as_slice))
    }

    /// Reads an object.
    ///
    /// # Errors
    /// Returns an error if the field is missing, or has another type or range.
    pub fn object(&self, field: &str) -> Result<Fields<'a>, FieldError> {
        let value = self.required(field, "an object", |value| value.is_object().then_some(value))?;
        Ok(self.part(field, value))
    }

    /// Reads a whole number above 0.
    ///
    /// # Errors
    /// Returns an error if the field is missing, or has another type or range.
    pub fn positive(&self, field: &str) -> Result<u64, FieldError> {
        let positive = |value: &Value| value.as_u64().filter(|number| *number > 0);
        self.required(field, "a whole number above 0", positive)
    }

    /// Reads a number of at least `min`.
    ///
    /// # Errors
    /// Returns an error if the field is missing, or has another type or range.
    pub fn at_least(&self, field: &str, min: f64) -> Result<f64, FieldError> {
        let in_range = |value: &Value| value.as_f64().filter(|number| *number >= min);
        self.required(field, &format!("a number of {min} or more"), in_range)
    }

    /// Reads a number above `bound`.
    ///
    /// # Errors
    /// Returns an error if the field is missing, or has another type or range.
    pub fn above(&self, field: &str, bound: f64) -> Result<f64, FieldError> {
        let in_range = |value: &Value| value.as_f64().filter(|number| *number > bound);
        self.required(field, &format!("a number above {bound}"), in_range)
    }

    /// Reads an address and port, if present.
    ///
    /// # Errors
    /// Returns an error if the field has another type or range.
    pub fn optional_address(&self, field: &str) -> Result<Option<SocketAddr>, FieldError> {
        self.optional(field, "an address and port", |value| value.as_str()?.parse().ok())
    }

    /// Reads an address and port.
    ///
    /// # Errors
    /// Returns an error if the field is missing, or has another type or range.
    pub fn address(&self, field: &str) -> Result<SocketAddr, FieldError> {
        self.required(field, "an address and port", |value| value.as_str()?.parse().ok())
    }

    /// Returns a part of this object, whose errors name the path to the part.
    pub fn part(&self, field: &str, value: &'a Value) -> Fields<'a> {
        Fields { message: format!("{} {field}", self.message).into(), value }
    }

    /// Reads the outcome from the field `state-code`.
    ///
    /// # Errors
    /// Returns an error if the field is missing or not the code of an outcome.
    pub fn outcome(&self) -> Result<Outcome, FieldError> {
        Ok(match self.whole("state-code")? {
            100 => Outcome::Ok,
            301 => Outcome::Error,
            302 => Outcome::Rejected,
            303 => Outcome::TimedOut,
            304 => Outcome::Unreachable,
            305 => Outcome::Interrupted,
            306 => Outcome::Stopped,
            307 => Outcome::NotStarted,
            _ => return Err(self.invalid("state-code", "a known outcome")),
        })
    }
}
