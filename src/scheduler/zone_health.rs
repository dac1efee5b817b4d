//! Health of a zone as one controller sees it: a state machine that suspects a zone if no heartbeats of its agents
//! arrive.
//!
//! The state of a zone proves nothing about a single machine. It decides where new tasks and machines are placed, which
//! machines are waited for, and in which order machines are released.

use crate::time::Micros;

/// What a controller observes of one zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneEvidence {
    /// Machines there whose agents it serves and has received heartbeats from.
    pub machines: usize,
    /// Time since the last heartbeat of any of them.
    pub time_since_heartbeat: Micros,
    /// Machines that were probed since that heartbeat and did not respond.
    pub unresponsive_machines: usize,
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
    /// Probed machines do not respond: the zone is disconnected or down.
    Lost,
    /// Heartbeats arrive again; a growing share of the machines accepts new tasks.
    Recovering,
}

/// Health of one zone as one controller sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneHealth {
    state: ZoneState,
    in_state_since: Micros,
    /// Losses that still count.
    losses: u32,
    /// Time of the last loss.
    lost_at: Micros,
}

impl ZoneHealth {
    /// Number of machines that must not respond to a probe, or must have reconnected, before the state changes; all
    /// machines, if there are fewer.
    pub const PROBED_MACHINES: usize = 3;
    /// Smallest number of machines whose missing heartbeats are conclusive for their zone.
    const MIN_CONCLUSIVE_MACHINES: usize = 2;
    /// Time without a loss after which earlier losses do not count any more.
    const LOSS_RETENTION: Micros = Micros::secs(600);
    /// Duration of the recovery from the first loss; it doubles with each further one.
    const INITIAL_RECOVERY: Micros = Micros::secs(20);
    /// Longest duration of a recovery.
    const MAX_RECOVERY: Micros = Micros::secs(160);
    /// Largest number of doublings of the recovery; the limit keeps the shift within range.
    const MAX_DOUBLINGS: u32 = 6;
    /// How long a controller that no longer serves any machine in a lost zone considers the zone lost: it receives no
    /// evidence of a recovery. Controllers that do serve machines there mark the machines that are lost.
    const MAX_LOST_WITHOUT_MACHINES: Micros = Micros::secs(30);
    /// Share of the machines that accept new tasks at the start of a recovery, in percent.
    const INITIAL_SHARE_PERCENT: u64 = 10;
    /// Share of all machines, in percent.
    const FULL_SHARE_PERCENT: u64 = 100;
    /// Lower bound of the usual silence.
    const MIN_USUAL_SILENCE: Micros = Micros::secs(1);
    /// Usual silence, in mean intervals between heartbeats. If heartbeats were independent, one interval in about
    /// four hundred would be longer, which costs a few probes.
    const USUAL_SILENCE_INTERVALS: u64 = 6;

    /// Its state.
    pub fn state(&self) -> ZoneState {
        self.state
    }

    /// Since when it has been in this state.
    pub fn in_state_since(&self) -> Micros {
        self.in_state_since
    }

    /// Whether the zone may be lost. If so, no decision is made about a single machine of it.
    pub fn may_be_lost(&self) -> bool {
        matches!(self.state, ZoneState::Suspected | ZoneState::Lost)
    }

    /// Longest usual time between heartbeats of a number of machines, each of which sends one about every
    /// `heartbeat_interval`.
    pub fn usual_silence(machines: usize, heartbeat_interval: Micros) -> Micros {
        let mean_intervals =
            heartbeat_interval.0 * Self::USUAL_SILENCE_INTERVALS / machines.max(1) as u64;
        Self::MIN_USUAL_SILENCE.max(Micros(mean_intervals))
    }

    /// Applies new evidence; returns the new state, if it changes.
    pub fn apply_evidence(
        &mut self,
        now: Micros,
        heartbeat_interval: Micros,
        evidence: &ZoneEvidence,
    ) -> Option<ZoneState> {
        let next = self.next_state(now, heartbeat_interval, evidence);
        if next == self.state {
            return None;
        }
        if next == ZoneState::Lost {
            self.count_loss(now);
        }
        self.state = next;
        self.in_state_since = now;
        Some(next)
    }

    fn next_state(
        &self,
        now: Micros,
        heartbeat_interval: Micros,
        evidence: &ZoneEvidence,
    ) -> ZoneState {
        let silent = evidence.time_since_heartbeat
            > Self::usual_silence(evidence.machines, heartbeat_interval);
        let quorum = Self::PROBED_MACHINES.min(evidence.machines.max(1));
        let time_in_state = now.since(self.in_state_since);
        match self.state {
            ZoneState::Healthy | ZoneState::Recovering
                if silent && Self::is_conclusive(evidence) =>
            {
                ZoneState::Suspected
            }
            ZoneState::Recovering if time_in_state > self.recovery_duration() => ZoneState::Healthy,
            ZoneState::Suspected if !silent && self.in_recovery(now) => ZoneState::Recovering,
            ZoneState::Suspected if !silent => ZoneState::Healthy,
            ZoneState::Suspected
                if evidence.other_zones_connected && evidence.unresponsive_machines >= quorum =>
            {
                ZoneState::Lost
            }
            ZoneState::Lost if !silent && evidence.reconnected >= quorum => ZoneState::Recovering,
            ZoneState::Lost
                if evidence.machines == 0 && time_in_state > Self::MAX_LOST_WITHOUT_MACHINES =>
            {
                ZoneState::Recovering
            }
            unchanged => unchanged,
        }
    }

    /// Whether missing heartbeats are conclusive for the zone. A single machine may have failed by itself, and a
    /// controller that receives no heartbeats at all may be disconnected.
    fn is_conclusive(evidence: &ZoneEvidence) -> bool {
        evidence.machines >= Self::MIN_CONCLUSIVE_MACHINES && evidence.other_zones_connected
    }

    /// Whether the recovery from the last loss is not over yet.
    fn in_recovery(&self, now: Micros) -> bool {
        self.losses > 0 && now.since(self.lost_at) < self.recovery_duration()
    }

    fn count_loss(&mut self, now: Micros) {
        if now.since(self.lost_at) > Self::LOSS_RETENTION {
            self.losses = 0;
        }
        self.losses += 1;
        self.lost_at = now;
    }

    /// Duration of a recovery: the time until all machines accept new tasks.
    fn recovery_duration(&self) -> Micros {
        let doublings = self.losses.saturating_sub(1).min(Self::MAX_DOUBLINGS);
        Micros(Self::INITIAL_RECOVERY.0 << doublings).min(Self::MAX_RECOVERY)
    }

    /// Share of the machines that accept new tasks, in percent.
    pub fn accepting_percent(&self, now: Micros) -> u64 {
        match self.state {
            ZoneState::Suspected if self.losses > 0 => Self::INITIAL_SHARE_PERCENT,
            ZoneState::Healthy | ZoneState::Suspected => Self::FULL_SHARE_PERCENT,
            ZoneState::Lost => 0,
            ZoneState::Recovering => {
                let elapsed = now.since(self.in_state_since).0;
                let added = elapsed * (Self::FULL_SHARE_PERCENT - Self::INITIAL_SHARE_PERCENT)
                    / self.recovery_duration().0;
                (Self::INITIAL_SHARE_PERCENT + added).min(Self::FULL_SHARE_PERCENT)
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
        hash < self.accepting_percent(now) * HASH_RANGE / Self::FULL_SHARE_PERCENT
    }
}

#[cfg(test)]
mod tests;
