//! Why a version is turned down: every reason is one value of one enum.

use std::fmt;

use crate::schema;

/// Why a version is turned down. `path` is the field at fault, as in `routes[2].targets[0].weight`.
#[derive(Clone, Debug, PartialEq)]
pub enum RejectReason {
    // The offer itself.
    /// It cannot be read.
    Unreadable(String),
    /// It is longer than a document may be.
    TooLong {
        /// Its bytes.
        bytes: usize,
        /// The most allowed.
        most: usize,
    },
    /// Its content is not what its digest names: it was cut off or changed on its way.
    DigestDiffers,
    /// It is a change to a version that is not in force here: the whole is needed.
    WrongBase {
        /// The version that it changes.
        base: u64,
        /// The one in force; 0: none.
        in_force: u64,
    },
    /// It is not newer than the version in force: versions never go backwards.
    NotNewer {
        /// The one offered.
        offered: u64,
        /// The one in force.
        in_force: u64,
    },
    /// It has the number of the version in force and another content: two services number their own.
    Conflicting {
        /// The number.
        number: u64,
    },
    /// A newer one came before this one was in force.
    Superseded {
        /// The newer one.
        by: u64,
    },
    /// It is of an owner that is not the present one any more, or of none.
    StaleTerm {
        /// Its term.
        term: u64,
        /// The highest term that was seen.
        seen: u64,
    },
    /// It could not be stored, and would be lost with the process.
    NotStored(String),

    // The document alone.
    /// A field that is needed is absent.
    Missing {
        /// The field.
        path: String,
    },
    /// A number out of its range.
    OutOfRange {
        /// The field.
        path: String,
        /// What it holds.
        value: f64,
        /// The least allowed.
        least: f64,
        /// The most allowed.
        most: f64,
    },
    /// A name that cannot be one: empty, too long, or with characters that names do not have.
    BadName {
        /// The field.
        path: String,
        /// What it holds.
        name: String,
    },
    /// A name that stands there twice.
    Duplicate {
        /// The second field.
        path: String,
        /// The name.
        name: String,
    },
    /// More entries than allowed.
    TooMany {
        /// The list.
        path: String,
        /// Its entries.
        entries: usize,
        /// The most allowed.
        most: usize,
    },
    /// A value that this build does not know.
    Unknown {
        /// The field.
        path: String,
        /// What it holds.
        value: i32,
    },
    /// A route that no request can reach, as one before it holds for all that it names.
    Unreachable {
        /// The route.
        path: String,
        /// The route before it.
        behind: String,
    },

    // The document against the proxy as it runs.
    /// A name that the proxy does not know.
    UnknownName {
        /// The field.
        path: String,
        /// What kind of name is wanted.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A class would be left with engines that drain, have gone or were never listed, and no other.
    NoUsableEngine {
        /// The route.
        path: String,
        /// The class.
        class: String,
        /// Engines that it names and that drain.
        draining: Vec<String>,
        /// Ids that it names and that are not listed.
        unlisted: Vec<String>,
    },
    /// A limit below what is in use.
    BelowUse {
        /// The field.
        path: String,
        /// The limit.
        limit: u64,
        /// What is in use.
        in_use: u64,
    },
    /// A class would be dropped that has requests open.
    ClassInUse {
        /// The list of classes.
        path: String,
        /// The class.
        class: String,
        /// Its open requests.
        open: u64,
    },
    /// A value beyond what the platform's file or the rule allows.
    BeyondRule {
        /// The field.
        path: String,
        /// What it holds.
        value: f64,
        /// What is allowed.
        rule: f64,
    },
}

impl RejectReason {
    /// The reason's name, for machines.
    pub fn code(&self) -> &'static str {
        match self {
            RejectReason::Unreadable(_) => "unreadable",
            RejectReason::TooLong { .. } => "too-long",
            RejectReason::DigestDiffers => "digest-differs",
            RejectReason::WrongBase { .. } => "wrong-base",
            RejectReason::NotNewer { .. } => "not-newer",
            RejectReason::Conflicting { .. } => "conflicting",
            RejectReason::Superseded { .. } => "superseded",
            RejectReason::StaleTerm { .. } => "stale-term",
            RejectReason::NotStored(_) => "not-stored",
            RejectReason::Missing { .. } => "missing",
            RejectReason::OutOfRange { .. } => "out-of-range",
            RejectReason::BadName { .. } => "bad-name",
            RejectReason::Duplicate { .. } => "duplicate",
            RejectReason::TooMany { .. } => "too-many",
            RejectReason::Unknown { .. } => "unknown-value",
            RejectReason::Unreachable { .. } => "unreachable",
            RejectReason::UnknownName { .. } => "unknown-name",
            RejectReason::NoUsableEngine { .. } => "no-usable-engine",
            RejectReason::BelowUse { .. } => "below-use",
            RejectReason::ClassInUse { .. } => "class-in-use",
            RejectReason::BeyondRule { .. } => "beyond-rule",
        }
    }

