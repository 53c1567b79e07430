//! Who the other members are and where they are reached, as this member has heard of it beyond what is agreed on, and who is
//! let in.

use std::collections::BTreeMap;

use gaugestep_config::PROTOCOL;
use gaugestep_config::schema::{Member, PeerHello};

use crate::group_state::Charter;
use crate::rollback_guard::forgot;

/// A member that said nothing for this time is not here, in milliseconds.
pub const HEARD_WITHIN: f64 = 3_000.0;
/// Bytes of both addresses of a member.
const ADDRESSES: usize = 512;

/// Why a peer is not let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It speaks another form.
    Form,
    /// It takes this member for another one.
    NotMe(u64),
    /// It says that it is this very member.
    Twin(u64),
    /// It was removed, and must end.
    Removed(u64),
    /// It is of another group.
    OtherGroup,
    /// No member has its number.
    NoMember(u64),
    /// A later start of it is known: it may have forgotten what it voted for, and must end.
    Forgot {
        /// The member.
        member: u64,
        /// The start that is known, and the one that it tells.
        known: u64,
        /// See `known`.
        told: u64,
    },
}

impl Refused {
    /// Whether the peer must end: coming again will not help it, and letting it go on may do harm.
    pub fn fatal(&self) -> bool {
        matches!(self, Refused::Removed(_) | Refused::Forgot { .. })
    }
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::Form => write!(f, "a hello that this build does not understand"),
            Refused::NotMe(own) => write!(f, "this is member {own}"),
            Refused::Twin(own) => write!(f, "two services say that they are member {own}"),
            Refused::Removed(member) => write!(f, "member {member} was removed"),
            Refused::OtherGroup => write!(f, "it is of another group"),
            Refused::NoMember(member) => write!(f, "there is no member {member}"),
            Refused::Forgot { member, known, told } => write!(
                f,
                "a later start of member {member} is known (number {known}, this is number {told}): its store is older \
                 than what it has told. Remove the member, and add a new one with an empty store"
            ),
        }
    }
}

/// The book of one member.
#[derive(Debug)]
pub struct Book {
    own: Member,
    /// Later starts than those that are agreed on.
    later: BTreeMap<u64, Member>,
    heard: BTreeMap<u64, f64>,
}

impl Book {
    /// A member that knows what is agreed on.
    pub fn new(own: Member) -> Self {
        Book { own, later: BTreeMap::new(), heard: BTreeMap::new() }
    }

    /// A member as it was heard of last.
    pub fn member(&self, charter: &Charter, number: u64) -> Option<Member> {
        self.later.get(&number).or_else(|| charter.members.get(&number)).cloned()
    }

    /// All members as they were heard of last, this one among them.
    pub fn all(&self, charter: &Charter) -> Vec<Member> {
        let known = |member: &Member| self.later.get(&member.number).unwrap_or(member).clone();
        let mut all: BTreeMap<u64, Member> =
            charter.members.values().map(|it| (it.number, known(it))).collect();
        if charter.lineage == 0 {
            all.extend(self.later.iter().map(|(number, member)| (*number, member.clone())));
        }
        all.insert(self.own.number, self.own.clone());
        all.into_values().collect()
    }

    /// Whom to speak to. One that has not joined yet knows the others by their word alone.
    pub fn others(&self, charter: &Charter) -> Vec<u64> {
        let known = if charter.lineage == 0 { &self.later } else { &charter.members };
        known.keys().copied().filter(|it| *it != self.own.number).collect()
    }

    /// Whether a peer that says hello is let in.
    pub fn admits(&self, charter: &Charter, hello: &PeerHello) -> Result<(), Refused> {
        let from = hello.from.clone().unwrap_or_default();
        if hello.protocol != PROTOCOL {
            return Err(Refused::Form);
        }
        if hello.to != self.own.number {
            return Err(Refused::NotMe(self.own.number));
        }
        if from.number == self.own.number {
            return Err(Refused::Twin(from.number));
        }
        if charter.removed.contains(&from.number) {
            return Err(Refused::Removed(from.number));
        }
        if charter.lineage == 0 {
            // It has not joined: whoever has it join comes to it.
            return Ok(());
        }
        if hello.lineage > 0 && hello.lineage != charter.lineage {
            return Err(Refused::OtherGroup);
        }
        let Some(known) = self.member(charter, from.number) else {
            return Err(Refused::NoMember(from.number));
        };
        match forgot((known.boot, known.nonce), (from.boot, from.nonce)) {
            true => Err(Refused::Forgot { member: from.number, known: known.boot, told: from.boot }),
            false => Ok(()),
        }
    }

