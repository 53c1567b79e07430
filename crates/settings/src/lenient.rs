//! Types that decode a JSON value without ever failing: the platform's document may hold keys of any type.
//!
//! A value of an unexpected type counts as absent. Only numbers are checked, when they are read: see [`Number`].

use serde::de::{Deserialize, DeserializeOwned, Deserializer, Error as _};
use serde_json::Value;

use crate::SettingError;

/// A value that is absent if the document has none of this type.
#[derive(Clone, Debug, PartialEq)]
pub struct Lenient<T>(pub Option<T>);

impl<T> Default for Lenient<T> {
    fn default() -> Self {
        Lenient(None)
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Lenient<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        Ok(Lenient(T::deserialize(value).ok()))
    }
}

/// A list that is empty if the document has none.
#[derive(Clone, Debug, PartialEq)]
pub struct List<T>(pub Vec<T>);

impl<T> Default for List<T> {
    fn default() -> Self {
        List(Vec::new())
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for List<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Lenient::deserialize(deserializer).map(|Lenient(entries)| List(entries.unwrap_or_default()))
    }
}

impl<T: Copy> List<Lenient<T>> {
    /// The entry at this index, if there is one and it has the expected type.
    pub fn get(&self, index: usize) -> Option<T> {
        self.0.get(index).and_then(|entry| entry.0)
    }
}

/// An object; anything else counts as an object without keys.
///
/// A derived struct alone would take an array too, as its fields in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Section<T>(pub T);

impl<'de, T: DeserializeOwned + Default> Deserialize<'de> for Section<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match Value::deserialize(deserializer)? {
            object @ Value::Object(_) => T::deserialize(object).map(Section).map_err(D::Error::custom),
            _ => Ok(Section::default()),
        }
    }
}

/// A number whose type is checked when it is read, because a document with a bad value that nobody reads is accepted.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Number {
    /// The key is missing or `null`.
    #[default]
    Absent,
    /// A number.
    Given(f64),
    /// A value of another type.
    Invalid(Value),
}

impl Number {
    /// The number, or `default` if it is absent.
    ///
    /// # Errors
    ///
    /// A [`SettingError`] that names `key` if the value is no number.
    pub fn or(&self, key: &'static str, default: f64) -> Result<f64, SettingError> {
        match self {
            Number::Absent => Ok(default),
            Number::Given(number) => Ok(*number),
            Number::Invalid(value) => Err(SettingError { key, value: value.clone() }),
        }
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        Ok(match value.as_f64() {
            Some(number) => Number::Given(number),
            None if value.is_null() => Number::Absent,
            None => Number::Invalid(value),
        })
    }
}
