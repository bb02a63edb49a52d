//! Terms, fencing tokens and attempt numbers.
//!
//! Invariants: each holds its term in the high bits, so a token or attempt of a later term is greater than any
//! of an earlier one.

/// The number of a leader's term. Each takeover raises it by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Term(pub u64);

/// The fencing token that agents compare: the term in the high bits, a sequence number per machine in the low
/// ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// The number of low bits that hold the sequence number of a token.
const SEQUENCE_BITS: u32 = 24;

impl FencingToken {
    /// The first token of a term.
    pub fn first(term: Term) -> FencingToken {
        FencingToken(term.0 << SEQUENCE_BITS)
    }
    /// The term that issued it.
    pub fn term(self) -> Term {
        Term(self.0 >> SEQUENCE_BITS)
    }
    /// The next token of the same term.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

/// The number of an attempt, unique across all terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// The number of low bits that hold the number of an attempt in its term.
const ATTEMPT_BITS: u32 = 28;

impl AttemptId {
    /// Creates the id of an attempt from its term and its number in that term.
    pub fn of(term: Term, number: u64) -> AttemptId {
        AttemptId((term.0 << ATTEMPT_BITS) | number)
    }
    /// The term that decided on the attempt.
    pub fn term(self) -> Term {
        Term(self.0 >> ATTEMPT_BITS)
    }
}
