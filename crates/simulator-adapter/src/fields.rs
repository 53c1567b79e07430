//! The fields of one line: `name=value` pairs separated by single spaces.

use gaugestep_dispatch::interface::{AttemptNo, EngineId, RequestId};

/// Why a field, or the field list of a line, is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// The rest of the line contains no `=`.
    #[error("'{0}' is no name=value pair")]
    NotAPair(String),
    /// The name of a field is empty or contains a space.
    #[error("'{0}' is no field name")]
    BadName(String),
    /// A required field is absent or empty.
    #[error("field '{0}' is missing")]
    Missing(&'static str),
    /// The value is not a whole number of 0 or more.
    #[error("field '{name}' is '{value}', not a whole number")]
    NotInteger {
        /// The name of the field.
        name: &'static str,
        /// The value of the field.
        value: String,
    },
    /// The value is not a finite number.
    #[error("field '{name}' is '{value}', not a number")]
    NotNumber {
        /// The name of the field.
        name: &'static str,
        /// The value of the field.
        value: String,
    },
    /// The value is neither `0` nor `1`.
    #[error("field '{name}' is '{value}', not 0 or 1")]
    NotFlag {
        /// The name of the field.
        name: &'static str,
        /// The value of the field.
        value: String,
    },
    /// The number exceeds the range of the field.
    #[error("field '{name}' is {value}, out of range")]
    OutOfRange {
        /// The name of the field.
        name: &'static str,
        /// The value of the field.
        value: u64,
    },
}

type Result<T> = std::result::Result<T, FieldError>;

struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

/// The fields of one line, in order. If a name occurs more than once, accessors use the first field.
///
/// The error of an accessor names the field.
pub struct Fields<'a>(Vec<Field<'a>>);

impl<'a> Fields<'a> {
    /// Splits the part of a line after the message name. The value of the field named `text_field` extends to
    /// the end of the line and may contain spaces.
    ///
    /// # Errors
    ///
    /// [`FieldError::NotAPair`] or [`FieldError::BadName`] for the first part that is not a field.
    pub fn parse(mut rest: &'a str, text_field: Option<&str>) -> Result<Self> {
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(FieldError::NotAPair(rest.to_owned()));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(FieldError::BadName(name.to_owned()));
            }
            if text_field == Some(name) {
                fields.push(Field { name, value: after });
                break;
            }
            let (value, next) = after.split_once(' ').unwrap_or((after, ""));
            fields.push(Field { name, value });
            rest = next;
        }
        Ok(Fields(fields))
    }

    /// The value of a field, which may be empty; `None` if the field is absent.
    pub fn optional(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|field| field.name == name).map(|field| field.value)
    }

    /// The value of a field that must be present and not empty.
    ///
    /// # Errors
    ///
    /// [`FieldError::Missing`] if the field is absent or empty.
    pub fn text(&self, name: &'static str) -> Result<&'a str> {
        self.optional(name).filter(|value| !value.is_empty()).ok_or(FieldError::Missing(name))
    }

    /// The value of a field that must be a whole number of 0 or more.
    ///
    /// # Errors
    ///
    /// If the field is absent, empty or not such a number.
    pub fn integer(&self, name: &'static str) -> Result<u64> {
        integer(name, self.text(name)?)
    }

    /// The value of a field as a whole number of 0 or more; `default` if the field is absent.
    ///
    /// # Errors
    ///
    /// If the field is present and not such a number.
    pub fn integer_or(&self, name: &'static str, default: u64) -> Result<u64> {
        self.optional(name).map_or(Ok(default), |value| integer(name, value))
    }

    /// The value of a field that must be a finite number.
    ///
    /// # Errors
    ///
    /// If the field is absent, empty or not a finite number.
    pub fn number(&self, name: &'static str) -> Result<f64> {
        number(name, self.text(name)?)
    }

    /// The value of a field as a finite number; `default` if the field is absent.
    ///
    /// # Errors
    ///
    /// If the field is present and not a finite number.
    pub fn number_or(&self, name: &'static str, default: f64) -> Result<f64> {
        self.optional(name).map_or(Ok(default), |value| number(name, value))
    }

    /// The value of a flag, written `0` or `1`; false if the field is absent.
    ///
    /// # Errors
    ///
    /// [`FieldError::NotFlag`] if the field has any other value.
    pub fn flag(&self, name: &'static str) -> Result<bool> {
        match self.optional(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(FieldError::NotFlag { name, value: other.to_owned() }),
        }
    }

    /// The id of the request that the message concerns, from the field `req`.
    ///
    /// # Errors
    ///
    /// If the field is absent or empty.
    pub fn request(&self) -> Result<RequestId> {
        Ok(RequestId(self.text("req")?.into()))
    }

    /// The number of the attempt that the message concerns, from the field `send_no`.
    ///
    /// # Errors
    ///
    /// If the field is absent or not a whole number of 0 or more.
    pub fn attempt(&self) -> Result<AttemptNo> {
        Ok(AttemptNo(self.integer("send_no")? as usize))
    }

    /// The engine that the message concerns, from the field `node`.
    ///
    /// # Errors
    ///
    /// If the field is absent or not an unsigned 32-bit number.
    pub fn engine(&self) -> Result<EngineId> {
        let value = self.integer("node")?;
        u32::try_from(value).map(EngineId).map_err(|_| FieldError::OutOfRange { name: "node", value })
    }
}

fn integer(name: &'static str, value: &str) -> Result<u64> {
    value.parse().map_err(|_| FieldError::NotInteger { name, value: value.to_owned() })
}

/// Parses the value of the field `name` as a finite number. The error carries that name.
pub(crate) fn number(name: &'static str, value: &str) -> Result<f64> {
    match value.parse::<f64>() {
        Ok(parsed) if parsed.is_finite() => Ok(parsed),
        _ => Err(FieldError::NotNumber { name, value: value.to_owned() }),
    }
}
