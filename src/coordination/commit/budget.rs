//! A controller's share of the state store's rates.

use crate::time::Micros;

/// Part of the share that is used: the steady clocks of controllers and store differ a little.
const SHARE_MARGIN: f64 = 0.97;

/// Requests and changes that must be there for a full round.
const ROUND_RESERVE: f64 = 2.0;

/// How much more a peer may spend than it said last, as a factor and in changes a second: it may
/// spend more before its next message.
const PEER_GROWTH: f64 = 1.25;
const PEER_RESERVE: f64 = 0.5;

/// A token bucket.
#[derive(Debug)]
struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    capacity: f64,
    /// Tokens that are there; below zero if overdrawn.
    level: f64,
}

impl TokenBucket {
    /// A full bucket that holds the tokens of a second, at least one.
    fn new(rate: f64) -> TokenBucket {
        let capacity = rate.max(1.0);
        TokenBucket {
            rate,
            capacity,
            level: capacity,
        }
    }

    fn refill(&mut self, span: Micros) {
        self.level = (self.level + self.rate * span.as_secs_f64()).min(self.capacity);
    }

    /// Time until the level is `tokens`, or the bucket full if it can't hold as many.
    fn time_until(&self, tokens: f64) -> Micros {
        let missing = (tokens.min(self.capacity) - self.level).max(0.0);
        Micros::from_secs_f64(missing / self.rate)
    }

    /// Drops what was saved up; a debt stays.
    fn empty(&mut self) {
        self.level = self.level.min(0.0);
    }

    fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }
}

/// Changes spent since the rate of spending was last computed.
#[derive(Debug)]
struct Spending {
    changes: f64,
    since: Micros,
}

/// Requests and changes that may still be spent.
#[derive(Debug)]
pub struct Budget {
    requests: TokenBucket,
    writes: TokenBucket,
    refilled_at: Micros,
    /// This controller's even share of the changes a second.
    even_share: f64,
    spending: Spending,
}

impl Budget {
    /// Shortest wait before a budget is asked again.
    const MIN_WAIT: Micros = Micros::millis(1);

    /// A full budget at these rates a second.
    pub fn new(requests: f64, writes: f64) -> Budget {
        Budget {
            requests: TokenBucket::new(requests * SHARE_MARGIN),
            writes: TokenBucket::new(writes * SHARE_MARGIN),
            refilled_at: Micros::ZERO,
            even_share: writes * SHARE_MARGIN,
            spending: Spending {
                changes: 0.0,
                since: Micros::ZERO,
            },
        }
    }

    /// Changes a second since the last call.
    pub fn take_spending_rate(&mut self, now: Micros) -> f64 {
        let restarted = Spending {
            changes: 0.0,
            since: now,
        };
        let spent = std::mem::replace(&mut self.spending, restarted);
        let span = now.since(spent.since).as_secs_f64();
        if span > 0.0 {
            spent.changes / span
        } else {
            0.0
        }
    }

    /// Takes over what the others leave of their shares, by the changes a second that they said they
    /// spend: `None` for one without a recent message. This is only a matter of speed: a controller
    /// that turns out to have taken too much is refused, and retries later.
    pub fn borrow_unused(&mut self, now: Micros, others: impl Iterator<Item = Option<f64>>) {
        self.refill(now);
        let unused_of = |spends: f64| {
            let expected = spends * PEER_GROWTH;
            (self.even_share - expected - PEER_RESERVE).max(0.0)
        };
        let unused: f64 = others.map(|spends| spends.map_or(0.0, unused_of)).sum();
        self.writes.rate = self.even_share + unused;
    }

    /// Sets this controller's share of another rate of changes a second.
    pub fn set_write_rate(&mut self, writes: f64) {
        self.even_share = writes * SHARE_MARGIN;
        self.writes.rate = self.writes.rate.min(self.even_share);
        self.writes.set_capacity(self.even_share.max(1.0));
    }

    fn refill(&mut self, now: Micros) {
        let span = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.requests.refill(span);
        self.writes.refill(span);
    }

    /// Ok if there is nothing to wait for, else when to ask again.
    fn admit(now: Micros, wait: Micros) -> Result<(), Micros> {
        if wait > Micros::ZERO {
            Err(now + wait.max(Self::MIN_WAIT))
        } else {
            Ok(())
        }
    }

    /// Spends one request with `writes` changes if that leaves `reserve` of both buckets (0 to 1; below
    /// zero it may be overdrawn by as much). Otherwise returns when to ask again.
    pub fn spend(&mut self, now: Micros, writes: usize, reserve: f64) -> Result<(), Micros> {
        self.refill(now);
        let requests_needed = 1.0 + reserve * self.requests.capacity;
        let writes_needed = writes as f64 + reserve * self.writes.capacity;
        let wait_for_writes = if writes > 0 {
            self.writes.time_until(writes_needed)
        } else {
            Micros::ZERO
        };
        let wait = self
            .requests
            .time_until(requests_needed)
            .max(wait_for_writes);
        Self::admit(now, wait)?;
        self.charge(now, writes);
        Ok(())
    }

    /// Spends one request with `writes` changes of users: ahead of rounds, also just after the largest,
    /// of `round` changes. Beyond a round's debt it may be overdrawn by what the bucket holds; rounds
    /// make up for it. Otherwise returns when to ask again.
    pub fn spend_for_users(
        &mut self,
        now: Micros,
        writes: usize,
        round: usize,
    ) -> Result<(), Micros> {
        self.refill(now);
        let wait_for_writes = if writes > 0 {
            let debt_limit = self.writes.capacity;
            self.writes
                .time_until(writes as f64 - debt_limit - round as f64)
        } else {
            Micros::ZERO
        };
        let wait_for_requests = self.requests.time_until(1.0 - self.requests.capacity);
        Self::admit(now, wait_for_requests.max(wait_for_writes))?;
        self.charge(now, writes);
        Ok(())
    }

    /// Whether a round may be sent now, of whatever size: a large one is paid for by the time until
    /// the next, for a few large rounds do more with the same changes than many small ones.
    /// Otherwise returns when to ask again.
    pub fn admit_round(&mut self, now: Micros) -> Result<(), Micros> {
        self.refill(now);
        let wait_for_requests = self.requests.time_until(ROUND_RESERVE);
        let wait_for_writes = self.writes.time_until(ROUND_RESERVE);
        Self::admit(now, wait_for_requests.max(wait_for_writes))
    }

    /// Whether requests are plenty: at least half of the bucket's capacity is there.
    pub fn has_requests(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.requests.level * 2.0 > self.requests.capacity
    }

    /// Whether a small round that must not wait may be sent: it may be paid for afterwards, by as much
    /// as a second's changes. Otherwise returns when to ask again.
    pub fn admit_urgent_round(&mut self, now: Micros) -> Result<(), Micros> {
        self.refill(now);
        let wait_for_requests = self.requests.time_until(1.0);
        let wait_for_writes = self.writes.time_until(-self.writes.capacity);
        Self::admit(now, wait_for_requests.max(wait_for_writes))
    }

    /// Spends one request with `writes` changes whatever is there: for what must not wait.
    pub fn charge(&mut self, now: Micros, writes: usize) {
        self.refill(now);
        self.requests.level -= 1.0;
        self.writes.level -= writes as f64;
        self.spending.changes += writes as f64;
    }

    /// The store refused a request for its rate: some controller spends more than was assumed.
    pub fn on_refused(&mut self, now: Micros) {
        self.refill(now);
        self.requests.empty();
        self.writes.empty();
    }
}
