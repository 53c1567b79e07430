//! Types whose decoding from a JSON value never fails, because the platform's document may have values of any
//! type.
//!
//! A value of an unexpected type counts as absent, except for numbers, which are checked when they are read;
//! see [`Number`].

use serde::de::{Deserialize, DeserializeOwned, Deserializer, Error as _};
use serde_json::Value;

use crate::SettingError;

/// A value of type `T`. `None` if the key is missing or its value has another type.
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

/// A list. Empty if the key is missing or its value is not such a list.
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
    /// The entry at this index. `None` if there is no such entry or it has another type.
    pub fn get(&self, index: usize) -> Option<T> {
        self.0.get(index).and_then(|entry| entry.0)
    }
}

/// An object. A value of another type counts as an object without keys.
///
/// Without this type a derived struct would also accept an array, as its fields in order.
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

/// A number whose type is checked when it is read: an invalid value in a key that is not read is no error.
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
    /// A [`SettingError`] that names `key` if the value has another type.
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