    /// The field at fault; empty where none is.
    pub fn path(&self) -> &str {
        match self {
            RejectReason::Unreadable(_)
            | RejectReason::TooLong { .. }
            | RejectReason::DigestDiffers
            | RejectReason::WrongBase { .. }
            | RejectReason::NotNewer { .. }
            | RejectReason::Conflicting { .. }
            | RejectReason::Superseded { .. }
            | RejectReason::StaleTerm { .. }
            | RejectReason::NotStored(_) => "",
            RejectReason::Missing { path }
            | RejectReason::OutOfRange { path, .. }
            | RejectReason::BadName { path, .. }
            | RejectReason::Duplicate { path, .. }
            | RejectReason::TooMany { path, .. }
            | RejectReason::Unknown { path, .. }
            | RejectReason::Unreachable { path, .. }
            | RejectReason::UnknownName { path, .. }
            | RejectReason::NoUsableEngine { path, .. }
            | RejectReason::BelowUse { path, .. }
            | RejectReason::ClassInUse { path, .. }
            | RejectReason::BeyondRule { path, .. } => path,
        }
    }

    /// As it goes on the stream.
    pub fn to_message(&self) -> schema::Refusal {
        schema::Refusal { code: self.code().into(), path: self.path().into(), reason: self.to_string() }
    }
}

/// Whether an answer of this code speaks against the version itself, rather than against the way in which it was offered.
pub fn concerns_content(code: &str) -> bool {
    !matches!(code, "wrong-base" | "not-newer" | "conflicting" | "superseded" | "stale-term")
}

/// Names in a list, as people read them.
fn listed(names: &[String]) -> String {
    const MOST: usize = 5;
    let shown = names.iter().take(MOST).cloned().collect::<Vec<_>>().join(", ");
    match names.len().saturating_sub(MOST) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectReason::Unreadable(why) => write!(f, "cannot be read: {why}"),
            RejectReason::TooLong { bytes, most } => write!(f, "is {bytes} bytes long, {most} are allowed"),
            RejectReason::DigestDiffers => write!(f, "its content is not the one that its digest names"),
            RejectReason::WrongBase { base, in_force } => {
                write!(f, "is a change to version {base}, and version {in_force} is in force")
            }
            RejectReason::NotNewer { offered, in_force } => {
                write!(f, "version {offered} is not newer than version {in_force}, which is in force")
            }
            RejectReason::Conflicting { number } => {
                write!(f, "another version {number} is in force: two services number their own versions")
            }
            RejectReason::Superseded { by } => write!(f, "version {by} came before this one was in force"),
            RejectReason::StaleTerm { term: 0, .. } => {
                write!(f, "it names no term, so no owner stands behind it")
            }
            RejectReason::StaleTerm { term, seen } => {
                write!(f, "it is of term {term}, and an owner of term {seen} was seen")
            }
            RejectReason::NotStored(why) => write!(f, "could not be stored: {why}"),
            RejectReason::Missing { path } => write!(f, "'{path}' is missing"),
            RejectReason::OutOfRange { path, value, least, most } => {
                write!(f, "'{path}' is {value}, not a number from {least} to {most}")
            }
            RejectReason::BadName { path, name } => write!(f, "'{path}' is '{name}', which is no name"),
            RejectReason::Duplicate { path, name } => write!(f, "'{path}': '{name}' stands there already"),
            RejectReason::TooMany { path, entries, most } => {
                write!(f, "'{path}' has {entries} entries, {most} are allowed")
            }
            RejectReason::Unknown { path, value } => {
                write!(f, "'{path}' is {value}, which this build does not know")
            }
            RejectReason::Unreachable { path, behind } => {
                write!(f, "'{path}' is never reached: '{behind}' holds for all that it names")
            }
            RejectReason::UnknownName { path, kind, name } => {
                write!(f, "'{path}': '{name}' is no {kind} of this proxy")
            }
            RejectReason::NoUsableEngine { path, class, draining, unlisted } => {
                write!(f, "'{path}' would leave class '{class}' without an engine that takes work")?;
                if !draining.is_empty() {
                    write!(f, "; draining: {}", listed(draining))?;
                }
                if !unlisted.is_empty() {
                    write!(f, "; not listed: {}", listed(unlisted))?;
                }
                Ok(())
            }
            RejectReason::BelowUse { path, limit, in_use } => {
                write!(f, "'{path}' is {limit}, below the {in_use} in use")
            }
            RejectReason::ClassInUse { path, class, open } => {
                write!(f, "'{path}' drops class '{class}', which has {open} requests open")
            }
            RejectReason::BeyondRule { path, value, rule } => {
                write!(f, "'{path}' is {value}, more than the {rule} that the platform allows")
            }
        }
    }
}

impl std::error::Error for RejectReason {}
