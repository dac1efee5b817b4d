//! A controller's share of the state service's rates.

use crate::bookkeeping::time::Micros;

#[derive(Debug)]
struct Bucket {
    rate: f64,
    most: f64,
    level: f64,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        let most = rate.max(1.0);
        Bucket { rate, most, level: most }
    }

    fn fill(&mut self, span: Micros) {
        self.level = (self.level + self.rate * span.as_secs_f64()).min(self.most);
    }

    /// Time until the level is `n`, which may be more than the bucket ever holds.
    fn wait(&self, n: f64) -> Micros {
        Micros::from_secs_f64((n.min(self.most) - self.level).max(0.0) / self.rate)
    }
}

/// Requests and changes that may still be spent.
#[derive(Debug)]
pub struct Budget {
    requests: Bucket,
    writes: Bucket,
    at: Micros,
}

impl Budget {
    /// A full budget at these rates a second.
    pub fn new(requests: f64, writes: f64) -> Budget {
        Budget {
            // A little less than the share: the steady clocks of controllers and service differ.
            requests: Bucket::new(requests * 0.97),
            writes: Bucket::new(writes * 0.97),
            at: Micros::ZERO,
        }
    }

    fn bring_forward(&mut self, now: Micros) {
        let span = now.since(self.at);
        self.at = self.at.max(now);
        self.requests.fill(span);
        self.writes.fill(span);
    }

    /// Spends one request with `writes` changes if that leaves `reserve` of both buckets (0 to 1).
    /// Otherwise tells when to ask again.
    pub fn spend(&mut self, now: Micros, writes: usize, reserve: f64) -> Result<(), Micros> {
        self.bring_forward(now);
        let writes = writes as f64;
        let need_requests = 1.0 + reserve * self.requests.most;
        let need_writes = if writes > 0.0 { writes + reserve * self.writes.most } else { 0.0 };
        let wait = self.requests.wait(need_requests).max(self.writes.wait(need_writes));
        if wait > Micros::ZERO {
            return Err(now + wait.max(Micros::millis(1)));
        }
        self.requests.level -= 1.0;
        self.writes.level -= writes;
        Ok(())
    }

    /// Changes that may be spent at once beside `reserve`, if they are at least `least`; otherwise
    /// when to ask again.
    pub fn writes_left(&mut self, now: Micros, reserve: usize, least: usize) -> Result<usize, Micros> {
        self.bring_forward(now);
        let need = ((reserve + least) as f64).min(self.writes.most);
        let wait = self.requests.wait(2.0).max(self.writes.wait(need));
        if wait > Micros::ZERO {
            return Err(now + wait.max(Micros::millis(1)));
        }
        Ok((self.writes.level - reserve as f64).max(least as f64) as usize)
    }

    /// Spends whatever is there: for what must not wait.
    pub fn force(&mut self, now: Micros, writes: usize) {
        self.bring_forward(now);
        self.requests.level -= 1.0;
        self.writes.level -= writes as f64;
    }

    /// The service refused for its rate: somebody spends more than was thought.
    pub fn refused(&mut self, now: Micros) {
        self.bring_forward(now);
        self.requests.level = self.requests.level.min(0.0);
        self.writes.level = self.writes.level.min(0.0);
    }
}
