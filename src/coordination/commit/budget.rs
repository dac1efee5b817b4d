//! A controller's share of the request and change rates of the state store.

use crate::time::Micros;

/// Fraction of the share that is used: the monotonic clocks of controllers and store differ a little.
const USED_SHARE_FRACTION: f64 = 0.97;

/// Requests and changes that must be available before a full round is sent.
const MIN_ROUND_TOKENS: f64 = 2.0;

/// How much more a peer is expected to spend than it last reported, as a factor and in changes a
/// second: its spending may grow before its next message.
const PEER_RATE_GROWTH_FACTOR: f64 = 1.25;
const PEER_RATE_RESERVE: f64 = 0.5;

/// A token bucket.
#[derive(Debug)]
struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    capacity: f64,
    /// Available tokens; below zero if overdrawn.
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

    fn refill(&mut self, elapsed: Micros) {
        self.level = (self.level + self.rate * elapsed.as_secs_f64()).min(self.capacity);
    }

    /// Time until the level is `tokens`, or until the bucket is full if its capacity is smaller.
    fn time_until(&self, tokens: f64) -> Micros {
        let missing = (tokens.min(self.capacity) - self.level).max(0.0);
        Micros::from_secs_f64(missing / self.rate)
    }

    /// Drops the available tokens; a debt stays.
    fn drop_tokens(&mut self) {
        self.level = self.level.min(0.0);
    }

    fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }
}

/// Changes spent since the spending rate was last computed.
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
    /// Shortest delay before a spender asks the budget again.
    const MIN_DELAY: Micros = Micros::millis(1);

    /// A full budget at these rates a second.
    pub fn new(requests: f64, writes: f64) -> Budget {
        Budget {
            requests: TokenBucket::new(requests * USED_SHARE_FRACTION),
            writes: TokenBucket::new(writes * USED_SHARE_FRACTION),
            refilled_at: Micros::ZERO,
            even_share: writes * USED_SHARE_FRACTION,
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
        let elapsed = now.since(spent.since).as_secs_f64();
        if elapsed > 0.0 {
            spent.changes / elapsed
        } else {
            0.0
        }
    }

    /// Borrows the unused part of the other controllers' shares. `others`: the changes a second that each
    /// reported to spend, `None` without a recent message. A wrong estimate costs only time: if this
    /// controller borrows too much, the store refuses requests and they are retried later.
    pub fn borrow_unused(&mut self, now: Micros, others: impl Iterator<Item = Option<f64>>) {
        self.refill(now);
        let unused_of = |reported_rate: f64| {
            let expected_rate = reported_rate * PEER_RATE_GROWTH_FACTOR;
            (self.even_share - expected_rate - PEER_RATE_RESERVE).max(0.0)
        };
        let unused: f64 = others
            .map(|reported_rate| reported_rate.map_or(0.0, unused_of))
            .sum();
        self.writes.rate = self.even_share + unused;
    }

    /// Sets this controller's share of changes a second, after the store's rate has changed.
    pub fn set_write_rate(&mut self, writes: f64) {
        self.even_share = writes * USED_SHARE_FRACTION;
        self.writes.rate = self.writes.rate.min(self.even_share);
        self.writes.set_capacity(self.even_share.max(1.0));
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.requests.refill(elapsed);
        self.writes.refill(elapsed);
    }

    /// Ok if `wait` is zero, otherwise the time at which to ask again.
    fn admit(now: Micros, wait: Micros) -> Result<(), Micros> {
        if wait > Micros::ZERO {
            Err(now + wait.max(Self::MIN_DELAY))
        } else {
            Ok(())
        }
    }

    /// Spends one request with `writes` changes if that leaves the fraction `reserve` of both buckets (0
    /// to 1; if it is negative, the buckets may be overdrawn by that fraction). Otherwise returns when to
    /// ask again.
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

    /// Spends one request with `writes` changes for users. Users go ahead of rounds, even directly after
    /// the largest round, of `max_round_changes` changes: in addition to the debt of that round, the bucket may be
    /// overdrawn by its capacity, and later rounds wait until the debt is repaid. Otherwise returns when
    /// to ask again.
    pub fn spend_for_users(
        &mut self,
        now: Micros,
        writes: usize,
        max_round_changes: usize,
    ) -> Result<(), Micros> {
        self.refill(now);
        let wait_for_writes = if writes > 0 {
            let debt_limit = self.writes.capacity;
            self.writes
                .time_until(writes as f64 - debt_limit - max_round_changes as f64)
        } else {
            Micros::ZERO
        };
        let wait_for_requests = self.requests.time_until(1.0 - self.requests.capacity);
        Self::admit(now, wait_for_requests.max(wait_for_writes))?;
        self.charge(now, writes);
        Ok(())
    }

    /// Whether a round of any size may be sent now; otherwise returns when to ask again. A large round
    /// may overdraw the budget, and the next round waits until the debt is repaid, since a few large
    /// rounds achieve more with the same number of changes than many small ones.
    pub fn admit_round(&mut self, now: Micros) -> Result<(), Micros> {
        self.refill(now);
        let wait_for_requests = self.requests.time_until(MIN_ROUND_TOKENS);
        let wait_for_writes = self.writes.time_until(MIN_ROUND_TOKENS);
        Self::admit(now, wait_for_requests.max(wait_for_writes))
    }

    /// Whether there are plenty of requests left: more than half of the bucket's capacity.
    pub fn has_requests(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.requests.level * 2.0 > self.requests.capacity
    }

    /// Whether an urgent-only round may be sent now; otherwise returns when to ask again. Such a round is
    /// small and must not wait, so it may be sent while the changes are overdrawn by up to one second's
    /// changes.
    pub fn admit_urgent_round(&mut self, now: Micros) -> Result<(), Micros> {
        self.refill(now);
        let wait_for_requests = self.requests.time_until(1.0);
        let wait_for_writes = self.writes.time_until(-self.writes.capacity);
        Self::admit(now, wait_for_requests.max(wait_for_writes))
    }

    /// Spends one request with `writes` changes even if that overdraws the budget: for requests that
    /// must not wait.
    pub fn charge(&mut self, now: Micros, writes: usize) {
        self.refill(now);
        self.requests.level -= 1.0;
        self.writes.level -= writes as f64;
        self.spending.changes += writes as f64;
    }

    /// The store refused a request for its rate: some controller spends more than was assumed.
    pub fn on_refused(&mut self, now: Micros) {
        self.refill(now);
        self.requests.drop_tokens();
        self.writes.drop_tokens();
    }
}
