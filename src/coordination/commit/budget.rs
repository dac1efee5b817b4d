//! A controller's share of the state service's rates.

use crate::time::Micros;

#[derive(Debug)]
struct Bucket {
    rate: f64,
    most: f64,
    level: f64,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        let most = rate.max(1.0);
        Bucket {
            rate,
            most,
            level: most,
        }
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
    /// This controller's even share of the changes a second.
    even: f64,
    /// Changes spent since they were last told to the peers, and when that was.
    spent: (f64, Micros),
}

impl Budget {
    /// A full budget at these rates a second.
    pub fn new(requests: f64, writes: f64) -> Budget {
        Budget {
            // A little less than the share: the steady clocks of controllers and service differ.
            requests: Bucket::new(requests * 0.97),
            writes: Bucket::new(writes * 0.97),
            at: Micros::ZERO,
            even: writes * 0.97,
            spent: (0.0, Micros::ZERO),
        }
    }

    /// Changes a second since this was last asked.
    pub fn spending(&mut self, now: Micros) -> f64 {
        let (spent, since) = std::mem::replace(&mut self.spent, (0.0, now));
        let span = now.since(since).as_secs_f64();
        if span > 0.0 { spent / span } else { 0.0 }
    }

    /// What the others leave of their shares, by what they said that they spend: `None` for one
    /// that said nothing lately. This is only a matter of speed. Who turns out to have taken too
    /// much is refused, and tries again later.
    pub fn lend(&mut self, now: Micros, others: impl Iterator<Item = Option<f64>>) {
        self.bring_forward(now);
        // Room for a peer to spend a little more before its next word of it.
        let unused =
            others.map(|o| o.map_or(0.0, |spends| (self.even - spends * 1.25 - 0.5).max(0.0)));
        self.writes.rate = self.even + unused.sum::<f64>();
    }

    /// The service takes another rate of changes from now on.
    pub fn set_writes(&mut self, writes: f64) {
        self.even = writes * 0.97;
        self.writes.rate = self.writes.rate.min(self.even);
        self.writes.most = self.even.max(1.0);
        self.writes.level = self.writes.level.min(self.writes.most);
    }

    fn bring_forward(&mut self, now: Micros) {
        let span = now.since(self.at);
        self.at = self.at.max(now);
        self.requests.fill(span);
        self.writes.fill(span);
    }

    /// Spends one request with `writes` changes if that leaves `reserve` of both buckets (to 1; below
    /// zero it may be overdrawn by as much). Otherwise tells when to ask again.
    pub fn spend(&mut self, now: Micros, writes: usize, reserve: f64) -> Result<(), Micros> {
        self.bring_forward(now);
        let need_requests = 1.0 + reserve * self.requests.most;
        let need_writes = writes as f64 + reserve * self.writes.most;
        let wait_writes = if writes > 0 {
            self.writes.wait(need_writes)
        } else {
            Micros::ZERO
        };
        let wait = self.requests.wait(need_requests).max(wait_writes);
        if wait > Micros::ZERO {
            return Err(now + wait.max(Micros::millis(1)));
        }
        self.force(now, writes);
        Ok(())
    }

    /// Spends one request with `writes` changes of users: ahead of rounds, also just after the largest, of `round` changes.
    /// Beyond a round's debt it may be overdrawn by what the bucket holds; rounds make up for it. Otherwise tells when to ask
    /// again.
    pub fn spend_for_users(
        &mut self,
        now: Micros,
        writes: usize,
        round: usize,
    ) -> Result<(), Micros> {
        self.bring_forward(now);
        let wait_writes = match writes {
            0 => Micros::ZERO,
            n => self.writes.wait(n as f64 - self.writes.most - round as f64),
        };
        let wait = self
            .requests
            .wait(1.0 - self.requests.most)
            .max(wait_writes);
        if wait > Micros::ZERO {
            return Err(now + wait.max(Micros::millis(1)));
        }
        self.force(now, writes);
        Ok(())
    }

    /// Whether a round may be made now, of whatever size: a large one is paid for by the time until
    /// the next, for a few large rounds do more with the same changes than many small ones.
    /// Otherwise tells when to ask again.
    pub fn round(&mut self, now: Micros) -> Result<(), Micros> {
        self.bring_forward(now);
        let wait = self.requests.wait(2.0).max(self.writes.wait(2.0));
        if wait > Micros::ZERO {
            Err(now + wait.max(Micros::millis(1)))
        } else {
            Ok(())
        }
    }

    /// Whether requests are plenty: half of what may be saved up of them is there.
    pub fn has_requests(&mut self, now: Micros) -> bool {
        self.bring_forward(now);
        self.requests.level * 2.0 > self.requests.most
    }

    /// The same for a small round that must not wait: it may be paid for afterwards, by as much as a
    /// second's changes.
    pub fn overdraw(&mut self, now: Micros) -> Result<(), Micros> {
        self.bring_forward(now);
        let wait = self
            .requests
            .wait(1.0)
            .max(self.writes.wait(-self.writes.most));
        if wait > Micros::ZERO {
            Err(now + wait.max(Micros::millis(1)))
        } else {
            Ok(())
        }
    }

    /// Spends whatever is there: for what must not wait.
    pub fn force(&mut self, now: Micros, writes: usize) {
        self.bring_forward(now);
        self.requests.level -= 1.0;
        self.writes.level -= writes as f64;
        self.spent.0 += writes as f64;
    }

    /// The service refused for its rate: somebody spends more than was thought.
    pub fn refused(&mut self, now: Micros) {
        self.bring_forward(now);
        self.requests.level = self.requests.level.min(0.0);
        self.writes.level = self.writes.level.min(0.0);
    }
}
