//! The fields of one line: `name=value` pairs separated by single spaces.

use gaugestep_dispatch::interface::{AttemptNo, EngineId, RequestId};

/// A field that is missing or cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// No `=` in the rest of the line.
    #[error("'{0}' is no name=value pair")]
    NotAPair(String),
    /// An empty name, or one with a space in it.
    #[error("'{0}' is no field name")]
    BadName(String),
    /// A field that the message needs is absent or empty.
    #[error("field '{0}' is missing")]
    Missing(&'static str),
    /// A natural number is needed.
    #[error("field '{name}' is '{value}', not a whole number")]
    NotInteger {
        /// The field.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// A finite number is needed.
    #[error("field '{name}' is '{value}', not a number")]
    NotNumber {
        /// The field.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// A truth value is needed.
    #[error("field '{name}' is '{value}', not 0 or 1")]
    NotFlag {
        /// The field.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// The number is too large for what it names.
    #[error("field '{name}' is {value}, out of range")]
    OutOfRange {
        /// The field.
        name: &'static str,
        /// Its value.
        value: u64,
    },
}

type Result<T> = std::result::Result<T, FieldError>;

struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

/// The fields of one line by name; of several with one name the first counts.
///
/// Each accessor fails with a [`FieldError`] that names the field.
pub struct Fields<'a>(Vec<Field<'a>>);

impl<'a> Fields<'a> {
    /// Splits the rest of a line. A field named `text` takes up all that is left of it, spaces included.
    ///
    /// # Errors
    ///
    /// [`FieldError::NotAPair`] or [`FieldError::BadName`] for the first part that is no field.
    pub fn parse(mut rest: &'a str, text: Option<&str>) -> Result<Self> {
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(FieldError::NotAPair(rest.to_owned()));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(FieldError::BadName(name.to_owned()));
            }
            if text == Some(name) {
                fields.push(Field { name, value: after });
                break;
            }
            let (value, next) = after.split_once(' ').unwrap_or((after, ""));
            fields.push(Field { name, value });
            rest = next;
        }
        Ok(Fields(fields))
    }

    /// The value of a field that may be absent.
    pub fn optional(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|field| field.name == name).map(|field| field.value)
    }

    /// A value that must not be empty.
    ///
    /// # Errors
    ///
    /// [`FieldError::Missing`] if it is absent or empty.
    pub fn text(&self, name: &'static str) -> Result<&'a str> {
        self.optional(name).filter(|value| !value.is_empty()).ok_or(FieldError::Missing(name))
    }

    /// A natural number.
    ///
    /// # Errors
    ///
    /// If it is absent or no natural number.
    pub fn integer(&self, name: &'static str) -> Result<u64> {
        integer(name, self.text(name)?)
    }

    /// A natural number, or `default` if the field is absent.
    ///
    /// # Errors
    ///
    /// If it is no natural number.
    pub fn integer_or(&self, name: &'static str, default: u64) -> Result<u64> {
        self.optional(name).map_or(Ok(default), |value| integer(name, value))
    }

    /// A finite number.
    ///
    /// # Errors
    ///
    /// If it is absent or no finite number.
    pub fn number(&self, name: &'static str) -> Result<f64> {
        number(name, self.text(name)?)
    }

    /// A finite number, or `default` if the field is absent.
    ///
    /// # Errors
    ///
    /// If it is no finite number.
    pub fn number_or(&self, name: &'static str, default: f64) -> Result<f64> {
        self.optional(name).map_or(Ok(default), |value| number(name, value))
    }

    /// A truth value, written `0` or `1`; false if the field is absent.
    ///
    /// # Errors
    ///
    /// If it is anything else.
    pub fn flag(&self, name: &'static str) -> Result<bool> {
        match self.optional(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(FieldError::NotFlag { name, value: other.to_owned() }),
        }
    }

    /// The request that the message is about.
    ///
    /// # Errors
    ///
    /// If it is absent or empty.
    pub fn request(&self) -> Result<RequestId> {
        Ok(RequestId(self.text("req")?.into()))
    }

    /// The attempt that the message is about.
    ///
    /// # Errors
    ///
    /// If it is absent or no natural number.
    pub fn attempt(&self) -> Result<AttemptNo> {
        Ok(AttemptNo(self.integer("send_no")? as usize))
    }

    /// The engine that the message is about.
    ///
    /// # Errors
    ///
    /// If it is absent, or no natural number of 32 bits.
    pub fn engine(&self) -> Result<EngineId> {
        let value = self.integer("node")?;
        u32::try_from(value).map(EngineId).map_err(|_| FieldError::OutOfRange { name: "node", value })
    }
}

fn integer(name: &'static str, value: &str) -> Result<u64> {
    value.parse().map_err(|_| FieldError::NotInteger { name, value: value.to_owned() })
}

/// Parses a finite number; the error carries the name of the field that it stands in.
pub(crate) fn number(name: &'static str, value: &str) -> Result<f64> {
    match value.parse::<f64>() {
        Ok(parsed) if parsed.is_finite() => Ok(parsed),
        _ => Err(FieldError::NotNumber { name, value: value.to_owned() }),
    }
}