    /// Whether a peer that was let in may stay.
    pub fn keeps(&self, charter: &Charter, member: u64) -> Result<(), Refused> {
        match charter.removed.contains(&member) {
            true => Err(Refused::Removed(member)),
            false => Ok(()),
        }
    }

    /// Takes what is said of members: a later start of one replaces what was known of it, nothing replaces a later one.
    pub fn note(&mut self, charter: &Charter, members: &[Member]) {
        for member in members.iter().filter(|it| it.number != self.own.number) {
            let known = self.later.get(&member.number).or_else(|| charter.members.get(&member.number));
            let later = known.map_or(charter.lineage == 0, |known| member.boot > known.boot);
            if later && member.listen.len() + member.operators.len() <= ADDRESSES {
                self.later.insert(member.number, member.clone());
            }
        }
    }

    /// Later starts than those that are agreed on, this member's own among them, which a leader has agreed on.
    pub fn later(&self, charter: &Charter) -> Vec<Member> {
        let newer = |member: &&Member| {
            charter.members.get(&member.number).is_some_and(|known| member.boot > known.boot)
        };
        self.later.values().chain([&self.own]).filter(newer).cloned().collect()
    }

    /// A member has said something.
    pub fn heard(&mut self, member: u64, now: f64) {
        self.heard.insert(member, now);
    }

    /// Members that were heard of lately, this one among them.
    pub fn here(&self, now: f64) -> Vec<u64> {
        let here = self.heard.iter().filter(|(_, at)| now - **at < HEARD_WITHIN).map(|(member, _)| *member);
        here.chain([self.own.number]).collect()
    }

    /// A member is no more.
    pub fn gone(&mut self, member: u64) {
        self.later.remove(&member);
        self.heard.remove(&member);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(number: u64, boot: u64) -> Member {
        Member { number, boot, nonce: 7, listen: format!("h:{boot}"), ..Member::default() }
    }

    fn charter() -> Charter {
        let mut charter = Charter::alone(9, member(1, 1), BTreeMap::new());
        charter.join(member(2, 3));
        charter.join(member(3, 1));
        charter.leave(3);
        charter
    }

    #[test]
    fn whoever_forgot_was_removed_or_is_somebody_else_is_not_let_in() {
        let (book, charter) = (Book::new(member(1, 1)), charter());
        let hello = |from, to| PeerHello { protocol: PROTOCOL, lineage: 9, from: Some(from), to };
        let verdict = |hello: PeerHello| book.admits(&charter, &hello);
        assert_eq!(verdict(hello(member(2, 3), 1)), Ok(()));
        assert_eq!(verdict(hello(member(2, 4), 1)), Ok(()), "a later start");
        let forgot = Refused::Forgot { member: 2, known: 3, told: 2 };
        assert_eq!(verdict(hello(member(2, 2), 1)), Err(forgot.clone()));
        assert!(forgot.fatal() && Refused::Removed(3).fatal() && !Refused::OtherGroup.fatal());
        assert_eq!(verdict(hello(member(3, 9), 1)), Err(Refused::Removed(3)));
        assert_eq!(verdict(hello(member(4, 1), 1)), Err(Refused::NoMember(4)));
        assert_eq!(
            verdict(hello(member(2, 3), 2)),
            Err(Refused::NotMe(1)),
            "its address is another's by now"
        );
        assert_eq!(verdict(hello(member(1, 3), 1)), Err(Refused::Twin(1)));
        assert_eq!(book.keeps(&charter, 3), Err(Refused::Removed(3)), "also one that was let in before");
        assert_eq!(book.keeps(&charter, 2), Ok(()));
        let other = PeerHello { lineage: 8, ..hello(member(2, 3), 1) };
        assert_eq!(verdict(other), Err(Refused::OtherGroup));
        assert_eq!(verdict(PeerHello { protocol: 0, ..hello(member(2, 3), 1) }), Err(Refused::Form));
    }

    #[test]
    fn a_later_start_is_reached_where_it_says_and_an_earlier_one_changes_nothing() {
        let (mut book, charter) = (Book::new(member(1, 2)), charter());
        book.note(&charter, &[member(2, 5), member(2, 4), member(4, 1)]);
        assert_eq!(book.member(&charter, 2), Some(member(2, 5)));
        assert_eq!(book.others(&charter), [2]);
        assert_eq!(book.later(&charter), [member(2, 5), member(1, 2)]);
        book.heard(2, 0.0);
        assert_eq!((book.here(HEARD_WITHIN - 1.0), book.here(HEARD_WITHIN)), (vec![2, 1], vec![1]));
        let mut fresh = Book::new(member(4, 1));
        fresh.note(&Charter::default(), &[member(1, 1)]);
        assert_eq!(
            fresh.others(&Charter::default()),
            [1],
            "one that joins learns of the others from whoever comes"
        );
    }
}
