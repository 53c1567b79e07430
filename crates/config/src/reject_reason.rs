//! The reasons for which a proxy rejects a version.

use crate::schema;

/// Why a proxy rejects a version. It is sent to the control server as the response (NACK) to an offer.
///
/// `path` is the path of the field at fault, such as `routes[2].targets[0].weight`. Texts and codes are sent
/// and shown as they are here.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RejectReason {
    // Faults of the offer itself.
    /// The offer cannot be decoded.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The document is longer than [`MAX_DOCUMENT_BYTES`](crate::MAX_DOCUMENT_BYTES).
    #[error("is {bytes} bytes long, {most} are allowed")]
    TooLong {
        /// The length of the document in bytes.
        bytes: usize,
        /// The largest length allowed, in bytes.
        most: usize,
    },
    /// The digest of the document is not the digest of the version: the offer was truncated or changed in
    /// transit.
    #[error("its content is not the one that its digest names")]
    DigestDiffers,
    /// The offer is a delta to a version that is not in force: the complete document is needed.
    #[error("is a change to version {base}, and version {in_force} is in force")]
    WrongBase {
        /// The number of the version that the delta applies to.
        base: u64,
        /// The number of the version in force; 0 if there is none.
        in_force: u64,
    },
    /// The version is older than the one in force: the number of the version in force never decreases.
    #[error("version {offered} is not newer than version {in_force}, which is in force")]
    NotNewer {
        /// The number of the offered version.
        offered: u64,
        /// The number of the version in force.
        in_force: u64,
    },
    /// The version has the number of the version in force, but other content: two control servers assign
    /// numbers independently.
    #[error("another version {number} is in force: two services number their own versions")]
    Conflicting {
        /// The number of both versions.
        number: u64,
    },
    /// A newer version was offered before this one was in force.
    #[error("version {by} came before this one was in force")]
    Superseded {
        /// The number of the newer version.
        by: u64,
    },
    /// The version was offered under a term that is not the highest one so far, or without a term.
    #[error("{}", describe_stale_term(*.term, *.highest_term))]
    StaleTerm {
        /// The term of the offer; 0 if it has none.
        term: u64,
        /// The highest term that the proxy has received.
        highest_term: u64,
    },
    /// The version could not be stored, so a restart of the proxy would lose it.
    #[error("could not be stored: {0}")]
    NotStored(String),

    // Faults of the document by itself.
    /// A required field is absent or empty.
    #[error("'{path}' is missing")]
    Missing {
        /// The path of the field.
        path: String,
    },
    /// A number is out of its range.
    #[error("'{path}' is {value}, not a number from {least} to {most}")]
    OutOfRange {
        /// The path of the field.
        path: String,
        /// The value of the field.
        value: f64,
        /// The smallest value allowed.
        least: f64,
        /// The largest value allowed.
        most: f64,
    },
    /// A name is too long or contains a character that names must not contain.
    #[error("'{path}' is '{name}', which is no name")]
    BadName {
        /// The path of the field.
        path: String,
        /// The first characters of the name.
        name: String,
    },
    /// A name occurs twice where names must be unique.
    #[error("'{path}': '{name}' occurs twice")]
    Duplicate {
        /// The path of the second occurrence.
        path: String,
        /// The name that occurs twice.
        name: String,
    },
    /// A list has more entries than allowed.
    #[error("'{path}' has {entries} entries, {most} are allowed")]
    TooMany {
        /// The path of the list.
        path: String,
        /// The number of its entries.
        entries: usize,
        /// The largest number allowed.
        most: usize,
    },
    /// An enum value is not defined in this build.
    #[error("'{path}' is {value}, which this build does not know")]
    Unknown {
        /// The path of the field.
        path: String,
        /// The value of the field.
        value: i32,
    },
    /// A route can never apply, as an earlier route matches every request that it matches.
    #[error("'{path}' is never reached: '{earlier}' holds for all that it names")]
    Unreachable {
        /// The path of the route.
        path: String,
        /// The name of the earlier route.
        earlier: String,
    },

    // Faults of the document at this proxy in its present state.
    /// The proxy has no class or tenant of this name.
    #[error("'{path}': '{name}' is no {kind} of this proxy")]
    UnknownName {
        /// The path of the field.
        path: String,
        /// The kind of object that the name refers to: `class` or `tenant`.
        kind: &'static str,
        /// The unknown name.
        name: String,
    },
    /// A class would have no engine that accepts work: all engines that the route names are draining or not
    /// in the discovery list.
    #[error(
        "'{path}' would leave class '{class}' without an engine that takes work{}{}",
        name_list("; draining: ", .draining),
        name_list("; not listed: ", .unlisted)
    )]
    NoUsableEngine {
        /// The path of the route's targets.
        path: String,
        /// The name of a class that the route applies to.
        class: String,
        /// The names of the engines of the route that are draining.
        draining: Vec<String>,
        /// The names of engines that the route targets and that are not in the discovery list.
        unlisted: Vec<String>,
    },
    /// A limit is below the number in use.
    #[error("'{path}' is {limit}, below the {in_use} in use")]
    BelowUse {
        /// The path of the field.
        path: String,
        /// The value of the field, a limit.
        limit: u64,
        /// The number in use.
        in_use: u64,
    },
    /// A class that has open requests would no longer be served.
    #[error("'{path}' drops class '{class}', which has {open} requests open")]
    ClassInUse {
        /// The path of the list of served classes.
        path: String,
        /// The name of the class.
        class: String,
        /// The number of its open requests.
        open: u64,
    },
    /// A value exceeds the limit of the proxy's own settings.
    #[error("'{path}' is {value}, more than the {platform_limit} that the platform allows")]
    BeyondRule {
        /// The path of the field.
        path: String,
        /// The value of the field.
        value: f64,
        /// The limit of the settings.
        platform_limit: f64,
    },
}

impl RejectReason {
    /// The code of [`RejectReason::WrongBase`]. After it the server may offer the same version as a complete
    /// document.
    pub const WRONG_BASE: &'static str = "wrong-base";

    /// The code of the reason, as it is sent and shown. Codes never change.
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

    /// Whether a reason with this code concerns the content of the version, rather than how or when it was
    /// offered.
    pub fn code_concerns_content(code: &str) -> bool {
        !matches!(code, Self::WRONG_BASE | "not-newer" | "conflicting" | "superseded" | "stale-term")
    }

    /// The path of the field at fault; empty if the reason concerns the offer itself.
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

    /// The message that is sent for this reason.
    pub fn to_message(&self) -> schema::Refusal {
        schema::Refusal { code: self.code().into(), path: self.path().into(), reason: self.to_string() }
    }
}

/// The text of [`RejectReason::StaleTerm`].
fn describe_stale_term(term: u64, highest_term: u64) -> String {
    match term {
        0 => "it names no term, so no owner sent it".into(),
        term => format!("it is of term {term}, and an owner of term {highest_term} was seen"),
    }
}

/// `prefix` followed by the first names of a list and the number of further ones; empty if the list is.
fn name_list(prefix: &str, names: &[String]) -> String {
    const MAX_SHOWN: usize = 5;
    if names.is_empty() {
        return String::new();
    }
    let shown = names.iter().take(MAX_SHOWN).cloned().collect::<Vec<_>>().join(", ");
    match names.len().saturating_sub(MAX_SHOWN) {
        0 => format!("{prefix}{shown}"),
        further => format!("{prefix}{shown} and {further} more"),
    }
}
