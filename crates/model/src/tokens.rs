//! Numbers that order leaderships, commands and attempts.

/// The number of a leadership. Each takeover raises it by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Term(pub u64);

/// The token that workers compare: the term above, a per-host sequence below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

const SEQUENCE_BITS: u32 = 24;

impl FencingToken {
    /// The first token of a term.
    pub fn first(term: Term) -> FencingToken {
        FencingToken(term.0 << SEQUENCE_BITS)
    }
    /// The term that gave it out.
    pub fn term(self) -> Term {
        Term(self.0 >> SEQUENCE_BITS)
    }
    /// The next token of the same term.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

/// An attempt's number, unique over all terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

const ATTEMPT_BITS: u32 = 28;

impl AttemptId {
    /// An attempt of a term, by its number in that term.
    pub fn of(term: Term, number: u64) -> AttemptId {
        AttemptId((term.0 << ATTEMPT_BITS) | number)
    }
    /// The term that decided on it.
    pub fn term(self) -> Term {
        Term(self.0 >> ATTEMPT_BITS)
    }
}
