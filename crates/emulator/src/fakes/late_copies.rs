//! Late copies: requests that were carried out and answered arrive once more, later, up to several times.

use serde::Deserialize;

/// Which share of the requests is copied, how often, and when the copies arrive.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CopySchedule {
    /// The fraction of the requests that is copied.
    pub share: f64,
    /// The shortest delay of a copy, in seconds.
    pub min_delay_s: f64,
    /// The longest delay, in seconds. The logarithm of the delay is uniform, so that short delays are as frequent as long ones.
    pub max_delay_s: f64,
    /// The largest number of copies of one request.
    pub max_copies: u64,
}

impl CopySchedule {
    /// Draws the delays of the copies of one request, in microseconds; there are none if it is not copied. `random` draws from 0
    /// (inclusive) to 1 (exclusive).
    pub fn draw_delays(&self, mut random: impl FnMut() -> f64) -> Vec<u64> {
        if random() >= self.share {
            return Vec::new();
        }
        let copies = 1 + (random() * self.max_copies as f64) as u64;
        (0..copies.min(self.max_copies))
            .map(|_| self.delay_us(random()))
            .collect()
    }

    /// The delay at this point of the uniform distribution from 0 to 1, in microseconds.
    fn delay_us(&self, fraction: f64) -> u64 {
        let ratio = self.max_delay_s / self.min_delay_s;
        (self.min_delay_s * ratio.powf(fraction) * 1e6) as u64
    }
}
