//! Messages and objects in JSON, read field by field. Every error names the message and the field.

use crate::host::Outcome;
use crate::json::{self, Object};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// A field is missing, or has another type or range.
    #[error("{message}: field {field} is missing or not {expected}")]
    Invalid {
        /// The message, or the path to the object in it.
        message: String,
        /// The field's name.
        field: String,
        /// What it has to be.
        expected: String,
    },
    /// The text is no JSON.
    #[error("{message}: not JSON: {source}")]
    NotJson {
        /// The message.
        message: String,
        /// Where and why.
        source: serde_json::Error,
    },
}

impl FieldError {
    pub(super) fn not_json(message: impl Into<String>, source: serde_json::Error) -> FieldError {
        FieldError::NotJson { message: message.into(), source }
    }
}

/// A message, or an object in one, of which long fields stay text.
pub struct Parts<'a> {
    message: Cow<'a, str>,
    object: Object<'a>,
}

impl<'a> Parts<'a> {
    pub(super) fn new(message: &'a str, object: Object<'a>) -> Parts<'a> {
        Parts { message: message.into(), object }
    }

    /// Reads a text that [`json::check`] has passed; `long` are the fields that stay text.
    ///
    /// # Errors
    /// The text is no JSON.
    pub fn read(
        message: &'a str,
        text: &'a RawValue,
        long: &[&'static str],
    ) -> Result<Parts<'a>, FieldError> {
        let object =
            Object::read(text.get(), long).map_err(|source| FieldError::not_json(message, source))?;
        Ok(Parts::new(message, object))
    }

    /// Names the message by the text in one of its fields, and gives that.
    ///
    /// # Errors
    /// The field is no string.
    pub fn name_by(&mut self, field: &str) -> Result<String, FieldError> {
        let name = self.object.small.get(field).and_then(Value::as_str).map(String::from);
        let name = name.ok_or_else(|| self.fields().invalid(field, "a string"))?;
        self.message = name.clone().into();
        Ok(name)
    }

    /// The fields that are not text.
    pub fn fields(&self) -> Fields<'_> {
        Fields { message: self.message.as_ref().into(), value: &self.object.small }
    }

    /// The text of a field that must be an object.
    ///
    /// # Errors
    /// It is none.
    pub fn object_text(&self, field: &str) -> Result<&'a RawValue, FieldError> {
        let text = self.object.long(field).filter(|text| json::is_object(text));
        text.ok_or_else(|| self.fields().invalid(field, "an object"))
    }

    /// A field that must be an object, of which other long fields stay text.
    ///
    /// # Errors
    /// It is none.
    pub fn object(&self, field: &str, long: &[&'static str]) -> Result<Parts<'a>, FieldError> {
        let text = self.object_text(field)?;
        let message = format!("{} {field}", self.message);
        match Object::read(text.get(), long) {
            Ok(object) => Ok(Parts { message: message.into(), object }),
            Err(source) => Err(FieldError::NotJson { message, source }),
        }
    }

    /// Checks that a list is there.
    ///
    /// # Errors
    /// It is not.
    pub fn required(&self, field: &str) -> Result<(), FieldError> {
        let list = self.object.long(field).filter(|text| json::is_list(text));
        list.map(|_| ()).ok_or_else(|| self.fields().invalid(field, "an array"))
    }

    /// Hands over the elements of a list one at a time, up to the first error. A list that is absent has none.
    ///
    /// # Errors
    /// The field is no list, an element is no `T`, or the first error of `take`.
    pub fn for_each<T: Deserialize<'a>, E: From<FieldError>>(
        &self,
        field: &str,
        take: impl FnMut(T) -> Result<(), E>,
    ) -> Result<(), E> {
        let Some(list) = self.object.long(field) else { return Ok(()) };
        self.required(field)?;
        match json::for_each(list, take) {
            Ok(taken) => taken,
            Err(source) => Err(FieldError::not_json(self.message.as_ref(), source).into()),
        }
    }
}

/// A message's fields.
pub struct Fields<'a> {
    /// The message, or the path to this object in it.
    message: Cow<'a, str>,
    value: &'a Value,
}

impl<'a> Fields<'a> {
    /// The error for a field that is not what it has to be.
    pub fn invalid(&self, field: &str, expected: &str) -> FieldError {
        FieldError::Invalid {
            message: self.message.to_string(),
            field: field.to_string(),
            expected: expected.to_string(),
        }
    }

