//! Stalls of this process: it was frozen, starved of processor time, or stopped and continued.
//!
//! The monotonic clock continues during a stall. Every decision that is based on silence or idleness would become due at
//! the moment the process resumes, on a replica that is out of date by the duration of the stall. So the first action
//! after a stall is a read, and no such decision is made before the read is applied. Silence and idleness then count from
//! the moment of resuming, because the process could not have received anything before.
//!
//! Proofs do not depend on this. That an agent incarnation has ended is derived from its last acknowledged heartbeat,
//! which a stall does not make newer, and commits are conditional on revisions. The recovery avoids decisions that would
//! fail against a newer replica, and effects without a commit that a newer replica would not allow.

use crate::coordination::Controller;
use crate::time::Micros;

/// A timer that is late by more than this means that the process did not run. Timers of a node that computes several times
/// slower are late by less; if such a node is taken for stalled, it only reads once more.
const STALL_THRESHOLD: Micros = Micros::secs(1);

/// The last stall of this process.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// When the process resumed.
    resumed_at: Micros,
    /// While the process recovers: a read that begins after this call ends the recovery.
    recovery: Option<u64>,
}

impl StallDetector {
    /// When the process last resumed, on the monotonic clock; silence before that is no evidence.
    pub fn resumed_at(&self) -> Micros {
        self.resumed_at
    }

    /// Whether decisions based on silence or idleness have to wait for the read after a stall.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }
}

impl Controller {
    /// Detects a stall by comparing the current time with the latest time at which the controller asked to be called.
    pub(in crate::coordination) fn detect_stall(&mut self) {
        let now = self.now.monotonic;
        let delay = now.since(self.next_wake);
        if self.next_wake == Micros::ZERO || delay <= STALL_THRESHOLD {
            return;
        }
        tracing::info!(duration = %delay, "process stall detected");
        self.counters.stalls += 1;
        self.stall = StallDetector {
            resumed_at: now,
            recovery: Some(self.next_call - 1),
        };
        if self.replica.is_ready() {
            self.replica.request_barrier();
        }
        self.autoscaler.on_stall(now, delay);
    }

    /// Handles an applied read; the first read that began after the process resumed ends the recovery.
    pub(in crate::coordination) fn end_stall_recovery(&mut self) {
        let Some(call) = self.stall.recovery else {
            return;
        };
        if self.replica.has_read_since(call) {
            self.stall.recovery = None;
            let duration = self.now.monotonic.since(self.stall.resumed_at);
            tracing::info!(%duration, "process stall recovery completed");
        }
    }
}
