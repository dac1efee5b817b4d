//! Stalls of this process: it was frozen, starved of processor time, or stopped and continued.
//!
//! The steady clock runs on meanwhile. Everything that rests on silence or idleness would come due at the moment the
//! process resumes, on a replica as old as the stall was long. So the first thing after a stall is a read, and nothing of
//! that kind is decided before the read is applied. Silence and idleness then count from the moment of resuming:
//! before, the process could not have received anything.
//!
//! Proofs don't depend on this. That an agent incarnation is over rests on the last of its heartbeats that was answered,
//! which a stall makes no newer, and commits are conditional on revisions. This avoids decisions that would fail against
//! a newer replica, and effects without a commit that a newer replica would not allow.

use crate::coordination::Controller;
use crate::time::Micros;

/// A timer this late means that the process did not run. A node that computes several times slower is late by less; if
/// it is taken for stalled, it only reads once more.
const STALL_THRESHOLD: Micros = Micros::secs(1);

/// The last stall of this process.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// When the process resumed.
    resumed_at: Micros,
    /// A read that begins after this call ends the recovery.
    recovery: Option<u64>,
}

impl StallDetector {
    /// When the process last resumed, on the steady clock; silence before that is no evidence.
    pub fn resumed_at(&self) -> Micros {
        self.resumed_at
    }

    /// Whether nothing may be decided yet that rests on silence or idleness.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }
}

impl Controller {
    /// Compares the time with when the controller asked to be called at the latest.
    pub(in crate::coordination) fn detect_stall(&mut self) {
        let now = self.now.steady;
        let late = now.since(self.next_wake);
        if self.next_wake == Micros::ZERO || late <= STALL_THRESHOLD {
            return;
        }
        tracing::info!(duration = %late, "process stall detected");
        self.counters.stalls += 1;
        self.stall = StallDetector {
            resumed_at: now,
            recovery: Some(self.next_call - 1),
        };
        if self.replica.is_ready() {
            self.replica.request_barrier();
        }
        self.autoscaler.on_stall(now, late);
    }

    /// A read has been applied; the first that began after the process resumed ends the recovery.
    pub(in crate::coordination) fn end_stall_recovery(&mut self) {
        let Some(call) = self.stall.recovery else {
            return;
        };
        if self.replica.has_read_since(call) {
            self.stall.recovery = None;
            let duration = self.now.steady.since(self.stall.resumed_at);
            tracing::info!(%duration, "process stall recovery completed");
        }
    }
}
