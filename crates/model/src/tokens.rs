//! Numbers that order leaderships, commands and attempts.

/// The number of a leadership. Each takeover raises it by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Term(pub u64);

/// The token that workers compare: the term above, a per-host sequence below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch(pub u64);

const SEQUENCE_BITS: u32 = 24;

impl Epoch {
    /// The first token of a term.
    pub fn first(term: Term) -> Epoch {
        Epoch(term.0 << SEQUENCE_BITS)
    }
    /// The term that gave it out.
    pub fn term(self) -> Term {
        Term(self.0 >> SEQUENCE_BITS)
    }
    /// The next token of the same term.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// An attempt's number, unique over all terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u64);

const ATTEMPT_BITS: u32 = 28;

impl Attempt {
    /// An attempt of a term, by its number in that term.
    pub fn of(term: Term, number: u64) -> Attempt {
        Attempt((term.0 << ATTEMPT_BITS) | number)
    }
    /// The term that decided on it.
    pub fn term(self) -> Term {
        Term(self.0 >> ATTEMPT_BITS)
    }
}
