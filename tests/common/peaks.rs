//! How many events a stretch of time holds at the most.

use std::time::{Duration, Instant};

/// The most of these that fall into any stretch of this length.
pub fn peak(mut times: Vec<Instant>, length: Duration) -> usize {
    times.sort_unstable();
    let (mut first, mut most) = (0, 0);
    for (last, at) in times.iter().enumerate() {
        while *at >= times[first] + length {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
