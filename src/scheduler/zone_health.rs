//! Health of a zone as one controller sees it: a state machine that suspects a zone by the silence of its agents.
//!
//! A state proves nothing about any machine. It decides where new tasks and machines are placed, which machines are
//! waited for, and in which order machines are released.

use crate::time::Micros;

/// What a controller observes of one zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneEvidence {
    /// Machines there whose agents it serves and has received heartbeats from.
    pub machines: usize,
    /// Time since the last heartbeat of any of them.
    pub quiet: Micros,
    /// Machines that were probed since then and did not answer.
    pub unanswered: usize,
    /// Machines that sent a heartbeat since the zone was lost.
    pub reconnected: usize,
    /// Whether agents of other zones send heartbeats as usual. If not, the controller itself may be disconnected.
    pub other_zones_connected: bool,
}

/// State of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ZoneState {
    /// Heartbeats arrive as usual.
    #[default]
    Healthy,
    /// No heartbeat for longer than usual; some machines are probed.
    Suspected,
    /// Probed machines do not answer: the zone is disconnected or down.
    Lost,
    /// Heartbeats arrive again; a growing share of the machines accepts new tasks.
    Recovering,
}

/// Health of one zone as one controller sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneHealth {
    state: ZoneState,
    since: Micros,
    /// Losses that still count.
    losses: u32,
    /// When the last loss was.
    lost_at: Micros,
}

impl ZoneHealth {
    /// Machines that must leave a probe unanswered, or be back, before the state changes; all, if there are fewer.
    pub const PROBED_MACHINES: usize = 3;
    /// Fewest machines whose silence says anything about their zone.
    const MIN_MACHINES: usize = 2;
    /// Time without a loss after which earlier losses do not count any more.
    const LOSS_MEMORY: Micros = Micros::secs(600);
    /// Duration of the recovery from the first loss; it doubles with each further one.
    const FIRST_RECOVERY: Micros = Micros::secs(20);
    /// Longest duration of a recovery.
    const MAX_RECOVERY: Micros = Micros::secs(160);
    /// Most doublings of the recovery, which keep the shift within range.
    const MAX_DOUBLINGS: u32 = 6;
    /// How long a controller that serves no machine in a lost zone any more considers it lost: it receives no
    /// evidence. Controllers that do serve machines there mark those that are lost.
    const MAX_LOST_WITHOUT_MACHINES: Micros = Micros::secs(30);
    /// Share of the machines that accept new tasks at the start of a recovery, in hundredths.
    const FIRST_SHARE: u64 = 10;
    /// Share of all machines, in hundredths.
    const FULL_SHARE: u64 = 100;
    /// Shortest silence that is ever unusual.
    const MIN_SILENCE: Micros = Micros::secs(1);
    /// Usual silence, in mean intervals between heartbeats. If heartbeats were independent, one interval in about
    /// four hundred would be longer, which costs a few probes.
    const SILENT_INTERVALS: u64 = 6;

    /// Its state.
    pub fn state(&self) -> ZoneState {
        self.state
    }

    /// Since when it has been in this state.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// Whether the zone may be lost, so that nothing is decided about a single machine of it.
    pub fn is_suspected(&self) -> bool {
        matches!(self.state, ZoneState::Suspected | ZoneState::Lost)
    }

    /// Longest usual time between heartbeats of a number of machines, each of which sends one about every `report`.
    pub fn usual_silence(machines: usize, report: Micros) -> Micros {
        let mean_intervals = report.0 * Self::SILENT_INTERVALS / machines.max(1) as u64;
        Self::MIN_SILENCE.max(Micros(mean_intervals))
    }

    /// Applies new evidence; returns the new state, if it changes.
    pub fn note(
        &mut self,
        now: Micros,
        report: Micros,
        evidence: &ZoneEvidence,
    ) -> Option<ZoneState> {
        let next = self.next_state(now, report, evidence);
        if next == self.state {
            return None;
        }
        if next == ZoneState::Lost {
            self.count_loss(now);
        }
        self.state = next;
        self.since = now;
        Some(next)
    }

    fn next_state(&self, now: Micros, report: Micros, evidence: &ZoneEvidence) -> ZoneState {
        let silent = evidence.quiet > Self::usual_silence(evidence.machines, report);
        let quorum = Self::PROBED_MACHINES.min(evidence.machines.max(1));
        let in_state = now.since(self.since);
        match self.state {
            ZoneState::Healthy | ZoneState::Recovering
                if silent && Self::is_conclusive(evidence) =>
            {
                ZoneState::Suspected
            }
            ZoneState::Recovering if in_state > self.recovery() => ZoneState::Healthy,
            ZoneState::Suspected if !silent && self.is_recovering(now) => ZoneState::Recovering,
            ZoneState::Suspected if !silent => ZoneState::Healthy,
            ZoneState::Suspected
                if evidence.other_zones_connected && evidence.unanswered >= quorum =>
            {
                ZoneState::Lost
            }
            ZoneState::Lost if !silent && evidence.reconnected >= quorum => ZoneState::Recovering,
            ZoneState::Lost
                if evidence.machines == 0 && in_state > Self::MAX_LOST_WITHOUT_MACHINES =>
            {
                ZoneState::Recovering
            }
            unchanged => unchanged,
        }
    }

    /// Whether silence says anything about the zone. A single machine may have failed by itself, and a controller
    /// without any heartbeats may be disconnected.
    fn is_conclusive(evidence: &ZoneEvidence) -> bool {
        evidence.machines >= Self::MIN_MACHINES && evidence.other_zones_connected
    }

    /// Whether the recovery from the last loss is not over.
    fn is_recovering(&self, now: Micros) -> bool {
        self.losses > 0 && now.since(self.lost_at) < self.recovery()
    }

    fn count_loss(&mut self, now: Micros) {
        if now.since(self.lost_at) > Self::LOSS_MEMORY {
            self.losses = 0;
        }
        self.losses += 1;
        self.lost_at = now;
    }

    /// Duration of a recovery, until all machines accept new tasks.
    fn recovery(&self) -> Micros {
        let doublings = self.losses.saturating_sub(1).min(Self::MAX_DOUBLINGS);
        Micros(Self::FIRST_RECOVERY.0 << doublings).min(Self::MAX_RECOVERY)
    }

    /// Share of the machines that accept new tasks, in hundredths.
    pub fn share(&self, now: Micros) -> u64 {
        match self.state {
            ZoneState::Suspected if self.losses > 0 => Self::FIRST_SHARE,
            ZoneState::Healthy | ZoneState::Suspected => Self::FULL_SHARE,
            ZoneState::Lost => 0,
            ZoneState::Recovering => {
                let elapsed = now.since(self.since).0;
                let added = elapsed * (Self::FULL_SHARE - Self::FIRST_SHARE) / self.recovery().0;
                (Self::FIRST_SHARE + added).min(Self::FULL_SHARE)
            }
        }
    }

    /// Whether a machine accepts new tasks, by its number. Hashing spreads the share evenly over the numbers, which
    /// are assigned in the order of provisioning.
    pub fn accepts_tasks(&self, machine: u64, now: Micros) -> bool {
        /// 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing.
        const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
        const HASH_RANGE: u64 = 0x1_0000;
        let hash = machine.wrapping_mul(MULTIPLIER) >> 32 & (HASH_RANGE - 1);
        hash < self.share(now) * HASH_RANGE / Self::FULL_SHARE
    }
}

#[cfg(test)]
mod tests;