    /// A field that may be absent or null, and is else what `read` takes.
    ///
    /// # Errors
    /// It is something else.
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

    /// A field that has to be there and is what `read` takes.
    fn required<T>(
        &self,
        field: &str,
        expected: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, FieldError> {
        self.optional(field, expected, read)?.ok_or_else(|| self.invalid(field, expected))
    }

    /// A whole number, if there is one.
    ///
    /// # Errors
    /// The field is something else.
    pub fn optional_whole(&self, field: &str) -> Result<Option<u64>, FieldError> {
        self.optional(field, "a whole number", Value::as_u64)
    }

    /// A whole number.
    ///
    /// # Errors
    /// The field is missing or something else.
    pub fn whole(&self, field: &str) -> Result<u64, FieldError> {
        self.required(field, "a whole number", Value::as_u64)
    }

    /// A number, if there is one.
    ///
    /// # Errors
    /// The field is something else.
    pub fn optional_number(&self, field: &str) -> Result<Option<f64>, FieldError> {
        self.optional(field, "a number", Value::as_f64)
    }

    /// A number.
    ///
    /// # Errors
    /// The field is missing or something else.
    pub fn number(&self, field: &str) -> Result<f64, FieldError> {
        self.required(field, "a number", Value::as_f64)
    }

    /// A truth value, if there is one.
    ///
    /// # Errors
    /// The field is something else.
    pub fn optional_bool(&self, field: &str) -> Result<Option<bool>, FieldError> {
        self.optional(field, "true or false", Value::as_bool)
    }

    /// A text, if there is one. Absent texts may also stand as 0.
    ///
    /// # Errors
    /// The field is something else.
    pub fn optional_text(&self, field: &str) -> Result<Option<&'a str>, FieldError> {
        match self.value.get(field).and_then(Value::as_u64) {
            Some(0) => Ok(None),
            _ => self.optional(field, "a string", Value::as_str),
        }
    }

    /// A text.
    ///
    /// # Errors
    /// The field is missing or something else.
    pub fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.optional_text(field)?.ok_or_else(|| self.invalid(field, "a string"))
    }

    /// A list; an absent one is empty.
    ///
    /// # Errors
    /// The field is something else.
    pub fn optional_list(&self, field: &str) -> Result<&'a [Value], FieldError> {
        Ok(self.optional(field, "an array", Value::as_array)?.map_or(&[], Vec::as_slice))
    }

    /// An object.
    ///
    /// # Errors
    /// The field is missing or something else.
    pub fn object(&self, field: &str) -> Result<Fields<'a>, FieldError> {
        let value = self.required(field, "an object", |value| value.is_object().then_some(value))?;
        Ok(self.part(field, value))
    }

    /// A whole number above 0.
    ///
    /// # Errors
    /// The field is missing or something else.
    pub fn positive(&self, field: &str) -> Result<u64, FieldError> {
        let positive = |value: &Value| value.as_u64().filter(|number| *number > 0);
        self.required(field, "a whole number above 0", positive)
    }

    /// A number from `min` on.
    ///
    /// # Errors
    /// The field is missing or something else.
    pub fn at_least(&self, field: &str, min: f64) -> Result<f64, FieldError> {
        let in_range = |value: &Value| value.as_f64().filter(|number| *number >= min);
        self.required(field, &format!("a number of {min} or more"), in_range)
    }

    /// A number above `bound`.
    ///
    /// # Errors
    /// The field is missing or something else.
    pub fn above(&self, field: &str, bound: f64) -> Result<f64, FieldError> {
        let in_range = |value: &Value| value.as_f64().filter(|number| *number > bound);
        self.required(field, &format!("a number above {bound}"), in_range)
    }

    /// An address and port, if there is one.
    ///
    /// # Errors
    /// The field is something else.
    pub fn optional_address(&self, field: &str) -> Result<Option<SocketAddr>, FieldError> {
        self.optional(field, "an address and port", |value| value.as_str()?.parse().ok())
    }

    /// An address and port.
    ///
    /// # Errors
    /// The field is missing or something else.
    pub fn address(&self, field: &str) -> Result<SocketAddr, FieldError> {
        self.required(field, "an address and port", |value| value.as_str()?.parse().ok())
    }

    /// A part of this object, named by the path to it.
    pub fn part(&self, field: &str, value: &'a Value) -> Fields<'a> {
        Fields { message: format!("{} {field}", self.message).into(), value }
    }

    /// The outcome that the field `state-code` names.
    ///
    /// # Errors
    /// The field is missing or names none.
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
