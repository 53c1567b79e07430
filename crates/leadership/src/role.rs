//! Names of the roles that the control services hold themselves, and who holds a role.

/// The role of publishing configuration versions and driving their rollouts. The value is stored and sent.
pub const CONFIGURATION_ROLE: &str = "versions";
/// The role of assigning ordinals to proxies; it exists once an operator has declared it. The value is stored and sent.
pub const ORDINALS_ROLE: &str = "seats";

/// The number that stands for no member where a member's number is stored or sent.
pub const NO_MEMBER: u64 = 0;

/// Who holds a role, and under which term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleHolder {
    /// The member's number; [`NO_MEMBER`] while nobody holds the role.
    pub member: u64,
    /// The role's term: the fencing token. It rises with each change of holder.
    pub term: u64,
}
