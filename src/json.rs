//! Reads JSON text in parts, so that memory never holds a tree of the complete text in addition to the result. The long
//! fields of an object remain unparsed text, and the elements of their lists are read one at a time.

use serde::de::{Deserialize, Deserializer as _, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Deserializer, Error, Map, Value};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};
use std::marker::PhantomData;

/// Validates a complete text as reading it into a [`Value`] would, and stores nothing. After this no part of the text
/// fails to parse, so that errors give their position in the complete text.
///
/// # Errors
/// Returns an error if the text is not valid JSON, or not valid UTF-8.
pub fn check(text: &[u8]) -> Result<&str, Error> {
    let Checked = serde_json::from_slice(text)?;
    std::str::from_utf8(text).map_err(serde::de::Error::custom)
}

/// A marker for any JSON value that was read as a [`Value`] would be, and dropped.
struct Checked;

impl<'de> Deserialize<'de> for Checked {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Checked, D::Error> {
        deserializer.deserialize_any(CheckedVisitor)
    }
}

struct CheckedVisitor;

impl<'de> Visitor<'de> for CheckedVisitor {
    type Value = Checked;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("any valid JSON value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_str<E>(self, _: &str) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_unit<E>(self) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Checked, A::Error> {
        while let Some(Checked) = list.next_element()? {}
        Ok(Checked)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Checked, A::Error> {
        while let Some((Checked, Checked)) = fields.next_entry()? {}
        Ok(Checked)
    }
}

/// An object of which some fields remain text. If a field occurs twice, its last value applies.
pub struct Object<'a> {
    /// All other fields, or the value itself if it is not an object.
    pub parsed: Value,
    unparsed: Vec<(&'static str, &'a RawValue)>,
}

impl<'a> Object<'a> {
    /// Reads the text of an object. `unparsed` lists the fields that remain text.
    ///
    /// # Errors
    /// Returns an error if the text is not valid JSON.
    pub fn read(text: &'a str, unparsed: &[&'static str]) -> Result<Object<'a>, Error> {
        if !text.trim_ascii_start().starts_with('{') {
            return Ok(Object { parsed: serde_json::from_str(text)?, unparsed: Vec::new() });
        }
        let mut reader = Deserializer::from_str(text);
        let object = reader.deserialize_map(ObjectVisitor { unparsed })?;
        reader.end()?;
        Ok(object)
    }

    /// Returns the text of an unparsed field, or `None` if the field is absent or null.
    pub fn unparsed(&self, field: &str) -> Option<&'a RawValue> {
        let field_text = self.unparsed.iter().rev().find(|(name, _)| *name == field);
        field_text.map(|(_, text)| *text).filter(|text| text.get() != "null")
    }
}

struct ObjectVisitor<'l> {
    unparsed: &'l [&'static str],
}

impl<'de> Visitor<'de> for ObjectVisitor<'_> {
    type Value = Object<'de>;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Object<'de>, A::Error> {
        let (mut parsed, mut unparsed) = (Map::new(), Vec::new());
        while let Some(name) = fields.next_key::<String>()? {
            match self.unparsed.iter().find(|unparsed| **unparsed == name) {
                Some(name) => unparsed.push((*name, fields.next_value()?)),
                None => drop(parsed.insert(name, fields.next_value()?)),
            }
        }
        Ok(Object { parsed: Value::Object(parsed), unparsed })
    }
}

/// Whether the text is an object.
pub fn is_object(text: &RawValue) -> bool {
    text.get().starts_with('{')
}

/// Whether the text is a list.
pub fn is_list(text: &RawValue) -> bool {
    text.get().starts_with('[')
}

/// Passes the elements of a list to `take` one at a time, up to the first error of `take`, which is the inner result.
/// The outer result is an error of the text.
///
/// # Errors
/// Returns an error if the text is not a list of such elements.
pub fn for_each<'a, T: Deserialize<'a>, E>(
    list: &'a RawValue,
    take: impl FnMut(T) -> Result<(), E>,
) -> Result<Result<(), E>, Error> {
    Deserializer::from_str(list.get()).deserialize_seq(ElementVisitor { take, element: PhantomData })
}

struct ElementVisitor<T, F> {
    take: F,
    element: PhantomData<T>,
}

impl<'de, T, F, E> Visitor<'de> for ElementVisitor<T, F>
where
    T: Deserialize<'de>,
    F: FnMut(T) -> Result<(), E>,
{
    type Value = Result<(), E>;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, mut list: A) -> Result<Self::Value, A::Error> {
        let mut result = Ok(());
        while result.is_ok() {
            let Some(element) = list.next_element()? else { return Ok(result) };
            result = (self.take)(element);
        }
        while let Some(IgnoredAny) = list.next_element()? {}
        Ok(result)
    }
}

/// Returns the fields of an object by name, as text.
///
/// # Errors
/// Returns an error if the text is not an object.
pub fn fields(text: &str) -> Result<BTreeMap<Cow<'_, str>, &RawValue>, Error> {
    serde_json::from_str(text)
}

/// Writes an object of these fields as [`Value`] would.
///
/// # Errors
/// Returns an error if the output cannot be written, or if a value is not valid JSON.
pub fn write_fields(fields: &BTreeMap<Cow<'_, str>, &RawValue>, out: &mut impl Write) -> io::Result<()> {
    out.write_all(b"{")?;
    for (position, (name, value)) in fields.iter().enumerate() {
        if position > 0 {
            out.write_all(b",")?;
        }
        serde_json::to_writer(&mut *out, name)?;
        out.write_all(b":")?;
        write_value(value, out)?;
    }
    out.write_all(b"}")
}

/// Writes a value as [`Value`] would: with fields sorted by name, and without spaces. Equal values give the same text.
///
/// # Errors
/// Returns an error if the output cannot be written, or if the text is not valid JSON.
pub fn write_value(text: &RawValue, out: &mut impl Write) -> io::Result<()> {
    if is_object(text) {
        write_fields(&fields(text.get())?, out)
    } else if is_list(text) {
        write_list(text, out)
    } else {
        let value: Value = serde_json::from_str(text.get())?;
        Ok(serde_json::to_writer(out, &value)?)
    }
}

fn write_list(list: &RawValue, out: &mut impl Write) -> io::Result<()> {
    let mut separator: &[u8] = b"[";
    for_each(list, |element: Value| -> io::Result<()> {
        out.write_all(std::mem::replace(&mut separator, b","))?;
        Ok(serde_json::to_writer(&mut *out, &element)?)
    })??;
    out.write_all(if separator == b"[" { b"[]" } else { b"]" })
}
