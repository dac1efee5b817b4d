//! Whether a zone is there: suspicion worked out from silence, as a small machine of states.
//!
//! Nothing here proves anything of any machine. What a state moves is where new work and new machines go, what is worth
//! waiting for, and in which order machines are released.

use crate::time::Micros;

/// What a controller has of one zone now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    /// Machines there that it answers and has heard before.
    pub machines: usize,
    /// Since any of them was last heard.
    pub quiet: Micros,
    /// Those that were asked since then and did not answer.
    pub unanswered: usize,
    /// Those that were heard since the zone was lost.
    pub heard_again: usize,
    /// Workers of other zones are heard as usual: it is not the controller that is deaf.
    pub others_heard: bool,
}

/// How a zone seems to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// As usual.
    #[default]
    Well,
    /// Nobody there has been heard for longer than usual; some are being asked.
    Doubtful,
    /// Those that were asked do not answer: cut off, or dead.
    Lost,
    /// Heard again; given work by a growing share.
    Returning,
}

/// One zone, as one controller sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Zone {
    state: State,
    since: Micros,
    /// Losses that still count, and when the last of them was.
    losses: u32,
    lost_at: Micros,
}

impl Zone {
    /// Machines that have to stay silent when asked, if there are so many.
    pub const ASKED: usize = 3;
    /// After so long without a loss earlier ones are forgotten.
    const FORGOTTEN: Micros = Micros::secs(600);
    /// How long a return takes after the first loss, doubled for each further one, and at most.
    const RETURN: (Micros, Micros) = (Micros::secs(20), Micros::secs(160));
    /// Who answers no machine there any more learns nothing of it, and holds it for lost no longer than this: those who
    /// do answer machines there mark what is lost of these.
    const UNKNOWN: Micros = Micros::secs(30);
    /// Part of its machines, in hundredths, that take work at once.
    const FIRST_SHARE: u64 = 10;

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Since when it has this state.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// Whether it may be lost: nothing there is decided for one machine alone.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self.state, State::Doubtful | State::Lost)
    }

    /// How long any of so many machines, each reporting about every `report`, may usually leave one waiting for a word. Were
    /// reports independent, one wait in four hundred would be longer: that costs a few questions.
    pub fn usual_silence(machines: usize, report: Micros) -> Micros {
        Micros::secs(1).max(Micros(report.0 * 6 / machines.max(1) as u64))
    }

    /// Takes what is known now; the new state, if that changes it.
    pub fn note(&mut self, now: Micros, report: Micros, e: &Evidence) -> Option<State> {
        let silent = e.quiet > Self::usual_silence(e.machines, report);
        let new = match self.state {
            // A single machine says nothing about a zone, and who hears nobody nothing about others.
            State::Well | State::Returning if e.machines >= 2 && silent && e.others_heard => {
                State::Doubtful
            }
            State::Returning if now.since(self.since) > self.return_span() => State::Well,
            State::Doubtful
                if !silent && self.losses > 0 && now.since(self.lost_at) < self.return_span() =>
            {
                State::Returning
            }
            State::Doubtful if !silent => State::Well,
            State::Doubtful
                if e.others_heard && e.unanswered >= Self::ASKED.min(e.machines.max(1)) =>
            {
                State::Lost
            }
            State::Lost if e.heard_again >= Self::ASKED.min(e.machines.max(1)) && !silent => {
                State::Returning
            }
            State::Lost if e.machines == 0 && now.since(self.since) > Self::UNKNOWN => {
                State::Returning
            }
            same => same,
        };
        if new == self.state {
            return None;
        }
        if new == State::Lost {
            if now.since(self.lost_at) > Self::FORGOTTEN {
                self.losses = 0;
            }
            self.losses += 1;
            self.lost_at = now;
        }
        self.state = new;
        self.since = now;
        Some(new)
    }

    /// How long it takes until a zone that is heard again has all of its share.
    fn return_span(&self) -> Micros {
        let (first, most) = Self::RETURN;
        Micros(first.0 << self.losses.saturating_sub(1).min(6)).min(most)
    }

    /// Part of its machines, in hundredths, that take new work.
    pub fn share(&self, now: Micros) -> u64 {
        match self.state {
            State::Doubtful if self.losses > 0 => Self::FIRST_SHARE,
            State::Well | State::Doubtful => 100,
            State::Lost => 0,
            State::Returning => {
                let part =
                    now.since(self.since).0 * (100 - Self::FIRST_SHARE) / self.return_span().0;
                (Self::FIRST_SHARE + part).min(100)
            }
        }
    }

    /// Whether a machine, by its number, takes new work.
    pub fn takes_work(&self, machine: u64, now: Micros) -> bool {
        // Spread over the numbers, which come in the order of hiring.
        machine.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32 & 0xFFFF
            < self.share(now) * 0x1_0000 / 100
    }
}

#[cfg(test)]
mod tests;
