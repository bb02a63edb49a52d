//! The peak rate of events.

use std::time::{Duration, Instant};

/// The maximum number of these times that fall into an interval of this length. The end of the interval does
/// not belong to it.
pub fn peak(mut times: Vec<Instant>, length: Duration) -> usize {
    times.sort_unstable();
    let (mut first, mut maximum) = (0, 0);
    for (last, at) in times.iter().enumerate() {
        while *at >= times[first] + length {
            first += 1;
        }
        maximum = maximum.max(last + 1 - first);
    }
    maximum
}
