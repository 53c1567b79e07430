//! Why a proxy rejects a version.

use crate::schema;

/// Why a proxy rejects a version; sent to the server as the negative answer (NACK) to an offer.
///
/// `path` names the field at fault, as in `routes[2].targets[0].weight`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RejectReason {
    // The offer itself.
    /// It cannot be decoded.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// It is longer than a document may be.
    #[error("is {bytes} bytes long, {most} are allowed")]
    TooLong {
        /// Its bytes.
        bytes: usize,
        /// The most allowed.
        most: usize,
    },
    /// Its content does not have its digest: it was truncated or changed on its way.
    #[error("its content is not the one that its digest names")]
    DigestDiffers,
    /// It is a delta to a version that is not in force here: the complete document is needed.
    #[error("is a change to version {base}, and version {in_force} is in force")]
    WrongBase {
        /// The version that the delta applies to.
        base: u64,
        /// The one in force; 0: none.
        in_force: u64,
    },
    /// It is not newer than the version in force: versions never go backwards.
    #[error("version {offered} is not newer than version {in_force}, which is in force")]
    NotNewer {
        /// The one offered.
        offered: u64,
        /// The one in force.
        in_force: u64,
    },
    /// It has the number of the version in force and another content: two servers number their own versions.
    #[error("another version {number} is in force: two services number their own versions")]
    Conflicting {
        /// The number.
        number: u64,
    },
    /// A newer one was offered before this one was in force.
    #[error("version {by} came before this one was in force")]
    Superseded {
        /// The newer one.
        by: u64,
    },
    /// It was offered under a term that is no longer the latest, or under none.
    #[error("{}", describe_stale_term(*.term, *.seen))]
    StaleTerm {
        /// The offer's term; 0: none.
        term: u64,
        /// The highest term that was seen.
        seen: u64,
    },
    /// It could not be stored, and would be lost with the process.
    #[error("could not be stored: {0}")]
    NotStored(String),

    // The document alone.
    /// A required field is absent.
    #[error("'{path}' is missing")]
    Missing {
        /// The field.
        path: String,
    },
    /// A number out of its range.
    #[error("'{path}' is {value}, not a number from {least} to {most}")]
    OutOfRange {
        /// The field.
        path: String,
        /// Its value.
        value: f64,
        /// The least allowed.
        least: f64,
        /// The most allowed.
        most: f64,
    },
    /// A name that is too long or has characters that names must not have.
    #[error("'{path}' is '{name}', which is no name")]
    BadName {
        /// The field.
        path: String,
        /// The start of its value.
        name: String,
    },
    /// A name that occurs twice.
    #[error("'{path}': '{name}' occurs twice")]
    Duplicate {
        /// The second field.
        path: String,
        /// The name.
        name: String,
    },
    /// More entries than allowed.
    #[error("'{path}' has {entries} entries, {most} are allowed")]
    TooMany {
        /// The list.
        path: String,
        /// Its entries.
        entries: usize,
        /// The most allowed.
        most: usize,
    },
    /// A value that this build does not know.
    #[error("'{path}' is {value}, which this build does not know")]
    Unknown {
        /// The field.
        path: String,
        /// Its value.
        value: i32,
    },
    /// A route that no request can reach, as an earlier one matches all that it names.
    #[error("'{path}' is never reached: '{behind}' holds for all that it names")]
    Unreachable {
        /// The route.
        path: String,
        /// The earlier route.
        behind: String,
    },

    // The document against the proxy as it runs.
    /// A name that the proxy does not know.
    #[error("'{path}': '{name}' is no {kind} of this proxy")]
    UnknownName {
        /// The field.
        path: String,
        /// What the name should be of: `class` or `tenant`.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A class would be left without an engine that takes work: all that it names are draining or not listed.
    #[error(
        "'{path}' would leave class '{class}' without an engine that takes work{}{}",
        name_list("; draining: ", .draining),
        name_list("; not listed: ", .unlisted)
    )]
    NoUsableEngine {
        /// The route's targets.
        path: String,
        /// The class.
        class: String,
        /// Engines that it names and that are draining.
        draining: Vec<String>,
        /// Engines that it names and that are not listed.
        unlisted: Vec<String>,
    },
    /// A limit below what is in use.
    #[error("'{path}' is {limit}, below the {in_use} in use")]
    BelowUse {
        /// The field.
        path: String,
        /// The limit.
        limit: u64,
        /// What is in use.
        in_use: u64,
    },
    /// A class would be dropped that has open requests.
    #[error("'{path}' drops class '{class}', which has {open} requests open")]
    ClassInUse {
        /// The list of classes.
        path: String,
        /// The class.
        class: String,
        /// Its open requests.
        open: u64,
    },
    /// A value above what the proxy's own settings allow.
    #[error("'{path}' is {value}, more than the {rule} that the platform allows")]
    BeyondRule {
        /// The field.
        path: String,
        /// Its value.
        value: f64,
        /// What is allowed.
        rule: f64,
    },
}

impl RejectReason {
    /// The code of [`RejectReason::WrongBase`]: the same version may be offered again as a complete document.
    pub const WRONG_BASE: &'static str = "wrong-base";

    /// The reason's code, as it is sent and shown. Codes never change.
    pub fn code(&self) -> &'static str {
        match self {
            RejectReason::Unreadable(_) => "unreadable",
            RejectReason::TooLong { .. } => "too-long",
            RejectReason::DigestDiffers => "digest-differs",
            RejectReason::WrongBase { .. } => RejectReason::WRONG_BASE,
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

    /// Whether a reason of this code concerns the version itself, rather than the way in which it was offered.
    pub fn code_concerns_content(code: &str) -> bool {
        !matches!(code, Self::WRONG_BASE | "not-newer" | "conflicting" | "superseded" | "stale-term")
    }

    /// The field at fault; empty where the reason concerns the offer itself.
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

    /// The reason as it is sent.
    pub fn to_message(&self) -> schema::Refusal {
        schema::Refusal { code: self.code().into(), path: self.path().into(), reason: self.to_string() }
    }
}

fn describe_stale_term(term: u64, seen: u64) -> String {
    match term {
        0 => "it names no term, so no owner sent it".into(),
        term => format!("it is of term {term}, and an owner of term {seen} was seen"),
    }
}

/// The first names of a list behind `prefix`; empty if there are none.
fn name_list(prefix: &str, names: &[String]) -> String {
    const MAX_SHOWN: usize = 5;
    if names.is_empty() {
        return String::new();
    }
    let shown = names.iter().take(MAX_SHOWN).cloned().collect::<Vec<_>>().join(", ");
    match names.len().saturating_sub(MAX_SHOWN) {
        0 => format!("{prefix}{shown}"),
        more => format!("{prefix}{shown} and {more} more"),
    }
}
