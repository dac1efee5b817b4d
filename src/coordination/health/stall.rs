//! This process's own absences: frozen, starved of processor time, or stopped and continued.
//!
//! A steady clock runs on meanwhile, so everything that rests on silence or idleness would come due in the moment of
//! waking, and on a copy that is as old as the absence was long. So the first thing after one is a read, and nothing of
//! that kind is decided before it is applied. What is silent or idle then is so from the return on: before, nobody could
//! have been heard.
//!
//! Proofs are not touched by this. That a session is over rests on the last of its reports that was answered, which an
//! absence makes no newer; and whatever is committed is conditional on revisions. This keeps from being decided in vain,
//! or for effects that need no commit, what a newer copy would not let be decided.

use crate::coordination::Controller;
use crate::time::Micros;

/// When this process was last away.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// When it came back.
    back: Micros,
    /// A read that begins after this call ends the doubt.
    doubt: Option<u64>,
}

impl StallDetector {
    /// When it last came back; silence before that says nothing.
    pub fn back(&self) -> Micros {
        self.back
    }

    /// Whether nothing may be decided yet that rests on silence or idleness.
    pub fn in_doubt(&self) -> bool {
        self.doubt.is_some()
    }
}

impl Controller {
    /// A timer this late means that the process did not run. A node that computes several times slower is late by less;
    /// taken for away, it only reads once more.
    const LATE: Micros = Micros::secs(1);

    /// Compares the time with when a tick was wanted at the latest.
    pub(in crate::coordination) fn detect_stall(&mut self) {
        let now = self.now.steady;
        let late = now.since(self.next_wake);
        if self.next_wake == Micros::ZERO || late <= Self::LATE {
            return;
        }
        tracing::info!(away = %late, "was not running: reading before anything is decided");
        self.counters.stalls += 1;
        self.stall = StallDetector {
            back: now,
            doubt: Some(self.next_call - 1),
        };
        if self.replica.ready() {
            self.replica.want_barrier();
        }
        self.autoscaler.on_stall(now, late);
    }

    /// A read has been applied; the doubt ends with the first that began after the return.
    pub(in crate::coordination) fn end_stall_recovery(&mut self) {
        if self
            .stall
            .doubt
            .is_some_and(|call| self.replica.passed(call))
        {
            self.stall.doubt = None;
            tracing::info!(since = %self.now.steady.since(self.stall.back), "the copy is up to date again after the absence");
        }
    }
}
