//! Leadership terms, fencing tokens and attempt ids.
//!
//! Invariant: tokens and attempt ids hold their term in the high bits, so the tokens and ids of a later term
//! are greater than all tokens and ids of an earlier term. This requires that the number in the low bits does
//! not overflow, which is not checked.

/// The number of a leadership term. Each change of leader increments it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Term(pub u64);

/// A fencing token. Agents use it to reject messages of earlier leaders: they reject a token that is lower
/// than the highest token that they have received. The high bits hold the term, and the low 24 bits hold a
/// sequence number that is counted per machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// The number of low bits in a fencing token that hold the sequence number.
const TOKEN_SEQUENCE_BITS: u32 = 24;

impl FencingToken {
    /// The first token of a term, with sequence number 0.
    pub fn first(term: Term) -> FencingToken {
        FencingToken(term.0 << TOKEN_SEQUENCE_BITS)
    }
    /// The term in which the token was issued.
    pub fn term(self) -> Term {
        Term(self.0 >> TOKEN_SEQUENCE_BITS)
    }
    /// The token of the same term with the next sequence number. Callers must not call this on a token with
    /// the highest 24-bit sequence number: the result would be the first token of the next term.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

/// The id of an attempt, unique across all terms. The high bits hold the term whose leader created the
/// attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// The number of low bits in an attempt id that hold the attempt's number within its term.
const ATTEMPT_NUMBER_BITS: u32 = 28;

impl AttemptId {
    /// Creates an attempt id from the term and the attempt's number within that term. The number must fit
    /// into 28 bits.
    pub fn new(term: Term, number: u64) -> AttemptId {
        AttemptId((term.0 << ATTEMPT_NUMBER_BITS) | number)
    }
    /// The term whose leader created the attempt.
    pub fn term(self) -> Term {
        Term(self.0 >> ATTEMPT_NUMBER_BITS)
    }
}
