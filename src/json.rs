//! Reads JSON text in parts, so that no tree of a whole text stands beside what is made of it: an object's long fields
//! stay text, and the elements of their lists are read one at a time.

use serde::de::{Deserialize, Deserializer as _, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Deserializer, Error, Map, Value};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};
use std::marker::PhantomData;

/// Checks all of a text as reading it into a [`Value`] would, and keeps nothing of it. After this no part of the text
/// fails to be read, so that errors tell their place in the whole.
///
/// # Errors
/// The text is no JSON, or no UTF-8.
pub fn check(text: &[u8]) -> Result<&str, Error> {
    let Checked = serde_json::from_slice(text)?;
    std::str::from_utf8(text).map_err(serde::de::Error::custom)
}

/// Any JSON value, read as a [`Value`] is and dropped.
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

/// An object of which named fields stay text. A field that comes twice stands as it comes last.
pub struct Object<'a> {
    /// All other fields; the value itself, where it is no object.
    pub small: Value,
    long: Vec<(&'static str, &'a RawValue)>,
}

impl<'a> Object<'a> {
    /// Reads an object's text; `long` are the fields that stay text.
    ///
    /// # Errors
    /// The text is no JSON.
    pub fn read(text: &'a str, long: &[&'static str]) -> Result<Object<'a>, Error> {
        if !text.trim_ascii_start().starts_with('{') {
            return Ok(Object { small: serde_json::from_str(text)?, long: Vec::new() });
        }
        let mut reader = Deserializer::from_str(text);
        let object = reader.deserialize_map(ObjectVisitor { long })?;
        reader.end()?;
        Ok(object)
    }

    /// The text of a field that stayed text; nothing where it is absent or null.
    pub fn long(&self, field: &str) -> Option<&'a RawValue> {
        let found = self.long.iter().rev().find(|(name, _)| *name == field);
        found.map(|(_, text)| *text).filter(|text| text.get() != "null")
    }
}

struct ObjectVisitor<'l> {
    long: &'l [&'static str],
}

impl<'de> Visitor<'de> for ObjectVisitor<'_> {
    type Value = Object<'de>;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Object<'de>, A::Error> {
        let (mut small, mut long) = (Map::new(), Vec::new());
        while let Some(name) = fields.next_key::<String>()? {
            match self.long.iter().find(|long| **long == name) {
                Some(name) => long.push((*name, fields.next_value()?)),
                None => drop(small.insert(name, fields.next_value()?)),
            }
        }
        Ok(Object { small: Value::Object(small), long })
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

/// Hands over the elements of a list one at a time, up to the first error of whoever takes them, which is the inner
/// result. The outer one is an error of the text.
///
/// # Errors
/// The text is no list of such elements.
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
        let mut taken = Ok(());
        while taken.is_ok() {
            let Some(element) = list.next_element()? else { return Ok(taken) };
            taken = (self.take)(element);
        }
        while let Some(IgnoredAny) = list.next_element()? {}
        Ok(taken)
    }
}

/// The fields of an object by name, as text.
///
/// # Errors
/// The text is no object.
pub fn fields(text: &str) -> Result<BTreeMap<Cow<'_, str>, &RawValue>, Error> {
    serde_json::from_str(text)
}

/// Writes an object of these fields as [`Value`] would.
///
/// # Errors
/// It cannot be written, or a value is no JSON.
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

/// Writes a value as [`Value`] would: fields by their names' order, without spaces. Equal values give the same text.
///
/// # Errors
/// It cannot be written, or the text is no JSON.
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
    let mut before: &[u8] = b"[";
    for_each(list, |element: Value| -> io::Result<()> {
        out.write_all(std::mem::replace(&mut before, b","))?;
        Ok(serde_json::to_writer(&mut *out, &element)?)
    })??;
    out.write_all(if before == b"[" { b"[]" } else { b"]" })
}
