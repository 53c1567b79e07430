//! Names of the roles that control servers hold, and the holder of a role.

/// The role of publishing configuration versions and driving their rollouts. The value is stored and sent.
pub const CONFIGURATION_ROLE: &str = "versions";
/// The role of assigning ordinals to proxies, which exists once an operator has declared it. The value is
/// stored and sent.
pub const ORDINALS_ROLE: &str = "seats";

/// Stands for "no member" where the number of a member is stored or sent.
pub const NO_MEMBER: u64 = 0;

/// The holder and the term of a role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleHolder {
    /// Number of the member that holds the role; [`NO_MEMBER`] if no member does.
    pub member: u64,
    /// The fencing token, which rises with each change of holder.
    pub term: u64,
}
